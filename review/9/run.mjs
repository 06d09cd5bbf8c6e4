// A bad version is ordered, and then the service is ordered back to the version before; see claim.txt.
import { fileURLToPath } from 'node:url';
import { createId, sendRequest } from '../lib-2/clients.mjs';
import { buildSweep, CONFIGURATION, KEYS, POOL_CORE } from '../lib-2/deployment.mjs';
import { startGateways } from '../lib-2/gateways.mjs';
import { findFreePort } from '../lib-2/ports.mjs';
import { createRecord, sleep } from '../lib-2/record.mjs';
import { startStore } from '../lib-2/store.mjs';
import { startWorkers } from '../lib-2/workers.mjs';

/** Without the trouble, the new version is a good one. */
const HAS_TROUBLE = process.env.TROUBLE !== '0';

const ZONES = ['pos-a', 'pos-b', 'pos-c'];
const SWEEP_GAP_MS = 40;
const ORDER_S = 12;
/** One of so many answers of the bad version fails. */
const FAIL_ONE_OF = 3;
const BAD_ANSWERS = 50;
const ROLLBACK_MS = 5_000;

const folder = fileURLToPath(new URL('.', import.meta.url));
const record = createRecord(folder);

const versions = { v1: { arrived: [], bad: [] }, v2: { arrived: [], bad: [] } };
const sentAt = new Map();
const answers = { ok: 0, failed: 0 };

const onEvent = ({ at, id, kind, status, version }) => {
  if (kind === 'arrived') versions[version].arrived.push({ at, id });
  if (kind === 'answered' && status !== 200) versions[version].bad.push({ at, id });
};

const sendSweeps = async (gateways, isOver) => {
  const pending = [];
  for (let call = 0; !isOver(); call += 1) {
    const gateway = gateways[call % gateways.length];
    const id = createId();
    sentAt.set(id, Date.now());
    record.add(`sweep ${id} sent to ${gateway.name}`);
    const sweep = buildSweep({ body: `sweep ${call}`, key: KEYS[call % KEYS.length], id });
    const answered = sendRequest(gateway, sweep).then(({ end, status }) => {
      record.add(`sweep ${id} answered ${status}, ${end}`);
      answers[status === 200 && end === 'whole' ? 'ok' : 'failed'] += 1;
    });
    pending.push(answered);
    await sleep(SWEEP_GAP_MS);
  }
  await Promise.all(pending);
};

const order = (store, target) => {
  const key = `rollout/${POOL_CORE}`;
  store.put('keyed.op', key, { service: POOL_CORE, target, durationS: ORDER_S });
  record.add(`op/${key}: target ${target} within ${ORDER_S} s`);
  return Date.now();
};

const countArrived = (version, from, until) =>
  versions[version].arrived.filter(({ at }) => at >= from && at < until).length;

const buildPlans = (version, trouble = {}) => ZONES.map((zone) => ({ zone, version, trouble }));

const judge = (orders) => {
  const [first, second] = orders;
  const until = Date.now();
  for (const version of ['v1', 'v2'])
    record.add(
      `${version}: ${countArrived(version, first, second)} requests from the first order to the second, ${countArrived(version, second, until)} after it, ${versions[version].bad.length} bad answers`,
    );
  record.add(`answers: ${JSON.stringify(answers)}`);
  const fiftieth = versions.v2.bad[BAD_ANSWERS - 1];
  if (!HAS_TROUBLE) return answers.failed === 0 ? 0 : 2;
  if (fiftieth === undefined) return 0;
  const late = versions.v2.arrived.filter(({ id }) => sentAt.get(id) > fiftieth.at + ROLLBACK_MS);
  record.add(
    `EXPOSURE: v2 got ${late.length} requests that were sent later than ${ROLLBACK_MS} ms after its 50th bad answer; none is allowed`,
  );
  return late.length > 0 ? 1 : 0;
};

let store = null;
let workers = null;
let fleet = null;
let code = 2;
try {
  store = await startStore('127.0.3.1', await findFreePort('127.0.3.1'));
  store.put('keyed.op', 'config', CONFIGURATION);
  const options = { kind: 'plain', onEvent, record, service: POOL_CORE, store: store.address };
  workers = await startWorkers(buildPlans('v1'), options);
  fleet = await startGateways([...ZONES, 'pos-a'], store.address, record);
  await sleep(2_000);
  let phase = 'running';
  const sent = sendSweeps(fleet.gateways, () => phase === 'over');
  await sleep(3_000);
  const orders = [order(store, 'v2')];
  // The workers of the target are started alongside the old ones.
  await workers.add(buildPlans('v2', HAS_TROUBLE ? { failOneOf: FAIL_ONE_OF } : {}));
  await sleep(ORDER_S * 1_000 + 3_000);
  orders.push(order(store, 'v1'));
  await workers.add(buildPlans('v1'));
  await sleep(ORDER_S * 1_000 + 8_000);
  phase = 'over';
  await sent;
  code = judge(orders);
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
} finally {
  fleet?.stop();
  workers?.stop();
  store?.close();
  record.add(`exit ${code}`);
  record.save();
}
process.exit(code);
