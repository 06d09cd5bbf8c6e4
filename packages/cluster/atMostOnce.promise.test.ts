import test from 'ava';
import { applyFault, countExecutions } from './callers/standinClient.js';
import type { CallerAnswer } from './callers/types.js';
import { startCluster } from './startCluster.js';
import {
  buildCallerTarget,
  fetchBalance,
  fetchStats,
  getInspectionUrl,
  openTestStream,
  sendSweep,
  waitForLogEvent,
  waitUntil,
} from './testing.js';
import type { Cluster } from './types.js';
import { createId } from '../core/ids.js';

let cluster: Cluster;

test.beforeEach(async () => {
  cluster = await startCluster({ engines: [{}] });
});

test.afterEach.always(() => cluster.stop());

const getEntryUrl = (index: number): string => cluster.entryUrls[index] ?? '';

const countRuns = (key: string): Promise<number> => countExecutions(getInspectionUrl(cluster), key);

const getVerdict = ({ json }: CallerAnswer): unknown =>
  (json as { readonly verdict?: unknown } | undefined)?.verdict;

/** Retries a sweep until it is not refused as `not-run`, as a caller does. */
const sendUntilAnswered = (key: string, baseUrl: string): Promise<CallerAnswer> =>
  waitUntil(async () => {
    const answer = await sendSweep(buildCallerTarget(cluster, baseUrl), key);
    return getVerdict(answer) === 'not-run' ? undefined : answer;
  });

// Guards against two entry daemons that both run the same instruction.
test.serial('a sweep sent to both entry daemons at once runs once', async (t) => {
  const keys = Array.from({ length: 8 }, createId);
  const pairs = await Promise.all(
    keys.map(async (key) => ({
      key,
      answers: await Promise.all(
        [0, 1].map((index) => sendSweep(buildCallerTarget(cluster, getEntryUrl(index)), key)),
      ),
    })),
  );
  for (const { key, answers } of pairs) {
    const successes = answers.filter(({ status }) => status === 201);
    t.true(successes.length >= 1, answers.map(({ text }) => text).join(' '));
    t.is(new Set(successes.map(({ text }) => text)).size, 1);
    t.is(await countRuns(key), 1);
    const again = await sendUntilAnswered(key, getEntryUrl(1));
    t.is(again.status, 201, again.text);
    t.is(again.text, successes[0]?.text ?? '');
    t.is(await countRuns(key), 1);
  }
});

// Guards against a sweep that runs without a durable intent, and against a log outage that stops
// requests that do not need the log.
test.serial('a log outage refuses sweeps as not-run and nothing else', async (t) => {
  const platformUrl = cluster.standinUrls.platform;
  await applyFault(platformUrl, { log: 'down' });
  const key = createId();
  const caller = buildCallerTarget(cluster, getEntryUrl(0));
  const refused = await sendSweep(caller, key);
  t.is(refused.status, 503, refused.text);
  t.like(refused.json, { verdict: 'not-run', code: 'log-unavailable' });
  t.is((await fetchBalance(caller)).status, 200);
  const options = { model: cluster.model, content: 'memo', targetTokens: 10 };
  const stream = await openTestStream(caller, options);
  t.like(await stream.read(), { end: { kind: 'done' } });
  t.is(await countRuns(key), 0);
  await applyFault(platformUrl, { log: 'up' });
  const answer = await sendUntilAnswered(key, getEntryUrl(0));
  t.is(answer.status, 201, answer.text);
  t.is(await countRuns(key), 1);
});

// Guards against a second intent, and a second execution, after the answer of an append was lost.
test.serial('sweeps whose append answers are lost run at most once', async (t) => {
  const platformUrl = cluster.standinUrls.platform;
  await applyFault(platformUrl, { log: 'lose-answers' });
  const keys = Array.from({ length: 4 }, createId);
  const answers = await Promise.all(
    keys.map((key) => sendSweep(buildCallerTarget(cluster, getEntryUrl(0)), key)),
  );
  for (const [index, answer] of answers.entries()) {
    const runs = await countRuns(keys[index] ?? '');
    const expected = answer.status === 201 ? [1] : getVerdict(answer) === 'not-run' ? [0] : [0, 1];
    t.true(expected.includes(runs), `${runs.toString()} runs: ${answer.text}`);
  }
  await applyFault(platformUrl, { log: 'up' });
  for (const key of keys) {
    const answer = await sendUntilAnswered(key, getEntryUrl(1));
    t.is(answer.status, 201, answer.text);
    t.is(await countRuns(key), 1);
  }
});

// Guards against a sweep that a caller retries after a crash and that then moves money twice.
test.serial('a sweep in flight when its entry daemon is killed runs once', async (t) => {
  const inspectionUrl = getInspectionUrl(cluster);
  const { calls: before = 0 } = await fetchStats(inspectionUrl);
  await applyFault(inspectionUrl, { kind: 'delay-before', delayMs: 1_000 });
  const key = createId();
  const interrupted = sendSweep(buildCallerTarget(cluster, getEntryUrl(0)), key);
  await waitUntil(async () =>
    ((await fetchStats(inspectionUrl))['calls'] ?? 0) > before ? true : undefined,
  );
  await cluster.findProcess('entry-1').kill('SIGKILL');
  await t.throwsAsync(interrupted);
  const answer = await sendUntilAnswered(key, getEntryUrl(1));
  t.true(answer.status === 201 || getVerdict(answer) === 'may-have-run', answer.text);
  t.true((await countRuns(key)) <= 1);
});

// Guards against a daemon that, once resumed, dispatches an intent that another daemon settled
// meanwhile.
test.serial('a daemon that was frozen does not retry a sweep that ran meanwhile', async (t) => {
  const key = createId();
  const frozen = cluster.findProcess('entry-1');
  const frozenUrl = getEntryUrl(0);
  frozen.freeze();
  const frozenAnswer = sendSweep(buildCallerTarget(cluster, frozenUrl), key);
  const answer = await sendUntilAnswered(key, getEntryUrl(1));
  t.is(answer.status, 201, answer.text);
  const other = cluster.findProcess('entry-2').urls['callers'] ?? '';
  await waitForLogEvent(other, 'outcome-appended');
  frozen.resume();
  const { status, text } = await frozenAnswer;
  if (status === 201) t.is(text, answer.text);
  t.is(await countRuns(key), 1);
});
