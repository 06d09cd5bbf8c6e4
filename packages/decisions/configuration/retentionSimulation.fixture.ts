import fc from 'fast-check';
import { planSnapshot } from './exchange.js';
import { createConfiguration, foldControlRecord } from './fold.js';

/** Input of one run against a log with retention. */
export interface RetentionRun {
  readonly retentionMs: number;
  readonly retentionRecords: number;
  readonly maxAgeMs: number;
  /** Time from planning a snapshot until it is in the log. */
  readonly appendDelayMs: number;
  /** Intervals between records. */
  readonly gapsMs: readonly number[];
}

/**
 * Finds a record that retention drops before a snapshot covers it.
 *
 * @param run - retention, delays and intervals between records
 * @returns the oldest retained offset when a dropped record is not covered, or null
 */
export const findUncovered = (run: RetentionRun): number | null => {
  let state = createConfiguration();
  const log: { readonly at: number; readonly asOf: number | null }[] = [];
  const pending: { readonly at: number; readonly asOf: number }[] = [];
  let firstOffset = 0;
  let now = 0;
  const append = (at: number, asOf: number | null): void => {
    const raw = { offset: log.length, at, body: null };
    log.push({ at, asOf });
    const body = { state: 'in' } as const;
    const entity = {
      kind: 'data-centre',
      format: 1,
      author: 'a',
      nonce: 'n',
      entity: 'e',
    } as const;
    const basedOn = [...state.entities.values()][0]?.offset ?? null;
    const record = asOf === null ? { ...entity, body, basedOn } : null;
    state = foldControlRecord(state, raw, record).state;
  };
  const appendUntil = (until: number): void => {
    while (pending[0] !== undefined && pending[0].at <= until) {
      const next = pending.shift() as { at: number; asOf: number };
      append(next.at, next.asOf);
    }
  };
  for (const gap of run.gapsMs) {
    now += gap;
    appendUntil(now);
    append(now, null);
    while ((log[firstOffset]?.at ?? now) < now - run.retentionMs) firstOffset += 1;
    firstOffset = Math.max(firstOffset, log.length - run.retentionRecords);
    const newest = Math.max(-1, ...log.slice(firstOffset).map(({ asOf }) => asOf ?? -1));
    if (firstOffset > 0 && newest < firstOffset) return firstOffset;
    if (pending.length > 0) continue;
    const index = log.findLastIndex(({ asOf }) => asOf === newest);
    const since = newest < 0 ? (log[firstOffset]?.at ?? now) : (log[index]?.at ?? now);
    const info = {
      firstOffset,
      snapshotAt: newest < 0 ? null : newest,
      snapshotAgeMs: now - since,
      maxAgeMs: run.maxAgeMs,
      now,
    };
    const plan = planSnapshot(state, info, 'a', 'n');
    if (plan !== null) pending.push({ at: now + run.appendDelayMs, asOf: plan.asOf });
  }
  return null;
};

const buildGaps = (maxGap: number, length: number) =>
  fc.array(fc.integer({ min: 1, max: maxGap }), { minLength: length, maxLength: length });

/**
 * Builds the property that a snapshot is in the log before retention by time drops the records that
 * it covers: it is due at a third of the retention and is in the log within another third.
 *
 * @returns a fast-check property
 */
export const buildRetentionProperty = () =>
  fc.property(buildGaps(20, 200), (gapsMs) => {
    const retention = { retentionMs: 300, retentionRecords: Infinity };
    return findUncovered({ ...retention, maxAgeMs: 100, appendDelayMs: 80, gapsMs }) === null;
  });
