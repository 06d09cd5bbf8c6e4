import {
  FEED_RETRY_MS,
  FEED_STALENESS_MARGIN_MS,
  MIN_OPERATOR_WAIT_MS,
  MIN_REGISTRATIONS_PAUSE_MS,
  OPERATOR_PAUSE_MS,
  MAX_PAUSE_SHARE,
  READ_SPACING_MS,
  REGISTRATIONS_WAIT_MS,
  REREGISTRATION_GRACE_MS,
  STALLED_READ_MARGIN_MS,
} from './constants.js';
import { publishChanges } from './changes.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { FeedsEvent, GatewayEffect } from '../events.js';
import type {
  FeedName,
  FeedPosition,
  FeedResult,
  RemovalCertainty,
  StalenessLimits,
  StoreEpoch,
} from '../types.js';

/** Progress of this daemon in one feed. */
export type FeedState =
  | { readonly kind: 'loading'; readonly failingSince: Millis | null }
  | {
      readonly kind: 'following';
      readonly position: FeedPosition;
      readonly failingSince: Millis | null;
      readonly readAt: Millis;
      /** Removals read before this instant may only mean that the store was unavailable. */
      readonly uncertainUntil: Millis;
    };

export type FeedsState = Readonly<Record<FeedName, FeedState>>;

export interface FeedsInputs {
  readonly clock: Clock;
  readonly getPacingInputs: () => PacingInputs;
}

/** Values from which the intervals between reads are computed. */
export interface PacingInputs {
  /** Number of daemons that read the same feeds, including this one. */
  readonly daemons: number;
  readonly stalenessLimits: StalenessLimits;
}

interface ReadContext {
  readonly now: Millis;
  readonly pacing: PacingInputs;
}

const FEEDS: readonly FeedName[] = ['operator', 'registrations'];

const limitToRange = (value: Millis, min: Millis, max: Millis): Millis =>
  Math.max(min, Math.min(value, max));

/**
 * Computes the time for which the store may hold a long poll. A stalled connection is detected
 * only after it.
 */
const computeWait = (feed: FeedName, { daemons, stalenessLimits }: PacingInputs): Millis => {
  switch (feed) {
    case 'operator':
      return limitToRange(
        READ_SPACING_MS.operator * daemons,
        MIN_OPERATOR_WAIT_MS,
        stalenessLimits.outageMs - STALLED_READ_MARGIN_MS,
      );
    case 'registrations':
      return REGISTRATIONS_WAIT_MS;
    default:
      return assertNever(feed);
  }
};

/** Computes the pause after a read that returned records. */
const computePause = (feed: FeedName, { daemons, stalenessLimits }: PacingInputs): Millis => {
  switch (feed) {
    case 'operator':
      return OPERATOR_PAUSE_MS;
    case 'registrations':
      return limitToRange(
        READ_SPACING_MS.registrations * daemons,
        MIN_REGISTRATIONS_PAUSE_MS,
        stalenessLimits.leavingMs * MAX_PAUSE_SHARE,
      );
    default:
      return assertNever(feed);
  }
};

const readFeed = (feed: FeedName, state: FeedState, pacing: PacingInputs): GatewayEffect =>
  state.kind === 'loading'
    ? { kind: 'load-feed', feed }
    : { kind: 'read-feed', feed, position: state.position, waitMs: computeWait(feed, pacing) };

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

const describeRecovery = (feed: FeedName, state: FeedState, now: Millis): GatewayEffect[] =>
  state.failingSince === null
    ? []
    : [
        {
          kind: 'log',
          name: 'log-available',
          details: { data: { feed, awayMs: Math.round(now - state.failingSince) } },
        },
      ];

/**
 * Describes that an answer has another epoch than the position: the store was restored, and the
 * offsets of the position and of the answer may stand for different records.
 */
const describeRestore = (
  feed: FeedName,
  state: FeedState,
  after: { readonly epoch: StoreEpoch; readonly offset: number | null },
  answer: FeedResult['kind'],
): GatewayEffect[] => {
  if (state.kind === 'loading' || after.epoch === null) return [];
  const { epoch, offset } = state.position;
  if (epoch === null || epoch === after.epoch) return [];
  const data = {
    feed,
    answer,
    epochBefore: epoch,
    offsetBefore: offset,
    epoch: after.epoch,
    offset: after.offset ?? 'none',
  };
  return [
    { kind: 'count', name: 'gateway_store_restores_total', labels: { feed } },
    { kind: 'log', name: 'store-restored', details: { data } },
  ];
};

