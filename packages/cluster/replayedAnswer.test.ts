import test from 'ava';
import { startCluster } from './startCluster.js';
import { buildCallerTarget, sendSweep, waitForLogEvent } from './testing.js';
import { createId } from '../core/ids.js';

// Longer than an entry daemon waits for one reply of an endpoint daemon.
const FREEZE_MS = 2_500;

// Guards against a repeated key that gets only the digest of its answer, because the endpoint daemon
// that stores the answer was silent for a moment.
test.serial('a repeated key gets the answer of an endpoint daemon that was silent', async (t) => {
  const cluster = await startCluster({ engines: [], ledgers: 1 });
  t.teardown(cluster.stop);
  const [first = '', second = ''] = cluster.entryUrls;
  const key = createId();
  const original = await sendSweep(buildCallerTarget(cluster, first), key);
  t.is(original.status, 201, original.text);
  const isOutcome = ({ data }: { data?: Readonly<Record<string, unknown>> }): boolean =>
    data?.['record'] === 'outcome';
  await waitForLogEvent(first, 'outcome-appended', isOutcome);
  const endpoint = cluster.findProcess('endpoint-1');
  endpoint.freeze();
  setTimeout(endpoint.resume, FREEZE_MS);
  const repeated = await sendSweep(buildCallerTarget(cluster, second), key);
  t.is(repeated.status, 201, repeated.text);
  t.is(repeated.text, original.text);
});
