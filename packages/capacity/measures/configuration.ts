import { measureDuration } from '../sampling/duration.js';
import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import { createId } from '../../core/ids.js';
import { planSnapshot } from '../../decisions/configuration/exchange.js';
import {
  createConfiguration,
  foldControlRecord,
  openGap,
} from '../../decisions/configuration/fold.js';
import { parseControlRecord } from '../../decisions/configuration/records.js';
import type { ConfigurationState, EntityEntry } from '../../decisions/configuration/types.js';
import { buildView } from '../../decisions/configuration/view.js';

const NOW = 1_800_000_000_000;
const RECORDS_PER_ROUND = 20;

/** Builds targets of one class of one customer, the most common change at the target size. */
const buildTargetsBody = (index: number) => ({
  classes: [
    {
      className: `customer-${index.toString().padStart(5, '0')}-memos`,
      importance: 'standard',
      answerLength: 'long',
      firstTokenMs: 720,
      tokenGapMs: 53,
      stallMs: 500,
      deadlineMs: 60_000,
      repeat: 'allowed',
      delivery: 'stream',
    },
  ],
});

const formatEntity = (index: number): string => `customer-${index.toString().padStart(5, '0')}`;

const buildEntries = (entities: number): readonly EntityEntry[] =>
  Array.from({ length: entities }, (_, index) => ({
    kind: 'targets',
    body: buildTargetsBody(index),
    entity: formatEntity(index),
    offset: index,
    author: 'operator-team-a',
  })) as unknown as readonly EntityEntry[];

const buildRecordLine = (index: number, basedOn: number | null): string =>
  JSON.stringify({
    format: 1,
    kind: 'targets',
    entity: formatEntity(index),
    basedOn,
    body: buildTargetsBody(index),
    author: 'operator-team-a',
    nonce: createId(),
  });

const buildState = (entities: number): ConfigurationState => ({
  ...createConfiguration(),
  nextOffset: entities,
  entities: new Map(
    buildEntries(entities).map((entry) => [`${entry.kind}\u0000${entry.entity}`, entry]),
  ),
});

const foldLine = (state: ConfigurationState, line: string): ConfigurationState => {
  const body = JSON.parse(line) as unknown;
  const parsed = parseControlRecord(body);
  if (parsed.isErr()) throw new Error(parsed.error.message);
  return foldControlRecord(state, { offset: state.nextOffset, at: NOW, body }, parsed.value).state;
};

/**
 * Folds a snapshot record after a gap, as a daemon does that starts after the retention has removed
 * the first records of the log.
 */
const foldSnapshot = (line: string, entities: number): ConfigurationState =>
  foldLine(openGap(createConfiguration(), entities), line);

const measureEntities = (entities: number) => {
  const { bytes, state } = measureMemory(() => buildState(entities));
  const changes = Array.from({ length: RECORDS_PER_ROUND }, (_, index) =>
    buildRecordLine(index, index),
  );
  const info = { firstOffset: 0, snapshotAt: null, snapshotAgeMs: 1, maxAgeMs: 0, now: NOW };
  const snapshot = JSON.stringify(planSnapshot(state, info, 'entry-000', createId()));
  if (foldSnapshot(snapshot, entities).entities.size !== entities) {
    throw new Error('the snapshot does not restore every entity of the configuration');
  }
  return {
    'configuration.state': bytes,
    'configuration.snapshot': Buffer.byteLength(snapshot),
    'configuration.fold-time':
      measureDuration(() => {
        changes.reduce(foldLine, state);
      }) / RECORDS_PER_ROUND,
    'configuration.view-time': measureDuration(() => {
      buildView(state);
    }),
    'configuration.snapshot-time': measureDuration(() => {
      foldSnapshot(snapshot, entities);
    }),
  };
};

const measureRecords = (records: number) => ({
  'configuration.record': Array.from({ length: records }, (_, index) =>
    Buffer.byteLength(buildRecordLine(index, index)),
  ).reduce((sum, bytes) => sum + bytes, 0),
});

/** Configuration with an entity for each customer, and the control records of a day's changes. */
export const CONFIGURATION_EXPERIMENTS: readonly Experiment[] = [
  { name: 'configuration', sizes: [1_000, 7_000, 31_000], measure: measureEntities },
  { name: 'control records', sizes: [100, 1_000, 10_000], measure: measureRecords },
];
