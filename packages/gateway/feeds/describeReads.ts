import { formatEpoch } from './epochs.js';
import type { FeedState } from './feedState.js';
import type { Millis } from '../../core/clock.js';
import type { GatewayEffect } from '../effects.js';
import type { FeedName, FeedPosition, FeedResult, StoreEpoch } from '../types.js';

/**
 * Describes the end of an outage.
 *
 * @param feed - feed that was read
 * @param state - state of the feed before the read
 * @param now - instant of the read
 * @returns the log line; none unless the reads before failed
 */
export const describeRecovery = (feed: FeedName, state: FeedState, now: Millis): GatewayEffect[] =>
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
 * Describes that a daemon is too far behind in a feed to read all records in order.
 *
 * @param feed - feed that was read
 * @param records - number of records in the answer
 * @param remaining - number of records that the feed has beyond it
 * @returns the log line
 */
export const describeBehind = (
  feed: FeedName,
  records: number,
  remaining: number,
): GatewayEffect => ({
  kind: 'log',
  name: 'feed-behind',
  details: { data: { feed, records, remaining } },
});

/**
 * Describes that a second connection answered a read.
 *
 * @param feed - feed that was read
 * @param state - state of the feed before the read
 * @param result - result of the read
 * @param now - instant of the read
 * @returns the log line; none if the first connection answered
 */
export const describeReplaced = (
  feed: FeedName,
  state: FeedState,
  { replaced }: Extract<FeedResult, { kind: 'loaded' | 'read' }>,
  now: Millis,
): GatewayEffect[] => {
  if (replaced === undefined) return [];
  const sentAt = state.kind === 'following' ? state.sentAt : state.loadSentAt;
  const data = { feed, reason: replaced, afterMs: Math.round(now - sentAt) };
  return [{ kind: 'log', name: 'connection-replaced', details: { data } }];
};

/**
 * Publishes that the store answers from another copy of its records.
 *
 * @param feed - feed that was read
 * @param before - newest position in the copy before
 * @param after - position in the new copy
 * @returns effects
 */
export const publishRestore = (
  feed: FeedName,
  before: FeedPosition,
  after: FeedPosition,
): GatewayEffect[] => [
  { kind: 'count', name: 'gateway_store_restores_total', labels: { feed } },
  { kind: 'post', event: { to: 'quarantine', kind: 'store-restored', epoch: after.epoch } },
  {
    kind: 'log',
    name: 'store-restored',
    details: {
      data: {
        feed,
        epochBefore: formatEpoch(before.epoch),
        offsetBefore: before.offset,
        epoch: formatEpoch(after.epoch),
        offset: after.offset,
      },
    },
  },
];

/**
 * Describes that a feed is loaded again.
 *
 * @param feed - feed that was read
 * @param state - state of the feed before
 * @param epoch - epoch of the answer that made it necessary
 * @returns the log line
 */
export const describeReload = (
  feed: FeedName,
  state: FeedState,
  epoch: StoreEpoch,
): GatewayEffect => {
  const position: Readonly<Record<string, number | string>> =
    state.kind === 'loading'
      ? {}
      : { epochBefore: formatEpoch(state.position.epoch), offsetBefore: state.position.offset };
  const data = { feed, epoch: formatEpoch(epoch), ...position };
  return { kind: 'log', name: 'feed-reloaded', details: { data } };
};