/** Computes the instant until which removals are uncertain, after a successful read. */
const computeUncertainUntil = (state: FeedState, now: Millis): Millis => {
  if (state.failingSince !== null) return now + REREGISTRATION_GRACE_MS;
  return state.kind === 'following' ? state.uncertainUntil : 0;
};

const handleSuccess = (
  feed: FeedName,
  state: FeedState,
  result: Extract<FeedResult, { kind: 'loaded' | 'read' }>,
  { now, pacing }: ReadContext,
): Step<FeedState, GatewayEffect> => {
  const uncertainUntil = computeUncertainUntil(state, now);
  const scope = result.kind === 'loaded' ? 'all' : 'changed';
  const removals: RemovalCertainty =
    now < uncertainUntil
      ? { kind: 'uncertain', since: uncertainUntil - REREGISTRATION_GRACE_MS }
      : { kind: 'certain' };
  const next: FeedState = {
    kind: 'following',
    position: result.position,
    failingSince: null,
    readAt: now,
    uncertainUntil,
  };
  const pauseMs = result.changes.length === 0 ? 0 : computePause(feed, pacing);
  return {
    state: next,
    effects: [
      ...describeRecovery(feed, state, now),
      ...describeRestore(feed, state, result.position, result.kind),
      ...publishChanges(feed, result.changes, { scope, removals, epoch: result.position.epoch }),
      pauseMs === 0
        ? readFeed(feed, next, pacing)
        : { kind: 'schedule', delayMs: pauseMs, event: { to: 'feeds', kind: 'feed-due', feed } },
    ],
  };
};

const handleFailure = (
  feed: FeedName,
  state: FeedState,
  message: string,
  now: Millis,
): Step<FeedState, GatewayEffect> => {
  const retry: GatewayEffect = {
    kind: 'schedule',
    delayMs: FEED_RETRY_MS,
    event: { to: 'feeds', kind: 'feed-due', feed },
  };
  if (state.failingSince !== null) return toStep(state, retry);
  const readAt = state.kind === 'following' ? state.readAt : 0;
  const data = { feed, message, ageMs: readAt === 0 ? -1 : Math.round(now - readAt) };
  return toStep<FeedState, GatewayEffect>({ ...state, failingSince: now }, retry, {
    kind: 'log',
    name: 'log-unavailable',
    details: { data },
  });
};

const readPosition = (state: FeedState): Readonly<Record<string, number | string>> =>
  state.kind === 'loading'
    ? {}
    : { epoch: state.position.epoch ?? 'none', offset: state.position.offset };

const handleResult = (
  feed: FeedName,
  state: FeedState,
  result: FeedResult,
  context: ReadContext,
): Step<FeedState, GatewayEffect> => {
  switch (result.kind) {
    case 'loaded':
    case 'read':
      return handleSuccess(feed, state, result, context);
    case 'expired':
      return toStep<FeedState, GatewayEffect>(
        { kind: 'loading', failingSince: state.failingSince },
        ...describeRestore(feed, state, { epoch: result.epoch, offset: null }, result.kind),
        { kind: 'log', name: 'feed-reloaded', details: { data: { feed, ...readPosition(state) } } },
        { kind: 'load-feed', feed },
      );
    case 'failed':
      return handleFailure(feed, state, result.message, context.now);
    default:
      return assertNever(result);
  }
};

/**
 * Creates the decision logic of the `feeds` child, which follows the records of operators and
 * endpoints in the platform's store. It loads the newest record of each key once and then reads the
 * records after them.
 *
 * @param inputs - clock, and the values from which the intervals between reads are computed
 * @returns the decision logic
 */
export const createFeedsLogic = ({
  clock,
  getPacingInputs,
}: FeedsInputs): ChildLogic<FeedsState, FeedsEvent, GatewayEffect> => ({
  init: () => ({
    state: {
      operator: { kind: 'loading', failingSince: null },
      registrations: { kind: 'loading', failingSince: null },
    },
    effects: FEEDS.map((feed) => ({ kind: 'load-feed', feed })),
  }),
  decide: (state, event) => {
    const { feed } = event;
    switch (event.kind) {
      case 'feed-due':
        return toStep<FeedsState, GatewayEffect>(
          state,
          readFeed(feed, state[feed], getPacingInputs()),
        );
      case 'feed-answered': {
        const step = handleResult(feed, state[feed], event.result, {
          now: clock.now(),
          pacing: getPacingInputs(),
        });
        return { state: { ...state, [feed]: step.state }, effects: step.effects };
      }
      default:
        return assertNever(event);
    }
  },
});
