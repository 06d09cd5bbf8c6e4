import { FEED_RETRY_MS, FEED_STALENESS_MARGIN_MS } from './constants.js';
import { chooseCatchUp } from './catchUp.js';
import type { CatchUp } from './catchUp.js';
import { publishChanges } from './changes.js';
import type { ReadScope } from './changes.js';
import {
  describeBehind,
  describeRecovery,
  describeReload,
  describeReplaced,
  publishRestore,
} from './describeReads.js';
import { compareEpochs, formatEpoch } from './epochs.js';
import type { FeedsState, FeedState, NewestRead, NewestReads } from './feedState.js';
import { computePause, computeWait } from './pacing.js';
import type { PacingInputs } from './pacing.js';
import { computeUncertainTime } from './uncertainTime.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { GatewayEffect } from '../effects.js';
import type { FeedsEvent } from '../events.js';
import type {
  FeedName,
  FeedPosition,
  FeedResult,
  RecordChange,
  RemovalCertainty,
  StoreEpoch,
} from '../types.js';

export interface FeedsInputs {
  readonly clock: Clock;
  /** Updated by this child only. */
  readonly newestReads: NewestReads;
  readonly getPacingInputs: () => PacingInputs;
}

interface ReadContext {
  readonly now: Millis;
  readonly pacing: PacingInputs;
  readonly newest: NewestReads;
}

const getPosition = (newest: NewestReads, feed: FeedName): FeedPosition | null =>
  newest.get(feed)?.position ?? null;

const FEEDS: readonly FeedName[] = ['operator', 'registrations'];

/** Sends the next load or read. */
const sendNext = (
  feed: FeedName,
  state: FeedState,
  { now, pacing }: ReadContext,
): Step<FeedState, GatewayEffect> => {
  switch (state.kind) {
    case 'loading':
      return toStep<FeedState, GatewayEffect>(
        { ...state, loadSentAt: now },
        { kind: 'load-feed', feed },
      );
    case 'following': {
      // While the store does not answer, a wait would only delay the next try.
      const waitMs = state.failingSince === null ? computeWait(feed, pacing) : 0;
      return toStep<FeedState, GatewayEffect>(
        { ...state, sentAt: now },
        { kind: 'read-feed', feed, position: state.position, waitMs },
      );
    }
    default:
      return assertNever(state);
  }
};

/** Sends the next load or read, or schedules it for an earliest instant that is not over yet. */
const sendNextAt = (
  feed: FeedName,
  state: FeedState,
  earliestAt: Millis,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  const delayMs = earliestAt - context.now;
  return delayMs > 0
    ? toStep<FeedState, GatewayEffect>(state, scheduleRead(feed, delayMs))
    : sendNext(feed, state, context);
};

/**
 * Reports whether the feed of registrations may be stale: its last read failed, or is unanswered
 * although endpoints renew their registrations all the time. The second case detects a store that
 * stops answering without an error.
 *
 * @param state - state of the feed of registrations
 * @param now - current instant
 * @param pacing - values from which the pauses between reads are computed
 * @returns true when the known registrations may be out of date
 */
export const isFeedStale = (state: FeedState, now: Millis, pacing: PacingInputs): boolean =>
  state.kind === 'loading' ||
  state.failingSince !== null ||
  now - state.readAt > computePause('registrations', pacing) + FEED_STALENESS_MARGIN_MS;

/** Loads a feed again; a store that expires each position it states must not be loaded all the time. */
const loadAgain = (
  feed: FeedName,
  state: FeedState,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  const { failingSince, lastFailedAt, loadSentAt, uncertain } = state;
  const loading: FeedState = { kind: 'loading', failingSince, lastFailedAt, loadSentAt, uncertain };
  return sendNextAt(feed, loading, loadSentAt + FEED_RETRY_MS, context);
};

const restartFeed = (
  feed: FeedName,
  state: FeedState,
  epoch: StoreEpoch,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  const sent = loadAgain(feed, state, context);
  return { state: sent.state, effects: [describeReload(feed, state, epoch), ...sent.effects] };
};

