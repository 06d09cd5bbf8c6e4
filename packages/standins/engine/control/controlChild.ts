import type { ControlEvent, ControlOrder, EngineEffect, EngineSettings } from '../types.js';
import { assertNever } from '../../../core/assertNever.js';
import type { Step } from '../../../core/step.js';
import { toStep } from '../../../core/step.js';
import type { ChildLogic } from '../../../core/supervision/types.js';

/** Result of the control orders so far. */
export interface ControlState {
  /** Largest fencing number of an accepted order. */
  readonly newestFencing: number;
  readonly role: string;
  readonly adapters: readonly string[];
  readonly accepted: number;
  readonly refused: number;
  /** Orders that were accepted despite a stale fencing number, because it is not checked. */
  readonly staleAccepted: number;
}

type ControlSettings = Pick<EngineSettings, 'fencing' | 'loadVersionMs'>;

const applyOrder = (
  state: ControlState,
  order: ControlOrder,
  settings: ControlSettings,
): Step<ControlState, EngineEffect> => {
  switch (order.kind) {
    case 'load-version':
      return toStep<ControlState, EngineEffect>(state, {
        kind: 'schedule',
        delayMs: settings.loadVersionMs,
        event: { to: 'scheduler', kind: 'set-version', version: order.version ?? '' },
      });
    case 'load-adapter':
      return toStep({ ...state, adapters: [...state.adapters, order.adapter ?? ''] });
    case 'change-role':
      return toStep({ ...state, role: order.role ?? '' });
    default:
      return assertNever(order.kind);
  }
};

/**
 * Decides one control order.
 *
 * @param state - state before the order
 * @param event - order with its fencing number
 * @param settings - whether stale fencing numbers are refused, and the time to load a version
 * @returns the next state, the answer and the effects of the order
 */
export const decideControl = (
  state: ControlState,
  event: ControlEvent,
  settings: ControlSettings,
): Step<ControlState, EngineEffect> => {
  const { order, reply } = event;
  const isStale = order.fencing < state.newestFencing;
  if (isStale && settings.fencing === 'checked') {
    const body = { error: 'stale fencing number', newestFencing: state.newestFencing };
    return toStep<ControlState, EngineEffect>(
      { ...state, refused: state.refused + 1 },
      { kind: 'answer', reply, answer: { status: 409, body } },
    );
  }
  const applied = applyOrder(state, order, settings);
  const next: ControlState = {
    ...applied.state,
    newestFencing: Math.max(state.newestFencing, order.fencing),
    accepted: state.accepted + 1,
    staleAccepted: state.staleAccepted + (isStale ? 1 : 0),
  };
  const body = { accepted: order.kind, fencing: order.fencing };
  return toStep(next, { kind: 'answer', reply, answer: { status: 200, body } }, ...applied.effects);
};

/**
 * Creates the child that handles control orders.
 *
 * @param settings - whether stale fencing numbers are refused, and the time to load a version
 * @returns the decisions of the child
 */
export const createControlChild = (
  settings: ControlSettings,
): ChildLogic<ControlState, ControlEvent, EngineEffect> => ({
  init: () =>
    toStep({
      newestFencing: 0,
      role: 'serve',
      adapters: [],
      accepted: 0,
      refused: 0,
      staleAccepted: 0,
    }),
  decide: (state, event) => decideControl(state, event, settings),
});
