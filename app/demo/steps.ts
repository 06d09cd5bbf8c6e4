import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { StepReport } from './types.js';
import { sendCall } from '../../packages/cluster/callers/callClient.js';
import { countExecutions } from '../../packages/cluster/callers/standinClient.js';
import { openStream } from '../../packages/cluster/callers/streamClient.js';
import type {
  CallerAnswer,
  CallerTarget,
  StreamResult,
  StreamEnd,
} from '../../packages/cluster/callers/types.js';
import type { Cluster } from '../../packages/cluster/types.js';
import { assertNever } from '../../packages/core/assertNever.js';
import { createId } from '../../packages/core/ids.js';

/** Length in tokens of the generation that the demo streams. */
const DEMO_TOKENS = 48;

type StepResult = Result<StepReport, string>;

const formatMs = (duration: number): string => `${duration.toFixed(0)} ms`;

const buildTarget = (cluster: Cluster): CallerTarget => ({
  baseUrl: cluster.baseUrl,
  key: Object.values(cluster.customerKeys)[0] ?? '',
});

const describeEnd = (end: StreamEnd): string => {
  switch (end.kind) {
    case 'done':
      return 'ended';
    case 'failed':
      return `failed as ${end.problem.code} (${end.problem.verdict}): ${end.problem.detail}`;
    case 'interrupted':
      return `was cut off: ${end.reason}`;
    default:
      return assertNever(end);
  }
};

/**
 * Checks that all tokens are there in order. The engine stand-in sends the id of the generation as
 * the first token, then `w1`, `w2` and so on.
 */
const checkTokens = ({ texts, end }: StreamResult): Result<string, string> => {
  if (end.kind !== 'done') return Err(`the generation ${describeEnd(end)}`);
  const words = texts.join('').trim().split(' ');
  const inOrder = words.slice(1).every((word, index) => word === `w${(index + 1).toString()}`);
  if (!inOrder || words.length !== DEMO_TOKENS) {
    return Err(`the generation returned unexpected tokens: ${words.join(' ')}`);
  }
  return Ok(words[0] ?? '');
};

const streamGeneration = async (cluster: Cluster): Promise<StepResult> => {
  const startedAt = performance.now();
  const answer = await openStream(buildTarget(cluster), {
    model: cluster.model,
    content: 'Draft a short memo about the netting of this week.',
    targetTokens: DEMO_TOKENS,
  });
  if (answer.kind === 'refused') {
    return Err(`the generation was refused as ${answer.problem.code}: ${answer.problem.detail}`);
  }
  const stream = await answer.read();
  const durationMs = performance.now() - startedAt;
  return checkTokens(stream).map((generation) => ({
    step: 'generation',
    durationMs,
    requestIds: [answer.requestId],
    text: `streamed ${DEMO_TOKENS.toString()} tokens in order from generation ${generation}, first token after ${formatMs(stream.firstChunkMs ?? 0)}`,
  }));
};

const describeAnswer = ({ status, text }: CallerAnswer): string =>
  `status ${status.toString()}: ${text}`;

const performLookup = async (cluster: Cluster): Promise<StepResult> => {
  const startedAt = performance.now();
  const path = '/services/ledger/balances/caroni';
  const answer = await sendCall(buildTarget(cluster), { method: 'GET', path });
  const durationMs = performance.now() - startedAt;
  if (answer.status !== 200) return Err(`the lookup returned ${describeAnswer(answer)}`);
  return Ok({
    step: 'lookup',
    durationMs,
    requestIds: [answer.requestId],
    text: `looked up a balance: ${answer.text}`,
  });
};

const sendSweepTwice = async (cluster: Cluster): Promise<StepResult> => {
  const startedAt = performance.now();
  const idempotencyKey = createId();
  const call = {
    method: 'POST',
    path: '/services/ledger/sweeps',
    idempotencyKey,
    body: { amount: 1_000 },
  } as const;
  const first = await sendCall(buildTarget(cluster), call);
  const second = await sendCall(buildTarget(cluster), call);
  const durationMs = performance.now() - startedAt;
  for (const answer of [first, second]) {
    if (answer.status !== 201) return Err(`the sweep returned ${describeAnswer(answer)}`);
  }
  if (first.text !== second.text) {
    return Err(
      `the same idempotency key returned two different answers: ${first.text} and ${second.text}`,
    );
  }
  const inspectionUrl = Object.values(cluster.standinUrls.ledgers)[0]?.inspection ?? '';
  const count = await countExecutions(inspectionUrl, idempotencyKey);
  if (count !== 1) return Err(`the sweep ran ${count.toString()} times`);
  return Ok({
    step: 'non-repeatable-call',
    durationMs,
    requestIds: [first.requestId, second.requestId],
    text: 'sent one sweep twice with the same idempotency key: it ran once, and both calls returned the same answer',
  });
};

const STEPS = [streamGeneration, performLookup, sendSweepTwice] as const;

/**
 * Runs the steps of the demo in sequence and stops at the first failure.
 *
 * @param cluster - running system
 * @param onReport - called after each finished step
 * @returns the reports of all steps, or the message of the first failure
 */
export const runSteps = async (
  cluster: Cluster,
  onReport: (report: StepReport) => void,
): Promise<Result<readonly StepReport[], string>> => {
  const reports: StepReport[] = [];
  for (const performStep of STEPS) {
    const result = await performStep(cluster);
    if (result.isErr()) return result;
    reports.push(result.value);
    onReport(result.value);
  }
  return Ok(reports);
};