/** Ignores an answer; with a retry if it belongs to the pending read, which has to be repeated. */
const refuseAnswer = (
  feed: FeedName,
  state: FeedState,
  { kind, position }: Extract<FeedResult, { kind: 'loaded' | 'read' }>,
  reason: 'other-position' | 'older-epoch',
): Step<FeedState, GatewayEffect> => {
  const data = { feed, answer: kind, reason, ...position, epoch: formatEpoch(position.epoch) };
  const line: GatewayEffect = { kind: 'log', name: 'feed-answer-ignored', details: { data } };
  return reason === 'older-epoch'
    ? toStep<FeedState, GatewayEffect>(state, line, scheduleRead(feed, FEED_RETRY_MS))
    : toStep<FeedState, GatewayEffect>(state, line);
};

const scheduleRead = (feed: FeedName, delayMs: Millis): GatewayEffect => ({
  kind: 'schedule',
  delayMs,
  event: { to: 'feeds', kind: 'feed-due', feed },
});

/** Sends what follows an answer whose records were applied. */
const sendFollowing = (
  feed: FeedName,
  next: FeedState,
  catchUp: CatchUp | null,
  nextReadAt: Millis,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  switch (catchUp) {
    case null:
      return sendNextAt(feed, next, nextReadAt, context);
    case 'in-order':
      return sendNext(feed, next, context);
    case 'newest':
      return loadAgain(feed, next, context);
    default:
      return assertNever(catchUp);
  }
};

/**
 * Computes the earliest instant of the next read. One that returned nothing is followed at once, since
 * the store held it, unless the store answered it early: it would be read without a pause.
 */
const computeNextReadAt = (
  feed: FeedName,
  state: FeedState,
  changes: readonly RecordChange[],
  { now, pacing }: ReadContext,
): Millis => {
  if (changes.length > 0) return now + computePause(feed, pacing);
  return state.kind === 'following' ? state.sentAt + FEED_RETRY_MS : now;
};

const applyRecords = (
  feed: FeedName,
  state: FeedState,
  result: Extract<FeedResult, { kind: 'loaded' | 'read' }>,
  scope: ReadScope,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  const { changes, position } = result;
  const { newest, now } = context;
  const { outageMs } = context.pacing.stalenessLimits;
  const uncertain = computeUncertainTime(state, scope, now, outageMs);
  const removals: RemovalCertainty =
    now < uncertain.until ? { kind: 'uncertain', ...uncertain } : { kind: 'certain' };
  const before = getPosition(newest, feed);
  const next: FeedState = {
    kind: 'following',
    position,
    failingSince: null,
    lastFailedAt: state.lastFailedAt,
    readAt: now,
    sentAt: now,
    loadSentAt: state.loadSentAt,
    uncertain,
  };
  const nextReadAt = computeNextReadAt(feed, state, changes, context);
  const remaining = result.kind === 'read' ? (result.remaining ?? 0) : 0;
  const catchUp = chooseCatchUp(feed, remaining);
  const sent = sendFollowing(feed, next, catchUp, nextReadAt, context);
  return {
    state: sent.state,
    effects: [
      ...(catchUp === 'newest' ? [describeBehind(feed, changes.length, remaining)] : []),
      ...describeReplaced(feed, state, result, now),
      ...describeRecovery(feed, state, now),
      ...(scope === 'restored' && before !== null ? publishRestore(feed, before, position) : []),
      ...publishChanges(feed, changes, { scope, removals, epoch: position.epoch }),
      ...sent.effects,
    ],
  };
};

const handleLoaded = (
  feed: FeedName,
  state: FeedState,
  result: Extract<FeedResult, { kind: 'loaded' }>,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  // The answer to a load of an earlier incarnation of this child.
  if (state.kind === 'following') return refuseAnswer(feed, state, result, 'other-position');
  const before = getPosition(context.newest, feed);
  if (before === null) return applyRecords(feed, state, result, 'all', context);
  const order = compareEpochs(result.position.epoch, before.epoch);
  switch (order) {
    case 'same':
      return applyRecords(feed, state, result, 'all', context);
    case 'newer':
      return applyRecords(feed, state, result, 'restored', context);
    case 'older':
      return refuseAnswer(feed, state, result, 'older-epoch');
    default:
      return assertNever(order);
  }
};

