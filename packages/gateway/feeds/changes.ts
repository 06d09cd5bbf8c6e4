import { assertNever } from '../../core/assertNever.js';
import type { GatewayEffect } from '../effects.js';
import type { FeedName, RecordChange, RemovalCertainty, StoreEpoch } from '../types.js';

/**
 * Which records a read returned. `all`: every current record, so that a missing one no longer
 * exists. `changed`: those that changed. `restored`: every record of an older copy from which the
 * store was restored, so that a missing one may be written again.
 */
export type ReadScope = 'all' | 'changed' | 'restored';

/** What the records of a read stand for. */
export interface ReadContents {
  readonly scope: ReadScope;
  readonly removals: RemovalCertainty;
  readonly epoch: StoreEpoch;
}

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

const publishOperator = (
  changes: readonly RecordChange[],
  { epoch, scope }: ReadContents,
): GatewayEffect[] => {
  const effects: GatewayEffect[] = [];
  for (const change of changes) {
    if (change.kind !== 'configuration') continue;
    const { configuration } = change;
    const event = {
      to: 'configuration',
      kind: 'configuration-read',
      configuration,
      epoch,
    } as const;
    effects.push({ kind: 'post', event });
  }
  effects.push({
    kind: 'post',
    event: { to: 'membership', kind: 'data-centres-changed', changes, scope },
  });
  const moves = changes.filter(
    (change) => change.kind === 'move-ordered' || change.kind === 'move-withdrawn',
  );
  if (moves.length > 0 || scope !== 'changed') {
    effects.push({
      kind: 'post',
      event: { to: 'moves', kind: 'moves-changed', changes: moves, scope },
    });
  }
  return effects;
};

/**
 * Publishes the records of a read to the children that keep them.
 *
 * @param feed - feed that was read
 * @param changes - decoded records
 * @param contents - what the records stand for
 * @returns the events for the children, and log lines for unreadable records
 */
export const publishChanges = (
  feed: FeedName,
  changes: readonly RecordChange[],
  contents: ReadContents,
): GatewayEffect[] => {
  const { removals, scope } = contents;
  if (changes.length === 0 && scope === 'changed') return [];
  const unreadable = describeUnreadable(feed, changes);
  switch (feed) {
    case 'operator':
      return [...unreadable, ...publishOperator(changes, contents)];
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
