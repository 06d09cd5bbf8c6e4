import test from 'ava';
import { request } from 'undici';
import { countGenerations } from './callers/standinClient.js';
import { openStream } from './callers/streamClient.js';
import type { ChatOptions, ProblemFields } from './callers/types.js';
import { startCluster } from './startCluster.js';
import {
  buildCallerTarget,
  checkTokens,
  openTestStream,
  waitForLogEvent,
  waitUntil,
} from './testing.js';
import type { Cluster } from './types.js';
import { createId } from '../core/ids.js';

const TARGET_TOKENS = 120;
const CHUNKS_BEFORE_FAULT = 10;
const NON_REPEATABLE_CLASS = {
  className: 'once',
  importance: 'standard',
  answerLength: 'long',
  firstTokenMs: 2_000,
  tokenGapMs: 200,
  stallMs: 1_000,
  deadlineMs: 60_000,
  repeat: 'never',
  delivery: 'stream',
} as const;

let cluster: Cluster;

const getEntryUrl = (index: number): string => cluster.entryUrls[index] ?? '';

/** Publishes the class and waits until both entry daemons have applied it. */
const publishClass = async (): Promise<void> => {
  const answer = await request(`${cluster.operatorUrl}/operator/records`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${cluster.operatorKey}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      kind: 'targets',
      entity: 'targets',
      basedOn: null,
      body: { classes: [NON_REPEATABLE_CLASS] },
    }),
  });
  if (answer.statusCode !== 200) throw new Error(await answer.body.text());
  await answer.body.dump();
  for (const url of cluster.entryUrls) await waitForLogEvent(url, 'configuration-applied');
};

test.beforeEach(async () => {
  // Steps of 10 ms leave time to kill a daemon in the middle of a generation.
  cluster = await startCluster({
    engines: [{ standin: { stepBaseMs: 10 } }, { standin: { stepBaseMs: 10 } }],
  });
  await publishClass();
});

test.afterEach.always(() => cluster.stop());

const buildOptions = (key?: string): ChatOptions & { readonly requestId: string } => ({
  model: cluster.model,
  content: `board paper ${createId()}`,
  targetTokens: TARGET_TOKENS,
  className: NON_REPEATABLE_CLASS.className,
  requestId: createId(),
  ...(key === undefined ? {} : { idempotencyKey: key }),
});

const countRuns = (requestId: string): Promise<number> =>
  countGenerations(Object.values(cluster.standinUrls.engines), requestId);

type Reply =
  | { readonly kind: 'answer'; readonly texts: readonly string[] }
  | { readonly kind: 'problem'; readonly problem: ProblemFields };

const sendGeneration = async (baseUrl: string, options: ChatOptions): Promise<Reply> => {
  const answer = await openStream(buildCallerTarget(cluster, baseUrl), options);
  if (answer.kind === 'refused') return { kind: 'problem', problem: answer.problem };
  const { end, texts } = await answer.read();
  if (end.kind === 'done') return { kind: 'answer', texts };
  if (end.kind === 'failed') return { kind: 'problem', problem: end.problem };
  throw new Error(`the stream was interrupted: ${end.reason}`);
};

/** Retries a generation until it is not refused as `not-run`, as a caller does. */
const sendUntilAnswered = (baseUrl: string, options: ChatOptions): Promise<Reply> =>
  waitUntil(async () => {
    const reply = await sendGeneration(baseUrl, options);
    const isRefused = reply.kind === 'problem' && reply.problem.verdict === 'not-run';
    return isRefused ? undefined : reply;
  });

// Guards against a generation that a caller retries after a crash and that then runs twice.
test.serial('a generation whose entry daemon is killed in mid-stream runs once', async (t) => {
  const options = buildOptions(createId());
  const interrupted = await openTestStream(buildCallerTarget(cluster, getEntryUrl(0)), options);
  const received = await interrupted.waitForChunks(CHUNKS_BEFORE_FAULT);
  await cluster.findProcess('entry-1').kill('SIGKILL');
  t.is((await interrupted.read()).end.kind, 'interrupted');
  const reply = await sendUntilAnswered(getEntryUrl(1), options);
  t.is(reply.kind, 'answer', JSON.stringify(reply));
  if (reply.kind !== 'answer') return;
  t.is(checkTokens(reply.texts), null);
  t.is(reply.texts.length, TARGET_TOKENS);
  // The first token is the id of the generation.
  t.is(reply.texts[0], received.texts[0]);
  t.is(await countRuns(options.requestId), 1);
});

// Guards against a repeated idempotency key that starts a second generation at any entry daemon.
test.serial('a repeated key gets the stored answer at both entry daemons', async (t) => {
  const options = buildOptions(createId());
  const first = await sendGeneration(getEntryUrl(0), options);
  t.is(first.kind, 'answer', JSON.stringify(first));
  for (const index of [0, 1, 0]) {
    t.deepEqual(await sendUntilAnswered(getEntryUrl(index), options), first);
  }
  t.is(await countRuns(options.requestId), 1);
  const other = { ...options, content: 'another paper' };
  const conflict = await sendGeneration(getEntryUrl(1), other);
  t.like(conflict, { kind: 'problem', problem: { verdict: 'not-run', code: 'key-conflict' } });
  t.is(await countRuns(options.requestId), 1);
});

// Guards against two entry daemons that both start the same generation.
test.serial('a generation sent to both entry daemons at once runs once', async (t) => {
  const options = buildOptions(createId());
  const replies = await Promise.all(
    [0, 1].map((index) => sendUntilAnswered(getEntryUrl(index), options)),
  );
  t.is(replies[0]?.kind, 'answer', JSON.stringify(replies));
  t.deepEqual(replies[0], replies[1]);
  t.is(await countRuns(options.requestId), 1);
});

// Guards against an orphan timeout that cancels a generation with an idempotency key after its
// caller has disconnected.
test.serial('a generation whose caller disconnected runs to its end and is stored', async (t) => {
  const options = buildOptions(createId());
  const abandoned = await openTestStream(buildCallerTarget(cluster, getEntryUrl(0)), options);
  const received = await abandoned.waitForChunks(CHUNKS_BEFORE_FAULT);
  abandoned.close();
  await waitForLogEvent(getEntryUrl(0), 'outcome-appended');
  const reply = await sendUntilAnswered(getEntryUrl(1), options);
  t.is(reply.kind, 'answer', JSON.stringify(reply));
  if (reply.kind === 'answer') t.is(reply.texts[0], received.texts[0]);
  t.is(await countRuns(options.requestId), 1);
});

// Guards against a second attempt after one that may have run, for a request without an idempotency
// key.
test.serial('a generation without a key makes one attempt that may have run', async (t) => {
  const options = { ...buildOptions(), targetTokens: 2_000 };
  const stream = await openTestStream(buildCallerTarget(cluster, getEntryUrl(0)), options);
  await stream.waitForChunks(CHUNKS_BEFORE_FAULT);
  const endpoints = cluster.processes.filter(({ role }) => role === 'endpoint');
  const runs = await Promise.all(
    Object.values(cluster.standinUrls.engines).map((url) =>
      countGenerations([url], options.requestId),
    ),
  );
  const endpoint = endpoints.filter(({ urls }) => urls['rpc'] !== undefined)[runs.indexOf(1)];
  await endpoint?.kill('SIGKILL');
  const { end } = await stream.read();
  t.like(end, { kind: 'failed', problem: { verdict: 'may-have-run' } });
  t.is(await countRuns(options.requestId), 1);
});
