import {
  FEED_RETRY_MS,
  FEED_SILENCE_MS,
  MIN_FEED_WAIT_MS,
  MIN_REGISTRATIONS_PAUSE_MS,
  OPERATOR_PAUSE_MS,
  PAUSE_SHARE,
  READ_SPACING_MS,
  REGISTRATIONS_WAIT_MS,
  RETURN_GRACE_MS,
  SILENT_READ_MS,
} from './constants.js';
import { assertNever } from '../../core/assertNever.js';
import type { Clock, Millis } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import type { FeedsEvent, GatewayEffect } from '../events.js';
import type { FeedName, FeedResult, LearnWithin, RecordChange, RemovalTrust } from '../types.js';

/** Where this daemon is in one stream of records. */
export type FeedState =
  | { readonly kind: 'loading'; readonly failingSince: Millis | null }
  | {
      readonly kind: 'following';
      readonly position: number;
      readonly failingSince: Millis | null;
      readonly readAt: Millis;
      /** Removals until then may only mean that the store was away. */
      readonly doubtUntil: Millis;
    };

export type FeedsState = Readonly<Record<FeedName, FeedState>>;

type Scope = 'all' | 'changed';

export interface FeedsInputs {
  readonly clock: Clock;
  readonly getPace: () => FeedPace;
}

/** What the pace of the reads follows from. */
export interface FeedPace {
  /** Daemons that read the same records, this one included. */
  readonly daemons: number;
  readonly learnWithin: LearnWithin;
}

interface ReadContext {
  readonly now: Millis;
  readonly pace: FeedPace;
}

const FEEDS: readonly FeedName[] = ['operator', 'registrations'];

const limitTo = (value: Millis, least: Millis, most: Millis): Millis =>
  Math.max(least, Math.min(value, most));

/** How long the store may hold a read back; a connection that fell silent shows only after that. */
const computeWait = (feed: FeedName, { daemons, learnWithin }: FeedPace): Millis => {
  switch (feed) {
    case 'operator':
      return limitTo(
        READ_SPACING_MS.operator * daemons,
        MIN_FEED_WAIT_MS,
        learnWithin.outageMs - SILENT_READ_MS,
      );
    case 'registrations':
      return REGISTRATIONS_WAIT_MS;
    default:
      return assertNever(feed);
  }
};

/** Pause after a read that brought records. */
const computePause = (feed: FeedName, { daemons, learnWithin }: FeedPace): Millis => {
  switch (feed) {
    case 'operator':
      return OPERATOR_PAUSE_MS;
    case 'registrations':
      return limitTo(
        READ_SPACING_MS.registrations * daemons,
        MIN_REGISTRATIONS_PAUSE_MS,
        learnWithin.leavingMs * PAUSE_SHARE,
      );
    default:
      return assertNever(feed);
  }
};

const readFeed = (feed: FeedName, state: FeedState, pace: FeedPace): GatewayEffect =>
  state.kind === 'loading'
    ? { kind: 'load-feed', feed }
    : { kind: 'read-feed', feed, position: state.position, waitMs: computeWait(feed, pace) };

/**
 * Tells whether a feed may hide what happened: its last read failed, or has been waiting although
 * endpoints write all the time. An outage in which the store falls silent shows here first.
 *
 * @param state - state of the feed of registrations
 * @param now - current instant
 * @param pace - what the pauses between reads follow from
 * @returns whether the records may be behind
 */
export const isFeedStale = (state: FeedState, now: Millis, pace: FeedPace): boolean =>
  state.kind === 'loading' ||
  state.failingSince !== null ||
  now - state.readAt > computePause('registrations', pace) + FEED_SILENCE_MS;

const describeUnreadable = (feed: FeedName, changes: readonly RecordChange[]): GatewayEffect[] =>
  changes.flatMap((change) =>
    change.kind === 'unreadable'
      ? [
          {
            kind: 'log' as const,
            name: 'record-unreadable' as const,
            details: { entity: change.key, data: { feed, reason: change.reason } },
          },
        ]
      : [],
  );

