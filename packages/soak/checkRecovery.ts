import { setTimeout as wait } from 'node:timers/promises';
import { createCaller } from './caller.js';
import {
  AT_ONCE_COUNT,
  GATEWAY_COUNT,
  MIN_SERVED_SHARE,
  RECOVERY_DEADLINE_MS,
  RECOVERY_MS,
} from './constants.js';
import type { Soak } from './soakState.js';
import type { CallRecord, Finding } from './types.js';
import type { Millis } from '../core/clock.js';

const STATUS_OK = 200;

/** Fewest requests from which a share is computed. */
const MIN_RECENT_CALLS = 12;

/**
 * Longest time beyond the recovery phase in which callers that were held up send that many, in ms. It
 * exceeds their longest deadline.
 */
const MAX_EXTENSION_MS = 10_000;

const EXTENSION_POLL_MS = 50;

/** Share of the events of a stream that have to arrive before its time limit. */
const MIN_EVENT_SHARE = 0.8;

/** Look-ups may fail at a worker by design, so any answer signed by a worker counts as served. */
const isAnswered = ({ outcome }: CallRecord): boolean =>
  outcome.kind === 'answered' && (outcome.signature !== null || outcome.status === STATUS_OK);

/**
 * Reports whether a stream ran until its time limit. The soak's process makes the events of all workers,
 * and they come late when it waits for a processor.
 */
const isLateStream = (
  { endedAt, head, outcome, sentAt, timeLimitMs }: CallRecord,
  eventCount: number,
): boolean =>
  outcome.kind === 'cut' &&
  endedAt - sentAt >= timeLimitMs &&
  head !== null &&
  head.signature !== null &&
  outcome.eventIds.length >= eventCount * MIN_EVENT_SHARE;

/**
 * Waits for the recovery phase, and longer while too few requests of its last part have ended, since
 * the soak's own process may have to wait for a processor.
 *
 * @param soak - running soak, after its last fault
 * @param recoveryMs - duration of the phase
 * @param deadlineMs - time from its start after which requests have to be served
 * @returns the instant from which requests have to be served
 */
export const waitForRecovery = async (
  { calls, clock }: Pick<Soak, 'calls' | 'clock'>,
  recoveryMs = RECOVERY_MS,
  deadlineMs = RECOVERY_DEADLINE_MS,
): Promise<Millis> => {
  const since = clock.now() + deadlineMs;
  await wait(recoveryMs);
  const latest = clock.now() + MAX_EXTENSION_MS;
  const countRecent = (): number => calls.filter(({ sentAt }) => sentAt >= since).length;
  while (countRecent() < MIN_RECENT_CALLS && clock.now() < latest) await wait(EXTENSION_POLL_MS);
  return since;
};

/**
 * Checks that requests are served again. It needs the ends of all requests, those that were still open
 * when the soak was over included.
 *
 * @param calls - requests of all callers
 * @param since - instant from which requests have to be served
 * @param eventCount - number of events in a complete stream
 * @returns the violation, if there is one
 */
export const checkRecovery = (
  calls: readonly CallRecord[],
  since: Millis,
  eventCount: number,
): readonly Finding[] => {
  const recentCalls = calls.filter(({ sentAt }) => sentAt >= since);
  const served = recentCalls.filter((call) => isAnswered(call) || isLateStream(call, eventCount));
  const isEnough =
    recentCalls.length >= MIN_RECENT_CALLS &&
    served.length >= recentCalls.length * MIN_SERVED_SHARE;
  if (isEnough) return [];
  const detail = `${served.length.toString()} of ${recentCalls.length.toString()} requests were served after the last fault`;
  return [{ promise: 'recovery', detail }];
};

const sendAtOnce = async (
  { clock, gateways, hosts, platform }: Soak,
  gateway: number,
  timeoutMs: Millis,
): Promise<readonly CallRecord[]> => {
  const [callerKey] = platform.listKeys();
  if (callerKey === undefined) return [];
  const target = { host: hosts[gateway] ?? '', port: platform.callerPort };
  const incarnation = gateways[gateway]?.getIncarnation() ?? 0;
  const kind = 'idempotent';
  return Promise.all(
    Array.from({ length: AT_ONCE_COUNT }, async (_, index): Promise<CallRecord> => {
      const caller = createCaller(platform, clock);
      const id = `a${gateway.toString()}-${index.toString()}`;
      const body = `body of ${id}`;
      const sentAt = clock.now();
      const wireCall = platform.buildCall({
        id,
        kind,
        pace: 'quick',
        key: callerKey.key,
        timeoutMs,
      });
      const result = await caller.call(target, wireCall, body, timeoutMs);
      caller.close();
      const endedAt = clock.now();
      const timeLimitMs = timeoutMs;
      return {
        id,
        kind,
        gateway,
        incarnation,
        ...callerKey,
        body,
        sentAt,
        endedAt,
        timeLimitMs,
        ...result,
      };
    }),
  );
};

/**
 * Sends several requests to each gateway at once, after the last fault. All of them have to be served.
 *
 * @param soak - running soak
 * @param timeoutMs - deadline of the requests
 * @returns the requests, and a violation for each gateway that leaves one unserved
 */
export const checkServingAtOnce = async (
  soak: Soak,
  timeoutMs: Millis,
): Promise<{ readonly calls: readonly CallRecord[]; readonly findings: readonly Finding[] }> => {
  const groups = await Promise.all(
    Array.from({ length: GATEWAY_COUNT }, (_, gateway) => sendAtOnce(soak, gateway, timeoutMs)),
  );
  const findings = groups.flatMap((calls, gateway): readonly Finding[] => {
    const servedCount = calls.filter(isAnswered).length;
    if (servedCount === AT_ONCE_COUNT) return [];
    const detail = `gateway ${gateway.toString()} served ${servedCount.toString()} of ${AT_ONCE_COUNT.toString()} requests that were sent at once`;
    return [{ promise: 'serves-at-once', detail }];
  });
  return { calls: groups.flat(), findings };
};
