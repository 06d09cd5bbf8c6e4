import { APPLY_MS, CONTACT_MS, EVACUATE_MS, GRACE_MS, LOSS_SLACK_MS } from './constants.js';
import type {
  CallEnd,
  CallKind,
  CallRecord,
  Disturbance,
  Finding,
  Observations,
  PublishedChange,
  RunRecord,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';

/** What the workers of a soak answer. */
export interface ExpectedAnswers {
  readonly eventCount: number;
  /** Body of the answer to a plain call. */
  readonly toBody: (callBody: string) => string;
  /** Whether a mark is that of an answer to the request. */
  readonly isMarkOf: (mark: string, requestId: string) => boolean;
}

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Statuses that promise that the request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isStream = (kind: CallKind): boolean => kind === 'generation' || kind === 'resumable';

const isRepeatable = (kind: CallKind): boolean => kind === 'idempotent' || kind === 'resumable';

const checkRefusal = (call: CallRecord, runs: readonly RunRecord[]): readonly Finding[] => {
  const { end, id, kind } = call;
  const isRefused =
    end.kind === 'answered' && end.mark === null && NOT_RUN_STATUSES.has(end.status);
  if (!isRefused || runs.length === 0 || isRepeatable(kind)) return [];
  const detail = `${kind} ${id} was refused with ${end.status.toString()} and ran`;
  return [{ promise: 'true-refusal', detail }];
};

const checkOnce = ({ id, kind }: CallRecord, runs: readonly RunRecord[]): readonly Finding[] => {
  const begun = runs.filter(({ start }) => start === 'begun');
  const foreign = runs.filter(({ start }) => start === 'foreign-copy');
  const findings: Finding[] = [];
  if (begun.length > 1 && !isRepeatable(kind)) {
    const workers = begun.map(({ workerId }) => workerId).join(', ');
    findings.push({ promise: 'at-most-once', detail: `${kind} ${id} began at ${workers}` });
  }
  if (foreign.length > 0) {
    findings.push({ promise: 'own-answer', detail: `${id} went on from another’s memory` });
  }
  return findings;
};

const checkEvents = (call: CallRecord, answers: ExpectedAnswers): readonly Finding[] => {
  const { end, id } = call;
  if (end.kind !== 'answered' && end.kind !== 'cut') return [];
  const isOrdered = end.eventIds.every((eventId, index) => eventId === index + 1);
  if (!isOrdered) {
    const detail = `${id} got the events ${end.eventIds.join(' ')}`;
    return [{ promise: 'events-in-order', detail }];
  }
  const isWhole = end.eventIds.length === answers.eventCount;
  const isSuccess = end.kind === 'answered' && end.status === STATUS_OK;
  if (!isSuccess || isWhole) return [];
  const detail = `${id} ended as complete after ${end.eventIds.length.toString()} events`;
  return [{ promise: 'events-in-order', detail }];
};

const checkAnswer = (
  { body, id, kind }: CallRecord,
  end: Extract<CallEnd, { kind: 'answered' }>,
  answers: ExpectedAnswers,
): readonly Finding[] => {
  if (end.mark !== null && !answers.isMarkOf(end.mark, id)) {
    return [{ promise: 'own-answer', detail: `${id} got the mark ${end.mark}` }];
  }
  const isSuccess = end.status >= STATUS_OK && end.status < STATUS_REDIRECT;
  if (!isSuccess) return [];
  if (end.mark === null) {
    return [{ promise: 'own-answer', detail: `${id} got a success without a mark` }];
  }
  const isOther = !isStream(kind) && end.body !== answers.toBody(body);
  return isOther ? [{ promise: 'own-answer', detail: `${id} got the body ${end.body}` }] : [];
};

const checkCustomer = (call: CallRecord, runs: readonly RunRecord[]): readonly Finding[] =>
  runs
    .filter((run) => run.customer !== call.customer || run.credential === 'leaked')
    .map(({ customer, workerId }) => ({
      promise: 'own-customer',
      detail: `${call.id} of ${call.customer} ran at ${workerId} for ${customer ?? 'nobody'}`,
    }));

/** Whether nothing was disturbed for a time before and until an instant. */
const isCalm = (disturbances: readonly Disturbance[], from: Millis, until: Millis): boolean =>
  disturbances.every((each) => each.until < from - CONTACT_MS || each.from > until);

const isLateRun = (change: PublishedChange, run: RunRecord, call: CallRecord): boolean => {
  switch (change.kind) {
    case 'worker-leaving':
      return run.workerId === change.workerId && run.at > change.at + APPLY_MS;
    case 'key-revoked':
      return call.key === change.key && call.sentAt > change.at + APPLY_MS;
    case 'data-centre-out':
      return (
        run.dataCentre === change.dataCentre &&
        run.at > change.at + EVACUATE_MS &&
        run.at < change.until
      );
    default:
      return assertNever(change);
  }
};

const toPromise = (change: PublishedChange): Finding['promise'] => {
  switch (change.kind) {
    case 'worker-leaving':
      return 'no-new-work-for-leaving';
    case 'key-revoked':
      return 'revoked-key';
    case 'data-centre-out':
      return 'no-new-work-in-data-centre-out';
    default:
      return assertNever(change);
  }
};

const checkChanges = (
  call: CallRecord,
  runs: readonly RunRecord[],
  { changes, disturbances }: Observations,
): readonly Finding[] =>
  changes.flatMap((change) =>
    runs
      .filter((run) => isLateRun(change, run, call) && isCalm(disturbances, change.at, run.at))
      .map((run): Finding => {
        const afterMs = Math.round(run.at - change.at).toString();
        const detail = `${call.id} ran at ${run.workerId} ${afterMs} ms after ${change.kind}`;
        return { promise: toPromise(change), detail };
      }),
  );

/** A connection that a draining process closed without having read the request loses nothing. */
const checkDrain = (
  call: CallRecord,
  runs: readonly RunRecord[],
  { disturbances, terminations }: Observations,
): readonly Finding[] => {
  if (call.end.kind !== 'cut') return [];
  const ending = terminations.find(
    ({ at, gateway, incarnation }) =>
      gateway === call.gateway &&
      incarnation === call.incarnation &&
      call.endedAt >= at &&
      call.endedAt <= at + GRACE_MS,
  );
  const isUnread = runs.length === 0 && call.endedAt - call.sentAt <= LOSS_SLACK_MS;
  if (ending === undefined || isUnread) return [];
  if (!isCalm(disturbances, call.sentAt, call.endedAt)) return [];
  const detail = `${call.kind} ${call.id} was cut ${Math.round(call.endedAt - ending.at).toString()} ms after the order to end`;
  return [{ promise: 'drain-loses-nothing', detail }];
};

const collectRuns = (runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> => {
  const groups = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const group = groups.get(run.requestId) ?? [];
    group.push(run);
    groups.set(run.requestId, group);
  }
  return groups;
};

/**
 * Checks what callers and workers saw against the promises of the pages.
 *
 * @param seen - observations of a whole soak
 * @param answers - what workers answer
 * @returns the promises that were broken
 */
export const checkPromises = (seen: Observations, answers: ExpectedAnswers): readonly Finding[] => {
  const groups = collectRuns(seen.runs);
  const asked = new Set(seen.calls.map(({ id }) => id));
  const unasked = [...groups.keys()]
    .filter((id) => !asked.has(id))
    .map((id): Finding => ({ promise: 'unasked-run', detail: `${id} was never sent` }));
  const broken = seen.calls.flatMap((call) => {
    const runs = groups.get(call.id) ?? [];
    return [
      ...checkOnce(call, runs),
      ...checkRefusal(call, runs),
      ...(call.end.kind === 'answered' ? checkAnswer(call, call.end, answers) : []),
      ...(isStream(call.kind) ? checkEvents(call, answers) : []),
      ...checkCustomer(call, runs),
      ...checkChanges(call, runs, seen),
      ...checkDrain(call, runs, seen),
    ];
  });
  return [...unasked, ...broken];
};