const publishOperator = (changes: readonly RecordChange[], scope: Scope): GatewayEffect[] => {
  const effects: GatewayEffect[] = [];
  for (const change of changes) {
    if (change.kind !== 'configuration') continue;
    const { configuration } = change;
    const event = { to: 'configuration', kind: 'configuration-read', configuration } as const;
    effects.push({ kind: 'post', event });
  }
  effects.push({
    kind: 'post',
    event: { to: 'membership', kind: 'data-centres-changed', changes, scope },
  });
  const orders = changes.flatMap((change) =>
    change.kind === 'move-ordered' ? [change.order] : [],
  );
  const withdrawn = changes.flatMap((change) =>
    change.kind === 'move-withdrawn' ? [change.service] : [],
  );
  if (orders.length + withdrawn.length > 0 || scope === 'all') {
    effects.push({
      kind: 'post',
      event: { to: 'moves', kind: 'moves-changed', orders, withdrawn, scope },
    });
  }
  return effects;
};

const publishChanges = (
  feed: FeedName,
  changes: readonly RecordChange[],
  scope: Scope,
  removals: RemovalTrust,
): GatewayEffect[] => {
  if (changes.length === 0 && scope === 'changed') return [];
  const unreadable = describeUnreadable(feed, changes);
  switch (feed) {
    case 'operator':
      return [...unreadable, ...publishOperator(changes, scope)];
    case 'registrations':
      return [
        ...unreadable,
        {
          kind: 'post',
          event: { to: 'membership', kind: 'registrations-changed', changes, scope, removals },
        },
      ];
    default:
      return assertNever(feed);
  }
};

const describeReturn = (feed: FeedName, state: FeedState, now: Millis): GatewayEffect[] =>
  state.failingSince === null
    ? []
    : [
        {
          kind: 'log',
          name: 'log-available',
          details: { data: { feed, awayMs: Math.round(now - state.failingSince) } },
        },
      ];

/** Returns until when removals are doubtful, after a read that succeeded. */
const computeDoubt = (state: FeedState, now: Millis): Millis => {
  if (state.failingSince !== null) return now + RETURN_GRACE_MS;
  return state.kind === 'following' ? state.doubtUntil : 0;
};

const handleSuccess = (
  feed: FeedName,
  state: FeedState,
  result: Extract<FeedResult, { kind: 'loaded' | 'read' }>,
  { now, pace }: ReadContext,
): Step<FeedState, GatewayEffect> => {
  const doubtUntil = computeDoubt(state, now);
  const scope = result.kind === 'loaded' ? 'all' : 'changed';
  const removals: RemovalTrust =
    now < doubtUntil
      ? { kind: 'doubtful', since: doubtUntil - RETURN_GRACE_MS }
      : { kind: 'certain' };
  const next: FeedState = {
    kind: 'following',
    position: result.position,
    failingSince: null,
    readAt: now,
    doubtUntil,
  };
  const pauseMs = result.changes.length === 0 ? 0 : computePause(feed, pace);
  return {
    state: next,
    effects: [
      ...describeReturn(feed, state, now),
      ...publishChanges(feed, result.changes, scope, removals),
      pauseMs === 0
        ? readFeed(feed, next, pace)
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
        { kind: 'log', name: 'feed-reloaded', details: { data: { feed } } },
        { kind: 'load-feed', feed },
      );
    case 'failed':
      return handleFailure(feed, state, result.message, context.now);
    default:
      return assertNever(result);
  }
};

/**
 * Creates the child that follows the records of operators and endpoints in the platform's store. It
 * loads the newest records once and then reads on from their end.
 *
 * @param inputs - time of the reads and number of the readers
 * @returns the decisions of the child
 */
export const createFeedsLogic = ({
  clock,
  getPace,
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
        return toStep<FeedsState, GatewayEffect>(state, readFeed(feed, state[feed], getPace()));
      case 'feed-answered': {
        const step = handleResult(feed, state[feed], event.result, {
          now: clock.now(),
          pace: getPace(),
        });
        return { state: { ...state, [feed]: step.state }, effects: step.effects };
      }
      default:
        return assertNever(event);
    }
  },
});