const isSamePosition = (state: FeedState, from: FeedPosition | null): boolean =>
  state.kind === 'following' &&
  state.position.offset === from?.offset &&
  state.position.epoch === from.epoch;

const handleRead = (
  feed: FeedName,
  state: FeedState,
  from: FeedPosition | null,
  result: Extract<FeedResult, { kind: 'read' }>,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  if (!isSamePosition(state, from)) return refuseAnswer(feed, state, result, 'other-position');
  const order = compareEpochs(result.position.epoch, from?.epoch ?? null);
  switch (order) {
    case 'same':
      return applyRecords(feed, state, result, 'changed', context);
    case 'newer':
      // The position may have been given out again, so the records before it may be new as well.
      return restartFeed(feed, state, result.position.epoch, context);
    case 'older':
      return refuseAnswer(feed, state, result, 'older-epoch');
    default:
      return assertNever(order);
  }
};

const handleFailure = (
  feed: FeedName,
  state: FeedState,
  { message, triedMs }: Extract<FeedResult, { kind: 'failed' }>,
  now: Millis,
): Step<FeedState, GatewayEffect> => {
  const retry = scheduleRead(feed, FEED_RETRY_MS);
  const failed: FeedState = { ...state, lastFailedAt: now - triedMs };
  if (state.failingSince !== null) return toStep(failed, retry);
  const readAt = state.kind === 'following' ? state.readAt : 0;
  const data = { feed, message, ageMs: readAt === 0 ? -1 : Math.round(now - readAt) };
  return toStep<FeedState, GatewayEffect>({ ...failed, failingSince: now }, retry, {
    kind: 'log',
    name: 'log-unavailable',
    details: { data },
  });
};

const handleResult = (
  feed: FeedName,
  state: FeedState,
  { from, result }: Extract<FeedsEvent, { kind: 'feed-answered' }>,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  switch (result.kind) {
    case 'loaded':
      return handleLoaded(feed, state, result, context);
    case 'read':
      return handleRead(feed, state, from, result, context);
    case 'expired':
      return restartFeed(feed, state, result.epoch, context);
    case 'failed':
      return handleFailure(feed, state, result, context.now);
    default:
      return assertNever(result);
  }
};

const startLoading = (feed: FeedName, newest: NewestReads, now: Millis): FeedState => {
  const known = newest.get(feed);
  return {
    kind: 'loading',
    failingSince: known?.failingSince ?? null,
    lastFailedAt: known?.lastFailedAt ?? 0,
    uncertain: known?.uncertain ?? { since: 0, until: 0 },
    loadSentAt: now,
  };
};

const toNewestRead = (state: FeedState, before: FeedPosition | null): NewestRead => {
  const { failingSince, lastFailedAt, uncertain } = state;
  return {
    failingSince,
    lastFailedAt,
    uncertain,
    position: state.kind === 'following' ? state.position : before,
  };
};

const decideFeed = (
  feed: FeedName,
  state: FeedState,
  event: FeedsEvent,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  switch (event.kind) {
    case 'feed-due':
      return sendNext(feed, state, context);
    case 'feed-answered':
      return handleResult(feed, state, event, context);
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `feeds` child, which follows the records of operators and
 * endpoints in the platform's store. It loads the newest record of each key once and then reads the
 * records after them.
 *
 * @param inputs - clock, what was read before, and the values from which the intervals between reads
 *   are computed
 * @returns the decision logic
 */
export const createFeedsLogic = ({
  clock,
  getPacingInputs,
  newestReads,
}: FeedsInputs): ChildLogic<FeedsState, FeedsEvent, GatewayEffect> => ({
  init: () => ({
    state: {
      operator: startLoading('operator', newestReads, clock.now()),
      registrations: startLoading('registrations', newestReads, clock.now()),
    },
    effects: FEEDS.map((feed) => ({ kind: 'load-feed', feed })),
  }),
  decide: (state, event) => {
    const { feed } = event;
    const context: ReadContext = {
      now: clock.now(),
      pacing: getPacingInputs(),
      newest: newestReads,
    };
    const step = decideFeed(feed, state[feed], event, context);
    newestReads.set(feed, toNewestRead(step.state, getPosition(newestReads, feed)));
    return { state: { ...state, [feed]: step.state }, effects: step.effects };
  },
});
