import type { Millis } from '../../core/clock.js';
import type { DataCentreId } from '../../core/ids.js';
import type { GatewayEffect } from '../effects.js';
import type { MembershipEvent } from '../events.js';
import { MISSING_ORDER_HOLD_MS } from '../feeds/constants.js';

/**
 * Data centres that operators took out of service. The collections outlive the state of the child: a
 * restored store may lack an order that has to be held.
 */
export interface DataCentresState {
  /** With the instants at which this daemon learnt that they are out. */
  readonly dataCentresOut: Map<DataCentreId, Millis>;
  /**
   * Those whose order is missing from the copy from which the store was restored, with the instants
   * at which that was read.
   */
  readonly dataCentresHeld: Map<DataCentreId, Millis>;
}

/**
 * Creates the state without any data centre that is out.
 *
 * @returns the state
 */
export const createDataCentres = (): DataCentresState => ({
  dataCentresOut: new Map(),
  dataCentresHeld: new Map(),
});

type DataCentresChanged = Extract<MembershipEvent, { kind: 'data-centres-changed' }>;

const describeDataCentre = (dataCentre: DataCentreId, change: 'out' | 'in'): GatewayEffect => ({
  kind: 'log',
  name: 'data-centre-changed',
  details: { dataCentre, data: { change } },
});

const addDataCentre = (
  { dataCentresHeld, dataCentresOut }: DataCentresState,
  dataCentre: DataCentreId,
  now: Millis,
): GatewayEffect[] => {
  dataCentresHeld.delete(dataCentre);
  if (dataCentresOut.has(dataCentre)) return [];
  dataCentresOut.set(dataCentre, now);
  return [describeDataCentre(dataCentre, 'out')];
};

const removeDataCentre = (
  { dataCentresHeld, dataCentresOut }: DataCentresState,
  dataCentre: DataCentreId,
): GatewayEffect[] => {
  dataCentresHeld.delete(dataCentre);
  return dataCentresOut.delete(dataCentre) ? [describeDataCentre(dataCentre, 'in')] : [];
};

const holdDataCentre = (
  { dataCentresHeld }: DataCentresState,
  dataCentre: DataCentreId,
  now: Millis,
): GatewayEffect[] => {
  dataCentresHeld.set(dataCentre, now);
  return [
    {
      kind: 'log',
      name: 'order-held',
      details: { dataCentre, data: { order: 'data-centre-out', forMs: MISSING_ORDER_HOLD_MS } },
    },
    {
      kind: 'schedule',
      delayMs: MISSING_ORDER_HOLD_MS,
      event: { to: 'membership', kind: 'data-centre-hold-due', dataCentre, heldAt: now },
    },
  ];
};

/** Applies that a load does not list a data centre that is out. */
const applyMissing = (
  state: DataCentresState,
  dataCentre: DataCentreId,
  scope: DataCentresChanged['scope'],
  now: Millis,
): GatewayEffect[] => {
  if (scope === 'restored') return holdDataCentre(state, dataCentre, now);
  return state.dataCentresHeld.has(dataCentre) ? [] : removeDataCentre(state, dataCentre);
};

/**
 * Applies records of data centres that operators take out of service or return. An order that is
 * missing from a restored store still counts until it is withdrawn, but for `MISSING_ORDER_HOLD_MS`
 * at most unless it is written again.
 *
 * @param state - data centres, updated in place
 * @param event - records that were read
 * @param now - current instant
 * @returns log lines and timers
 */
export const applyDataCentres = (
  state: DataCentresState,
  { changes, scope }: DataCentresChanged,
  now: Millis,
): GatewayEffect[] => {
  const effects: GatewayEffect[] = [];
  const ordered = new Set<DataCentreId>();
  for (const change of changes) {
    if (change.kind === 'data-centre-out') {
      ordered.add(change.dataCentre);
      effects.push(...addDataCentre(state, change.dataCentre, now));
    } else if (change.kind === 'data-centre-in') {
      effects.push(...removeDataCentre(state, change.dataCentre));
    }
  }
  if (scope === 'changed') return effects;
  const missing = [...state.dataCentresOut.keys()].filter((name) => !ordered.has(name));
  return [...effects, ...missing.flatMap((name) => applyMissing(state, name, scope, now))];
};

/**
 * Returns a data centre to service when its order was not written again in time.
 *
 * @param state - data centres, updated in place
 * @param dataCentre - data centre that was held
 * @param heldAt - start of the hold, which a later record or restore may have replaced
 * @returns log lines
 */
export const endHold = (
  state: DataCentresState,
  dataCentre: DataCentreId,
  heldAt: Millis,
): GatewayEffect[] =>
  state.dataCentresHeld.get(dataCentre) === heldAt ? removeDataCentre(state, dataCentre) : [];
