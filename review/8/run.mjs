// A worker spoils one piece of a memo and works on after its connection was closed; see claim.txt.
import { fileURLToPath } from 'node:url';
import { createId, sendRequest } from '../lib-2/clients.mjs';
import { buildMemo, CONFIGURATION, DRAFTER, KEYS } from '../lib-2/deployment.mjs';
import { startGateways } from '../lib-2/gateways.mjs';
import { findFreePort } from '../lib-2/ports.mjs';
import { createRecord, sleep } from '../lib-2/record.mjs';
import { startStore } from '../lib-2/store.mjs';
import { startWorkers } from '../lib-2/workers.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const ZONES = ['pos-a', 'pos-b', 'pos-c'];
const WORKERS = 6;
const CALLS = 120;
const CALL_GAP_MS = 200;
/** The answer of the worker that is spoiled, one of 20 or more, and the piece of it. */
const SPOILED_ANSWER = 8;
const SPOILED_PIECE = 40;
/** Time for which two workers may work on one run. */
const OVERLAP_MS = 400;

const folder = fileURLToPath(new URL('.', import.meta.url));
const record = createRecord(folder);

/** Times at which workers worked on each request. */
const works = new Map();
const arrivals = new Map();
const spoiled = [];
const answers = { whole: 0, other: 0 };

const onEvent = ({ at, events, id, kind, worker }) => {
  if (kind === 'arrived') arrivals.set(worker, (arrivals.get(worker) ?? 0) + 1);
  if (kind === 'piece-spoiled') spoiled.push({ at, events, id, worker });
  if (kind === 'run-began')
    works.set(id, [...(works.get(id) ?? []), { worker, from: at, to: null }]);
  if (kind === 'run-ended') {
    const work = works.get(id)?.findLast((other) => other.worker === worker && other.to === null);
    if (work !== undefined) work.to = at;
  }
};

const sendMemos = async (gateways) => {
  const pending = [];
  for (let call = 0; call < CALLS; call += 1) {
    const gateway = gateways[call % gateways.length];
    const id = createId();
    const own = (0xb000 + call).toString(16);
    const key = KEYS[call % KEYS.length];
    const memo = { body: `paper ${call}`, key, id, own, tokens: [600, 480] };
    record.add(`memo ${id} sent to ${gateway.name}`);
    const answered = sendRequest(gateway, buildMemo(memo)).then(({ end, status }) => {
      record.add(`memo ${id} answered ${status}, ${end}`);
      answers[end === 'whole' && status === 200 ? 'whole' : 'other'] += 1;
    });
    pending.push(answered);
    await sleep(CALL_GAP_MS);
  }
  await Promise.all(pending);
};

/** Finds the requests on which an earlier worker still worked 400 ms after they went on at a later one. */
const findDoubles = () => {
  const doubles = [];
  for (const [id, [earlier, ...later]] of works) {
    for (const next of later) {
      const overlapMs = (earlier.to ?? Infinity) - next.from;
      if (next.worker !== earlier.worker && overlapMs > OVERLAP_MS)
        doubles.push({ id, earlier: earlier.worker, later: next.worker, overlapMs });
    }
  }
  return doubles;
};

const judge = () => {
  record.add(`answers: ${JSON.stringify(answers)}`);
  for (const { id, worker } of spoiled) {
    const share = 1 / (arrivals.get(worker) ?? 1);
    record.add(`worker ${worker} spoiled memo ${id}: ${(share * 100).toFixed(1)}% of its answers`);
  }
  const doubles = findDoubles();
  for (const { earlier, id, later, overlapMs } of doubles)
    record.add(
      `TWICE: memo ${id} went on at ${later} while ${earlier} still worked on it ${overlapMs} ms later; ${OVERLAP_MS} ms are allowed`,
    );
  if (!HAS_TROUBLE) return doubles.length === 0 && answers.other === 0 ? 0 : 2;
  if (spoiled.length === 0) return 2;
  return doubles.length > 0 ? 1 : 0;
};

let store = null;
let workers = null;
let fleet = null;
let code = 2;
try {
  store = await startStore('127.0.3.1', await findFreePort('127.0.3.1'));
  store.put('keyed.op', 'config', CONFIGURATION);
  // Most workers drop a request when its connection closes; this one of six does not.
  const odd = HAS_TROUBLE ? { spoilAnswer: SPOILED_ANSWER, spoilEvent: SPOILED_PIECE } : {};
  const plans = Array.from({ length: WORKERS }, (_, index) => ({
    zone: ZONES[index % ZONES.length],
    trouble: index === 0 ? { ...odd, onClose: 'runs-on' } : {},
  }));
  const options = { onEvent, record, service: DRAFTER, store: store.address };
  workers = await startWorkers(plans, options);
  fleet = await startGateways([...ZONES, 'pos-a'], store.address, record);
  await sleep(2_000);
  await sendMemos(fleet.gateways);
  await sleep(1_000);
  code = judge();
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
