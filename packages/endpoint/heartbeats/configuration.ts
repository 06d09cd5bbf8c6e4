import type { Offset } from '../../core/ids.js';
import type { EndpointEffect, HeartbeatAnswer } from '../types.js';
import { applySnapshot } from '../../decisions/configuration/exchange.js';
import { foldControlRecord } from '../../decisions/configuration/fold.js';
import { parseControlRecord, parseSnapshot } from '../../decisions/configuration/records.js';
import type { ConfigurationState, RawRecord } from '../../decisions/configuration/types.js';

/** Result of applying the configuration in a heartbeat's answer. */
export interface ConfigurationUpdate {
  readonly configuration: ConfigurationState;
  readonly effects: readonly EndpointEffect[];
}

const logRejected = (message: string, offset: Offset | null): EndpointEffect => ({
  kind: 'log',
  name: 'record-rejected',
  details: {
    ...(offset === null ? {} : { position: { stream: 'control', offset } }),
    data: { message },
  },
});

const applyReceivedSnapshot = (state: ConfigurationState, json: unknown): ConfigurationUpdate => {
  if (json === null) return { configuration: state, effects: [] };
  const parsed = parseSnapshot(json);
  return parsed.isOk()
    ? { configuration: applySnapshot(state, parsed.value), effects: [] }
    : { configuration: state, effects: [logRejected(parsed.error.message, null)] };
};

const applyReceivedRecord = (update: ConfigurationUpdate, raw: RawRecord): ConfigurationUpdate => {
  const { configuration, effects } = update;
  // Duplicate records and those after a gap are skipped; the next answer starts at the offset of
  // this process.
  if (raw.offset !== configuration.nextOffset) return update;
  const parsed = parseControlRecord(raw.body);
  const record = parsed.isOk() ? parsed.value : null;
  const fold = foldControlRecord(configuration, raw, record);
  const rejected = parsed.isErr() ? [logRejected(parsed.error.message, raw.offset)] : [];
  if (fold.result.kind !== 'in-force') {
    return { configuration: fold.state, effects: [...effects, ...rejected] };
  }
  const { kind, entity, author } = fold.result.entry;
  const applied: EndpointEffect = {
    kind: 'log',
    name: 'configuration-applied',
    details: {
      entity,
      position: { stream: 'control', offset: raw.offset },
      data: { kind, author },
    },
  };
  return { configuration: fold.state, effects: [...effects, applied] };
};

/**
 * Applies the configuration snapshot and the records in a heartbeat's answer.
 *
 * @param state - configuration of this process
 * @param answer - answer of an entry daemon, which may be behind this process
 * @returns the next configuration, whose offset never decreases, and the events to log
 */
export const applyHeartbeatAnswer = (
  state: ConfigurationState,
  answer: HeartbeatAnswer,
): ConfigurationUpdate =>
  answer.records.reduce<ConfigurationUpdate>(
    applyReceivedRecord,
    applyReceivedSnapshot(state, answer.snapshot),
  );
