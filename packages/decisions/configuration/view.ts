import { formatEntityKey } from './fold.js';
import type {
  ConfigurationState,
  ConfigurationView,
  EntityEntry,
  MoveEnd,
  MoveView,
  PublishedClass,
} from './types.js';

type EntryOf<Kind extends EntityEntry['kind']> = Extract<EntityEntry, { readonly kind: Kind }>;

const listEntries = <Kind extends EntityEntry['kind']>(
  state: ConfigurationState,
  kind: Kind,
): readonly EntryOf<Kind>[] =>
  [...state.entities.values()].filter((entry): entry is EntryOf<Kind> => entry.kind === kind);

const findEnd = (state: ConfigurationState, move: EntryOf<'move'>): MoveEnd | null => {
  const ended = state.entities.get(formatEntityKey('move-ended', move.entity));
  if (ended?.kind !== 'move-ended' || ended.offset < move.offset) return null;
  const { offset, author } = ended;
  const notified = state.entities.get(formatEntityKey('move-notified', move.entity));
  const isSent = notified?.kind === 'move-notified' && notified.body.endedAt === offset;
  return { ...ended.body, offset, author, notice: isSent ? 'sent' : 'open' };
};

const toMoveView = (state: ConfigurationState, move: EntryOf<'move'>): MoveView => ({
  ...move.body,
  offset: move.offset,
  ended: findEnd(state, move),
});

/**
 * Builds the view of the configuration that other modules use. If several targets records define a
 * class, the latest one applies.
 *
 * @param state - configuration
 * @returns the view
 */
export const buildView = (state: ConfigurationState): ConfigurationView => {
  const classes = new Map<string, PublishedClass>();
  const targets = [...listEntries(state, 'targets')].sort(
    (left, right) => left.offset - right.offset,
  );
  for (const { body } of targets) {
    for (const published of body.classes) classes.set(published.className, published);
  }
  return {
    offset: state.nextOffset,
    classes,
    dataCentresOut: listEntries(state, 'data-centre')
      .filter(({ body }) => body.state === 'out')
      .map(({ entity }) => entity),
    moves: listEntries(state, 'move').map((move) => toMoveView(state, move)),
    quarantined: new Map(
      listEntries(state, 'quarantine').map(({ entity, body }) => [entity, body.expiresAt]),
    ),
  };
};
