import test from 'ava';
import { applyFault } from './callers/standinClient.js';
import type { StreamResult } from './callers/types.js';
import { startCluster } from './startCluster.js';
import {
  buildCallerTarget,
  checkTokens,
  fetchStats,
  openTestStream,
  waitForLogEvent,
} from './testing.js';
import type { Cluster } from './types.js';

const STREAM_TOKENS = 300;

let cluster: Cluster;

test.beforeEach(async () => {
  cluster = await startCluster({ engines: [{}], ledgers: 0 });
});

test.afterEach.always(() => cluster.stop());

const getEntryUrl = (index: number): string => cluster.entryUrls[index] ?? '';

const getEngineUrl = (): string => Object.values(cluster.standinUrls.engines)[0] ?? '';

// Guards against lost or duplicate tokens, or a second generation, after an entry daemon was
// killed.
test.serial('a stream resumes at the other entry daemon after one was killed', async (t) => {
  const options = { model: cluster.model, content: 'memo', targetTokens: STREAM_TOKENS };
  const stream = await openTestStream(buildCallerTarget(cluster, getEntryUrl(0)), options);
  await stream.waitForChunks(20);
  await cluster.findProcess('entry-1').kill('SIGKILL');
  const first = await stream.read();
  t.is(first.end.kind, 'interrupted');
  t.is(checkTokens(first.texts), null);
  t.true(first.texts.length < STREAM_TOKENS);
  const resumed = await openTestStream(buildCallerTarget(cluster, getEntryUrl(1)), {
    ...options,
    lastEventId: first.lastEventId ?? '',
  });
  const rest = await resumed.read();
  t.deepEqual(rest.end, { kind: 'done' });
  t.is(checkTokens([...first.texts, ...rest.texts]), null);
  t.is(first.texts.length + rest.texts.length, STREAM_TOKENS);
});

// Guards against a stream that hangs, ends as if complete, or continues with tokens of another
// generation after its endpoint daemon was killed.
test.serial('a stream whose endpoint daemon was killed ends with an explicit error', async (t) => {
  const options = { model: cluster.model, content: 'memo', targetTokens: STREAM_TOKENS };
  const stream = await openTestStream(buildCallerTarget(cluster), options);
  await stream.waitForChunks(20);
  const endpoint = cluster.findProcess('endpoint-1');
  await endpoint.kill('SIGKILL');
  const { texts, end } = await stream.read();
  t.is(checkTokens(texts), null);
  t.like(end, { kind: 'failed', problem: { code: 'stream-lost', verdict: 'may-have-run' } });
  await endpoint.restart();
  const again = await openTestStream(buildCallerTarget(cluster), { ...options, targetTokens: 10 });
  t.like(await again.read(), { end: { kind: 'done' } });
});

/** Returns null when a stream is complete or ends with an error event, and has the right tokens. */
const checkExplicitEnd = ({ texts, end }: StreamResult, tokens: number): string | null => {
  if (end.kind === 'interrupted') return `interrupted: ${end.reason}`;
  if (end.kind === 'done' && texts.length !== tokens)
    return `ended after ${texts.length.toString()}`;
  return texts.length === 0 ? null : checkTokens(texts);
};

// Guards against answers spliced from two generations, and against full load on an engine whose
// cache and ramp-up have started over.
test.serial(
  'an engine that restarts cold under load splices no answers and is not overloaded',
  async (t) => {
    const options = { model: cluster.model, targetTokens: STREAM_TOKENS };
    const caller = buildCallerTarget(cluster);
    // The first streams are admitted at once; the others wait until the admission limit grows.
    const waiting = Array.from({ length: 8 }, (_, index) =>
      openTestStream(caller, { ...options, content: `memo ${index.toString()}` }),
    );
    const first = await Promise.race(waiting);
    await first.waitForChunks(20);
    const endpointUrl = cluster.findProcess('endpoint-1').urls['http'] ?? '';
    const before = await fetchStats(getEngineUrl());
    await applyFault(getEngineUrl(), { kind: 'restart-cold' });
    await waitForLogEvent(endpointUrl, 'engine-restarted');
    const results = await Promise.allSettled(
      waiting.map(async (opening) => (await opening).read()),
    );
    for (const result of results) {
      // A refusal is explicit too: the caller has received no token.
      if (result.status === 'fulfilled') t.is(checkExplicitEnd(result.value, STREAM_TOKENS), null);
      else t.regex(String(result.reason), /"verdict":"(not-run|may-have-run)"/);
    }
    t.like(await first.read(), { end: { kind: 'failed' } });
    const after = await fetchStats(getEngineUrl());
    t.is(after['overloadedWhileCold'], before['overloadedWhileCold']);
    const again = await openTestStream(caller, { ...options, content: 'after', targetTokens: 10 });
    t.like(await again.read(), { end: { kind: 'done' } });
  },
);

// Guards against callers that hang on a frozen daemon, and against a resumed daemon that acts on
// outdated state.
test.serial('a stream resumes at the other entry daemon while one is frozen', async (t) => {
  const options = { model: cluster.model, content: 'memo', targetTokens: STREAM_TOKENS };
  const stream = await openTestStream(buildCallerTarget(cluster, getEntryUrl(0)), options);
  await stream.waitForChunks(20);
  const frozen = cluster.findProcess('entry-1');
  frozen.freeze();
  // The caller reads what the daemon sent before it was frozen, and then disconnects.
  const { texts, lastEventId = '' } = await stream.waitForChunks(20);
  stream.close();
  const resumed = await openTestStream(buildCallerTarget(cluster), { ...options, lastEventId });
  const rest = await resumed.read();
  t.deepEqual(rest.end, { kind: 'done' });
  t.is(checkTokens([...texts, ...rest.texts]), null);
  t.is(texts.length + rest.texts.length, STREAM_TOKENS);
  frozen.resume();
  const short = { ...options, targetTokens: 10 };
  const again = await openTestStream(buildCallerTarget(cluster, getEntryUrl(0)), short);
  t.like(await again.read(), { end: { kind: 'done' } });
});
