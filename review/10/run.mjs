// A request with a prompt of many parts crashes two workers while others with most of the parts begin; see claim.txt.
import { fileURLToPath } from 'node:url';
import { createId, sendRequest } from '../lib-2/clients.mjs';
import {
  buildMemo,
  buildSweep,
  CONFIGURATION,
  DRAFTER,
  KEYS,
  POOL_CORE,
} from '../lib-2/deployment.mjs';
import { startGateways } from '../lib-2/gateways.mjs';
import { findFreePort } from '../lib-2/ports.mjs';
import { createRecord, sleep } from '../lib-2/record.mjs';
import { startStore } from '../lib-2/store.mjs';
import { startWorkers } from '../lib-2/workers.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const ZONES = ['pos-a', 'pos-b', 'pos-c'];
const WORKERS = 8;
const SWEEP_GAP_MS = 40;
const SWEEP_DEADLINE_MS = 3_000;
/** Time-out of the route of the sweeps, and the time after it in which an answer is due. */
const TIMEOUT_MS = 600;
const SLACK_MS = 500;
const MIN_JUDGED = 8;

/** A document in blocks of 16 tokens, each with a hash of its own. */
const BLOCK_TOKENS = 16;
const BLOCK_COUNT = Number(process.env.BLOCK_COUNT ?? 256);
const BLOCKS = Array.from({ length: BLOCK_COUNT }, (_, index) => (0x1a000 + index).toString(16));
const POISON = 'the question that crashes';

const folder = fileURLToPath(new URL('.', import.meta.url));
const record = createRecord(folder);

const crashes = [];
const sweeps = [];

const onEvent = ({ at, id, kind, worker }) => {
  if (kind === 'crashes') crashes.push({ at, id, worker });
};

const sendSweeps = async (gateways, isOver) => {
  const pending = [];
  for (let call = 0; !isOver(); call += 1) {
    const gateway = gateways[call % gateways.length];
    const id = createId();
    const sentAt = Date.now();
    const sweep = buildSweep({ body: `sweep ${call}`, key: KEYS[call % KEYS.length], id });
    sweep.headers['Deadline-Ms'] = SWEEP_DEADLINE_MS.toString();
    record.add(`sweep ${id} sent to ${gateway.name}`);
    const answered = sendRequest(gateway, sweep).then(({ end, status }) => {
      const afterMs = Date.now() - sentAt;
      sweeps.push({ afterMs, end, gateway: gateway.name, sentAt, status });
      record.add(`sweep ${id} answered ${status}, ${end}, after ${afterMs} ms`);
    });
    pending.push(answered);
    await sleep(SWEEP_GAP_MS);
  }
  await Promise.all(pending);
};

const ask = (gateway, name, blocks, body) => {
  const id = createId();
  const own = (0x2b000 + Math.floor(Math.random() * 0x1000)).toString(16);
  const memo = buildMemo({
    body,
    key: KEYS[0],
    id,
    own,
    tokens: [(BLOCK_COUNT + 1) * BLOCK_TOKENS, 200],
  });
  const parts = [...blocks, own].map((block) => `${block}:${BLOCK_TOKENS}`);
  memo.headers['Prefix-Hash'] = parts.join(',');
  record.add(`${name} ${id} sent to ${gateway.name}, head of ${parts.join(',').length} bytes`);
  return sendRequest(gateway, memo).then(({ end, status }) => {
    record.add(`${name} ${id} answered ${status}, ${end}`);
  });
};

/** Each gateway gets a question about another version of the document, which differs near its end. */
const askOthers = (gateways) =>
  gateways.map((gateway, index) =>
    ask(gateway, 'other version', BLOCKS.slice(0, -1 - index), `version ${index}`),
  );

const judge = () => {
  const late = sweeps.filter(({ afterMs, end }) => afterMs > TIMEOUT_MS || end === 'deadline');
  const unanswered = late.filter(
    ({ afterMs, end }) => afterMs > TIMEOUT_MS + SLACK_MS || end === 'deadline',
  );
  record.add(`crashes: ${crashes.length}; sweeps: ${sweeps.length}`);
  for (const name of new Set(unanswered.map(({ gateway }) => gateway))) {
    const at = unanswered.filter(({ gateway }) => gateway === name).map(({ sentAt }) => sentAt);
    const spanMs = Math.max(...at) - Math.min(...at);
    record.add(`${name}: ${at.length} sweeps without an answer, sent within ${spanMs} ms`);
  }
  record.add(
    `CONFIG: of ${late.length} sweeps without an answer at their time-out, ${unanswered.length} had none ${SLACK_MS} ms later; half of them may`,
  );
  if (!HAS_TROUBLE) return late.length < MIN_JUDGED ? 0 : 2;
  if (crashes.length < 2) return 2;
  return late.length >= MIN_JUDGED && unanswered.length > late.length / 2 ? 1 : 0;
};

let store = null;
let models = null;
let plain = null;
let fleet = null;
let code = 2;
try {
  store = await startStore('127.0.3.1', await findFreePort('127.0.3.1'));
  store.put('keyed.op', 'config', CONFIGURATION);
  const trouble = HAS_TROUBLE ? { poison: POISON, crashAt: 0 } : {};
  const plans = Array.from({ length: WORKERS }, (_, index) => ({
    zone: ZONES[index % ZONES.length],
    trouble,
  }));
  const options = { onEvent, record, store: store.address };
  models = await startWorkers(plans, { ...options, service: DRAFTER });
  const plainOptions = { ...options, kind: 'plain', service: POOL_CORE };
  plain = await startWorkers(
    ZONES.map((zone) => ({ zone })),
    plainOptions,
  );
  fleet = await startGateways([...ZONES, 'pos-a'], store.address, record);
  const { gateways } = fleet;
  await sleep(2_000);
  let phase = 'running';
  const sent = sendSweeps(gateways, () => phase === 'over');
  await sleep(2_000);
  const asked = [ask(gateways[0], 'poison', BLOCKS, POISON)];
  await sleep(4_000);
  asked.push(ask(gateways[1], 'poison', BLOCKS, POISON));
  await sleep(150);
  asked.push(...askOthers(gateways));
  await sleep(12_000);
  phase = 'over';
  await sent;
  await Promise.race([Promise.all(asked), sleep(15_000)]);
  code = judge();
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
} finally {
  fleet?.stop();
  models?.stop();
  plain?.stop();
  store?.close();
  record.add(`exit ${code}`);
  record.save();
}
process.exit(code);
