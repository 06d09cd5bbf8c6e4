import { checkArrivals, getIdPrefix } from './checkArrivals.js';
import {
  END_SLACK_MS,
  EVACUATION_MS,
  GRACE_MS,
  LAST_PART_START,
  LATE_STREAM_MS,
  PROPAGATION_MS,
  SETTLING_MS,
  UNREAD_CLOSE_MS,
} from './constants.js';
import type {
  CallKind,
  CallOutcome,
  CallRecord,
  Disruption,
  Finding,
  Observations,
  PublishedChange,
  RunRecord,
} from './types.js';
import { assertNever } from '../core/assertNever.js';
import type { Millis } from '../core/clock.js';

/** Describes the answers that the workers of a soak send. */
export interface ExpectedAnswers {
  /** Number of events in a complete stream. */
  readonly eventCount: number;
  /** Builds the expected body of the answer to a plain call. */
  readonly buildBody: (callBody: string) => string;
  /** Reports whether a signature belongs to an answer to the request. */
  readonly isSignatureOf: (signature: string, requestId: string) => boolean;
}

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Statuses which promise that the request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isStream = (kind: CallKind): boolean =>
  kind === 'generation' || kind === 'unframed' || kind === 'resumable';

const isRepeatable = (kind: CallKind): boolean => kind === 'idempotent' || kind === 'resumable';

const checkRefusal = (call: CallRecord, runs: readonly RunRecord[]): readonly Finding[] => {
  const { outcome, id, kind } = call;
  const isRefused =
    outcome.kind === 'answered' &&
    outcome.signature === null &&
    NOT_RUN_STATUSES.has(outcome.status);
  if (!isRefused || runs.length === 0 || isRepeatable(kind)) return [];
  const detail = `${kind} ${id} was refused with ${outcome.status.toString()} but ran`;
  return [{ promise: 'true-refusal', detail }];
};

const checkStarts = ({ id, kind }: CallRecord, runs: readonly RunRecord[]): readonly Finding[] => {
  const begun = runs.filter(({ start }) => start === 'begun');
  const foreignCopies = runs.filter(({ start }) => start === 'foreign-copy');
  const findings: Finding[] = [];
  if (begun.length > 1 && !isRepeatable(kind)) {
    const workers = begun.map(({ workerId }) => workerId).join(', ');
    findings.push({ promise: 'at-most-once', detail: `${kind} ${id} was started by ${workers}` });
  }
  if (foreignCopies.length > 0) {
    findings.push({
      promise: 'own-answer',
      detail: `${id} was resumed from the copy of another request`,
    });
  }
  return findings;
};

const checkEvents = (call: CallRecord, answers: ExpectedAnswers): readonly Finding[] => {
  const { outcome, id } = call;
  if (outcome.kind !== 'answered' && outcome.kind !== 'cut') return [];
  const isOrdered = outcome.eventIds.every((eventId, index) => eventId === index + 1);
  if (!isOrdered) {
    const detail = `${id} received the events ${outcome.eventIds.join(' ')}`;
    return [{ promise: 'events-in-order', detail }];
  }
  const isComplete = outcome.eventIds.length === answers.eventCount;
  const isSuccess = outcome.kind === 'answered' && outcome.status === STATUS_OK;
  if (!isSuccess || isComplete) return [];
  const detail = `${id} ended as complete after ${outcome.eventIds.length.toString()} events`;
  return [{ promise: 'events-in-order', detail }];
};

const checkAnswer = (
  { body, id, kind }: CallRecord,
  outcome: Extract<CallOutcome, { kind: 'answered' }>,
  answers: ExpectedAnswers,
): readonly Finding[] => {
  if (outcome.signature !== null && !answers.isSignatureOf(outcome.signature, id)) {
    return [{ promise: 'own-answer', detail: `${id} received the signature ${outcome.signature}` }];
  }
  const isSuccess = outcome.status >= STATUS_OK && outcome.status < STATUS_REDIRECT;
  if (!isSuccess) return [];
  if (outcome.signature === null) {
    return [{ promise: 'own-answer', detail: `${id} received a success without a signature` }];
  }
  const isWrongBody = !isStream(kind) && outcome.body !== answers.buildBody(body);
  return isWrongBody
    ? [{ promise: 'own-answer', detail: `${id} received the body ${outcome.body}` }]
    : [];
};

const checkCustomer = (call: CallRecord, runs: readonly RunRecord[]): readonly Finding[] =>
  runs
    .filter((run) => run.customer !== call.customer || run.credential === 'leaked')
    .map(({ customer, workerId }) => ({
      promise: 'own-customer',
      detail: `${call.id} of ${call.customer} ran at ${workerId} for ${customer ?? 'no customer'}`,
    }));

/**
 * Reports whether no disruption overlaps the interval, and none ended less than the settling time
 * before it.
 */
const isUndisrupted = (disruptions: readonly Disruption[], from: Millis, until: Millis): boolean =>
  disruptions.every((each) => each.until < from - SETTLING_MS || each.from > until);

const isLateRun = (change: PublishedChange, run: RunRecord, call: CallRecord): boolean => {
  switch (change.kind) {
    case 'worker-leaving':
      return run.workerId === change.workerId && run.at > change.at + PROPAGATION_MS;
    case 'key-revoked':
      return call.key === change.key && call.sentAt > change.at + PROPAGATION_MS;
    case 'data-centre-out':
      return (
        run.dataCentre === change.dataCentre &&
        run.at > change.at + EVACUATION_MS &&
        run.at < change.until
      );
    default:
      return assertNever(change);
  }
};

