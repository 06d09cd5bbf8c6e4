import test from 'ava';
import { startCluster } from './startCluster.js';
import { buildCallerTarget, checkTokens, openTestStream } from './testing.js';
import type { Cluster, ClusterOptions } from './types.js';

const STREAM_TOKENS = 300;

const startTestCluster = (options: ClusterOptions = {}): Promise<Cluster> =>
  startCluster({ engines: [{}, {}], ledgers: 0, ...options });

const startStreams = (cluster: Cluster, baseUrl: string, count: number) =>
  Promise.all(
    Array.from({ length: count }, (_, index) =>
      openTestStream(buildCallerTarget(cluster, baseUrl), {
        model: cluster.model,
        content: `memo ${index.toString()}`,
        targetTokens: STREAM_TOKENS,
      }),
    ),
  );

// Guards against a shutdown of an entry daemon that interrupts streams it could have finished.
test.serial('an entry daemon finishes its streams after SIGTERM', async (t) => {
  const cluster = await startTestCluster();
  t.teardown(cluster.stop);
  const streams = await startStreams(cluster, cluster.entryUrls[0] ?? '', 3);
  await Promise.all(streams.map((stream) => stream.waitForChunks(5)));
  const exit = cluster.findProcess('entry-1').kill('SIGTERM');
  for (const stream of streams) {
    const { texts, end } = await stream.read();
    t.deepEqual(end, { kind: 'done' });
    t.is(checkTokens(texts), null);
    t.is(texts.length, STREAM_TOKENS);
  }
  t.deepEqual(await exit, { code: 0, signal: null });
});

// Guards against a stream that is interrupted at the end of the drain time and cannot be resumed
// elsewhere.
test.serial(
  'a stream that outlasts the drain time resumes at the other entry daemon',
  async (t) => {
    const cluster = await startTestCluster({ drainMs: 1_000 });
    t.teardown(cluster.stop);
    const [stream] = await startStreams(cluster, cluster.entryUrls[0] ?? '', 1);
    await stream?.waitForChunks(5);
    const exit = await cluster.findProcess('entry-1').kill('SIGTERM');
    t.deepEqual(exit, { code: 0, signal: null });
    const first = await stream?.read();
    t.is(first?.end.kind, 'interrupted');
    const resumed = await openTestStream(buildCallerTarget(cluster, cluster.entryUrls[1]), {
      model: cluster.model,
      content: 'memo 0',
      lastEventId: first?.lastEventId ?? '',
    });
    const rest = await resumed.read();
    t.deepEqual(rest.end, { kind: 'done' });
    const texts = [...(first?.texts ?? []), ...rest.texts];
    t.is(checkTokens(texts), null);
    t.is(texts.length, STREAM_TOKENS);
  },
);

// Guards against a leaving endpoint daemon that interrupts its streams or gets new work.
test.serial(
  'a leaving endpoint daemon finishes its streams, and others get new work',
  async (t) => {
    const cluster = await startTestCluster();
    t.teardown(cluster.stop);
    const streams = await startStreams(cluster, cluster.baseUrl, 3);
    await Promise.all(streams.map((stream) => stream.waitForChunks(5)));
    const exit = cluster.drainDaemon('endpoint-1');
    const later = await startStreams(cluster, cluster.baseUrl, 2);
    for (const stream of [...streams, ...later]) {
      const { texts, end } = await stream.read();
      t.deepEqual(end, { kind: 'done' });
      t.is(checkTokens(texts), null);
      t.is(texts.length, STREAM_TOKENS);
    }
    t.deepEqual(await exit, { code: 0, signal: null });
  },
);

// Guards against a whole answer that outlasts the drain of its entry daemon: its caller got neither an
// answer nor a refusal, and the process did not end.
test.serial('a whole answer that outlasts the drain time is answered with an error', async (t) => {
  const cluster = await startTestCluster({ drainMs: 1_000 });
  t.teardown(cluster.stop);
  const baseUrl = cluster.entryUrls[0] ?? '';
  const { key } = buildCallerTarget(cluster, baseUrl);
  const answer = fetch(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: cluster.model,
      messages: [{ role: 'user', content: 'memo' }],
      max_tokens: 4_000,
      metadata: { target_tokens: '4000' },
    }),
  });
  const [stream] = await startStreams(cluster, baseUrl, 1);
  await stream?.waitForChunks(5);
  const exit = cluster.findProcess('entry-1').kill('SIGTERM');
  t.is((await answer).status, 502);
  t.deepEqual(await exit, { code: 0, signal: null });
});
