import { setTimeout as wait } from 'node:timers/promises';
import { ENGINE_COUNT, LEDGER_COUNT } from './constants.js';
import { runHostileCalls } from './hostileCallers.js';
import type { LinkProxy } from './linkProxy.js';
import type { Soak } from './soakState.js';
import type {
  Disruption,
  Hindrance,
  LeaveNotice,
  LinkId,
  SoakFault,
  WorkerStatement,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';

/** Interval at which a restart waits for another gateway to serve, in ms. */
const SERVING_POLL_MS = 50;

/** Time for which a draining worker continues to serve, in ms. */
const WORKER_DRAIN_MS = 2_600;

const findLink = ({ storeLinks, workerLinks }: Soak, link: LinkId): LinkProxy | undefined => {
  switch (link.kind) {
    case 'store':
      return storeLinks[link.gateway];
    case 'worker':
      return workerLinks[link.slot];
    default:
      return assertNever(link);
  }
};

/**
 * Starts a worker in a slot and registers it, unless the soak is over.
 *
 * @param soak - running soak
 * @param slot - number of the slot
 * @returns resolves when the worker accepts connections
 */
export const startSlot = async (soak: Soak, slot: number): Promise<void> => {
  if (soak.phase === 'over') return;
  const link = soak.workerLinks[slot];
  const worker = await soak.platform.startWorker(slot);
  soak.workers[slot] = worker;
  link?.setTarget(worker.address);
  if (link !== undefined) worker.register(link.address);
};

const drainSlot = async (
  soak: Soak,
  slot: number,
  notice: LeaveNotice,
  durationMs: Millis,
): Promise<void> => {
  const worker = soak.workers[slot] ?? null;
  if (worker === null) return;
  soak.workers[slot] = null;
  worker.leave(notice);
  soak.changes.push({ kind: 'worker-leaving', workerId: worker.id, at: soak.clock.now() });
  await wait(WORKER_DRAIN_MS);
  worker.close();
  await wait(durationMs);
  await startSlot(soak, slot);
};

const failSlot = async (soak: Soak, slot: number, durationMs: Millis): Promise<void> => {
  const worker = soak.workers[slot] ?? null;
  if (worker === null) return;
  soak.workers[slot] = null;
  worker.crash();
  await wait(durationMs);
  await startSlot(soak, slot);
};

/** Reports whether another worker of the same service runs and does not state that it leaves. */
const hasStayingWorker = ({ leavingSlots, workers }: Soak, slot: number): boolean => {
  const isEngine = slot < ENGINE_COUNT;
  const [from, until] = isEngine ? [0, ENGINE_COUNT] : [ENGINE_COUNT, ENGINE_COUNT + LEDGER_COUNT];
  return workers.some(
    (worker, other) =>
      other >= from &&
      other < until &&
      other !== slot &&
      worker !== null &&
      !leavingSlots.has(other),
  );
};

/** Time after the end of a worker that had stated its leaving until the next one starts, in ms. */
const REPLACEMENT_MS = 500;

/** Lets a worker state that it leaves, unless it is the last of its service that does not. */
const reportLeaving = async (
  soak: Soak,
  { durationMs, end, slot }: Extract<WorkerStatement, { kind: 'worker-says-leaving' }>,
): Promise<void> => {
  const worker = soak.workers[slot] ?? null;
  if (worker === null || soak.leavingSlots.has(slot) || !hasStayingWorker(soak, slot)) return;
  soak.leavingSlots.add(slot);
  worker.sayLeaving();
  if (end === 'stays') return;
  await wait(durationMs);
  soak.leavingSlots.delete(slot);
  // Another fault may have replaced the worker meanwhile.
  if (soak.workers[slot] !== worker) return;
  if (end !== 'stopped') await drainSlot(soak, slot, end, REPLACEMENT_MS);
  else {
    soak.disruptions.push({
      cause: 'unplanned',
      from: soak.clock.now(),
      until: soak.clock.now() + REPLACEMENT_MS,
    });
    await failSlot(soak, slot, REPLACEMENT_MS);
  }
};

const refuseAtSlot = async (
  soak: Soak,
  { durationMs, retryAfter, slot }: Extract<WorkerStatement, { kind: 'worker-rests' }>,
): Promise<void> => {
  const worker = soak.workers[slot] ?? null;
  worker?.setRest(retryAfter);
  await wait(durationMs);
  worker?.setRest(null);
};

/** Returns what a fault keeps from running or from being delivered, beside the callers' requests. */
const findHindered = (fault: SoakFault): Hindrance['subject'] | null => {
  if (fault.kind === 'pause') return { kind: 'gateway', gateway: fault.gateway };
  if (fault.kind === 'worker-silence') return { kind: 'slot', slot: fault.slot };
  return fault.kind === 'link' && fault.link.kind === 'worker'
    ? { kind: 'slot', slot: fault.link.slot }
    : null;
};

/**
 * Classifies the disruption that suspends time limits while the fault lasts. Planned changes and
 * silent workers are none.
 */
const classifyDisruption = ({ kind }: SoakFault): Disruption['cause'] | 'none' => {
  switch (kind) {
    case 'kill':
    case 'pause':
    case 'link':
    case 'store':
    case 'compact-store':
    case 'worker-crash':
      return 'unplanned';
    case 'terminate':
    case 'restart-gateways':
      return 'planned';
    case 'reload':
    case 'worker-leave':
    case 'worker-silence':
    case 'worker-says-leaving':
    case 'worker-rests':
    case 'hostile-callers':
    case 'configure':
    case 'configure-series':
    case 'revoke-key':
    case 'data-centre-out':
      return 'none';
    default:
      return assertNever(kind);
  }
};

const takeDataCentreOut = async (
  soak: Soak,
  dataCentre: number,
  durationMs: Millis,
): Promise<void> => {
  const name = soak.platform.setDataCentreState(dataCentre, 'out');
  const at = soak.clock.now();
  await wait(durationMs);
  soak.changes.push({
    kind: 'data-centre-out',
    dataCentre: name,
    at,
    until: soak.clock.now(),
  });
  soak.platform.setDataCentreState(dataCentre, 'in');
};

const publishSeries = async (
  { platform }: Soak,
  { gapMs, versions }: Extract<SoakFault, { kind: 'configure-series' }>,
): Promise<void> => {
  for (const limits of versions) {
    platform.publishConfiguration(limits);
    await wait(gapMs);
  }
};

/** Terminates a gateway as soon as another one serves. */
const restartGateways = async (
  soak: Soak,
  { gapMs, gateways }: Extract<SoakFault, { kind: 'restart-gateways' }>,
): Promise<void> => {
  for (const index of gateways) {
    const others = soak.gateways.filter((_, other) => other !== index);
    while (!others.some((other) => other.isServing())) await wait(SERVING_POLL_MS);
    soak.gateways[index]?.terminate();
    await wait(gapMs);
  }
};

const performFault = async (soak: Soak, fault: SoakFault): Promise<void> => {
  const { gateways, platform } = soak;
  switch (fault.kind) {
    case 'kill':
      gateways[fault.gateway]?.kill();
      await wait(fault.durationMs);
      gateways[fault.gateway]?.start();
      return;
    case 'pause':
      gateways[fault.gateway]?.pause();
      await wait(fault.durationMs);
      gateways[fault.gateway]?.resume();
      return;
    case 'terminate':
      gateways[fault.gateway]?.terminate();
      return;
    case 'reload':
      gateways[fault.gateway]?.reload();
      return;
    case 'link': {
      const link = findLink(soak, fault.link);
      link?.setMode(fault.mode);
      await wait(fault.durationMs);
      link?.setMode('pass');
      return;
    }
    case 'store':
      platform.setStoreFault(fault.mode);
      await wait(fault.durationMs);
      platform.setStoreFault('none');
      return;
    case 'compact-store':
      platform.compactStore();
      return;
    case 'worker-crash':
      await failSlot(soak, fault.slot, fault.durationMs);
      return;
    case 'worker-leave':
      await drainSlot(soak, fault.slot, fault.notice, fault.durationMs);
      return;
    case 'worker-silence':
      soak.workerLinks[fault.slot]?.holdAnswers(fault.durationMs);
      await wait(fault.durationMs);
      return;
    case 'worker-says-leaving':
      await reportLeaving(soak, fault);
      return;
    case 'worker-rests':
      await refuseAtSlot(soak, fault);
      return;
    case 'hostile-callers':
      await runHostileCalls(soak, fault);
      return;
    case 'configure':
      platform.publishConfiguration(null);
      return;
    case 'configure-series':
      await publishSeries(soak, fault);
      return;
    case 'restart-gateways':
      await restartGateways(soak, fault);
      return;
    case 'revoke-key': {
      const key = platform.revokeKey();
      if (key !== null) soak.changes.push({ kind: 'key-revoked', key, at: soak.clock.now() });
      return;
    }
    case 'data-centre-out':
      await takeDataCentreOut(soak, fault.dataCentre, fault.durationMs);
      return;
    default:
      assertNever(fault);
  }
};

/**
 * Injects a fault, undoes it after its duration, and records for how long time limits are suspended.
 *
 * @param soak - running soak
 * @param fault - fault from the plan
 * @returns resolves when the fault has been undone
 */
export const applyFault = async (soak: Soak, fault: SoakFault): Promise<void> => {
  const from = soak.clock.now();
  // The end is unknown until the fault has been undone.
  const cause = classifyDisruption(fault);
  const disruption = cause === 'none' ? null : { cause, from, until: Infinity };
  if (disruption !== null) soak.disruptions.push(disruption);
  const subject = findHindered(fault);
  const hindrance = subject === null ? null : { subject, from, until: Infinity };
  if (hindrance !== null) soak.hindrances.push(hindrance);
  await performFault(soak, fault);
  if (disruption !== null) disruption.until = soak.clock.now();
  if (hindrance !== null) hindrance.until = soak.clock.now();
};