const toPromiseName = (change: PublishedChange): Finding['promise'] => {
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
  { changes, disruptions }: Observations,
): readonly Finding[] =>
  changes.flatMap((change) =>
    runs
      .filter(
        (run) => isLateRun(change, run, call) && isUndisrupted(disruptions, change.at, run.at),
      )
      .map((run): Finding => {
        const afterMs = Math.round(run.at - change.at).toString();
        const detail = `${call.id} ran at ${run.workerId} ${afterMs} ms after ${change.kind}`;
        return { promise: toPromiseName(change), detail };
      }),
  );

/** Reports whether a gateway may have closed the connection before it read the request. */
const isUnread = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  runs.length === 0 && call.endedAt - call.sentAt <= UNREAD_CLOSE_MS;

/**
 * Finds a request that a draining process interrupted. A connection that was closed before the
 * process read the request loses nothing.
 */
const checkDrain = (
  call: CallRecord,
  runs: readonly RunRecord[],
  { disruptions, terminations }: Observations,
): readonly Finding[] => {
  if (call.outcome.kind !== 'cut') return [];
  const termination = terminations.find(
    ({ at, gateway, incarnation }) =>
      gateway === call.gateway &&
      incarnation === call.incarnation &&
      call.endedAt >= at &&
      call.endedAt <= at + GRACE_MS,
  );
  if (termination === undefined || isUnread(call, runs)) return [];
  if (!isUndisrupted(disruptions, call.sentAt, call.endedAt)) return [];
  const detail = `${call.kind} ${call.id} was interrupted ${Math.round(call.endedAt - termination.at).toString()} ms after SIGTERM`;
  return [{ promise: 'drain-loses-nothing', detail }];
};

/** Reports whether the gateway ended so late in its grace period that a stream may be cut. */
const isLastPart = (call: CallRecord, { terminations }: Observations): boolean =>
  isStream(call.kind) &&
  terminations.some(
    ({ at, gateway }) =>
      gateway === call.gateway &&
      call.sentAt <= at + LATE_STREAM_MS &&
      call.endedAt >= at + GRACE_MS * LAST_PART_START &&
      call.endedAt <= at + GRACE_MS + END_SLACK_MS,
  );

/** Finds a request that was read and whose connection ended without a complete answer. */
const checkAnswered = (
  call: CallRecord,
  runs: readonly RunRecord[],
  observations: Observations,
): readonly Finding[] => {
  if (call.outcome.kind !== 'cut' || isUnread(call, runs)) return [];
  const unplanned = observations.disruptions.filter(({ cause }) => cause === 'unplanned');
  if (!isUndisrupted(unplanned, call.sentAt, call.endedAt)) return [];
  const lastRun = runs.at(-1);
  const isBrokenOff = observations.brokenRuns.some(
    ({ requestId, workerId }) => requestId === call.id && workerId === lastRun?.workerId,
  );
  const durationMs = call.endedAt - call.sentAt;
  if (isBrokenOff || durationMs >= call.timeLimitMs || isLastPart(call, observations)) return [];
  const events = call.outcome.eventIds.length.toString();
  const workers = runs.map(({ workerId }) => workerId).join(', ');
  const detail = `${call.kind} ${call.id} at gateway ${call.gateway.toString()} was cut after ${Math.round(durationMs).toString()} ms and ${events} events; it ran at ${workers}`;
  return [{ promise: 'answered', detail }];
};

const collectRunsByRequest = (
  runs: readonly RunRecord[],
): ReadonlyMap<string, readonly RunRecord[]> => {
  const runsByRequest = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const requestRuns = runsByRequest.get(run.requestId) ?? [];
    requestRuns.push(run);
    runsByRequest.set(run.requestId, requestRuns);
  }
  return runsByRequest;
};

/**
 * Checks the records of callers and workers against the documented promises of the gateway.
 *
 * @param observations - records of a whole soak
 * @param answers - answers that the workers send
 * @returns the violations that were found
 */
export const checkPromises = (
  observations: Observations,
  answers: ExpectedAnswers,
): readonly Finding[] => {
  const runsByRequest = collectRunsByRequest(observations.runs);
  const sentIds = new Set(observations.calls.map(({ id }) => id));
  const hostilePrefixes = new Set(observations.hostileGroups.map(({ idPrefix }) => idPrefix));
  const unsentFindings = [...runsByRequest.keys()]
    .filter((id) => !sentIds.has(id) && !hostilePrefixes.has(getIdPrefix(id)))
    .map((id): Finding => ({ promise: 'unasked-run', detail: `${id} was never sent` }));
  const callFindings = observations.calls.flatMap((call) => {
    const runs = runsByRequest.get(call.id) ?? [];
    return [
      ...checkStarts(call, runs),
      ...checkRefusal(call, runs),
      ...(call.outcome.kind === 'answered' ? checkAnswer(call, call.outcome, answers) : []),
      ...(isStream(call.kind) ? checkEvents(call, answers) : []),
      ...checkCustomer(call, runs),
      ...checkChanges(call, runs, observations),
      ...checkDrain(call, runs, observations),
      ...checkAnswered(call, runs, observations),
    ];
  });
  return [...unsentFindings, ...callFindings, ...checkArrivals(observations)];
};
