import test from 'ava';
import { startCluster } from './startCluster.js';
import { buildCallerTarget, fetchBalance, openTestStream, waitForLogEvent } from './testing.js';

const STREAM_TOKENS = 3_000;

// Guards against an entry daemon that crashes because one endpoint daemon does not answer: the
// probe of the frozen connection closes it, and its running streams resume at once.
test.serial('a frozen endpoint daemon does not crash an entry daemon', async (t) => {
  const cluster = await startCluster({ entryDaemons: 1, engines: [{}], ledgers: 1 });
  t.teardown(cluster.stop);
  const entryUrl = cluster.entryUrls[0] ?? '';
  const caller = buildCallerTarget(cluster, entryUrl);
  const streams = await Promise.all(
    ['memo 0', 'memo 1'].map((content) =>
      openTestStream(caller, { model: cluster.model, content, targetTokens: STREAM_TOKENS }),
    ),
  );
  await Promise.all(streams.map((stream) => stream.waitForChunks(5)));
  const endpoint = cluster.findProcess('endpoint-1');
  endpoint.freeze();
  await waitForLogEvent(entryUrl, 'endpoint-phase-changed', ({ data }) => data?.['to'] === 'gone');
  for (const stream of streams) {
    const { end } = await stream.read();
    t.is(end.kind, 'failed');
    if (end.kind === 'failed') t.like(end.problem, { code: 'stream-lost' });
  }
  t.is((await fetchBalance(caller)).status, 200);
  endpoint.resume();
  t.deepEqual(await cluster.findProcess('entry-1').kill('SIGTERM'), { code: 0, signal: null });
});
