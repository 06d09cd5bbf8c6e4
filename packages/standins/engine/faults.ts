import { z } from 'zod';
import type { Submission } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';

const MILLIS = z.number().min(0);

/** Body of `POST /faults`. */
export const ENGINE_FAULT_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('restart-cold') }),
  z.strictObject({ kind: z.literal('crash'), downMs: MILLIS }),
  z.strictObject({ kind: z.literal('freeze'), forMs: MILLIS }),
  z.strictObject({
    kind: z.literal('slow'),
    factor: z.number().positive(),
    forMs: MILLIS.optional(),
  }),
  z.strictObject({
    kind: z.literal('error-rate'),
    share: z.number().min(0).max(1),
    status: z.number().int().min(400).max(599).optional(),
    route: z.string().optional(),
    class: z.string().optional(),
  }),
  z.strictObject({ kind: z.literal('errors-under-load'), aboveRunning: z.number().int().min(0) }),
  z.strictObject({
    kind: z.literal('crash-on-content'),
    marker: z.string().min(1),
    downMs: MILLIS,
  }),
  z.strictObject({ kind: z.literal('set-health'), health: z.enum(['failing', 'ready']) }),
  z.strictObject({ kind: z.literal('clear') }),
]);

/** A fault that a test or a scenario applies to the engine. */
export type EngineFault = z.infer<typeof ENGINE_FAULT_SCHEMA>;

/** Fault that stays until it is cleared, also across restarts of the engine. */
export type PersistentFault = Extract<
  EngineFault,
  { kind: 'slow' | 'error-rate' | 'errors-under-load' | 'crash-on-content' | 'set-health' }
>;

/** Persistent fault with the end of its effect. */
export interface ActiveFault {
  readonly fault: PersistentFault;
  /** Infinity for a fault without a time limit. */
  readonly until: Millis;
}

/** Effect of the faults on a submission. */
export type FaultDecision =
  | { readonly kind: 'pass' }
  | { readonly kind: 'refuse'; readonly status: number; readonly message: string }
  | { readonly kind: 'crash'; readonly downMs: Millis };

const PASS: FaultDecision = { kind: 'pass' };

/**
 * Adds a persistent fault. It replaces a fault of the same kind, except that error rates with
 * different route or class filters coexist.
 *
 * @param active - active faults
 * @param fault - fault to add
 * @param now - current instant
 * @returns the active faults
 */
export const addFault = (
  active: readonly ActiveFault[],
  fault: PersistentFault,
  now: Millis,
): readonly ActiveFault[] => {
  const others = active.filter(({ fault: known }) => {
    if (known.kind !== fault.kind) return true;
    if (known.kind !== 'error-rate' || fault.kind !== 'error-rate') return false;
    return known.route !== fault.route || known.class !== fault.class;
  });
  const forMs = fault.kind === 'slow' ? fault.forMs : undefined;
  return [...others, { fault, until: forMs === undefined ? Infinity : now + forMs }];
};

const decideSingleFault = (
  fault: PersistentFault,
  submission: Submission,
  running: number,
  draw: () => number,
): FaultDecision => {
  switch (fault.kind) {
    case 'slow':
    case 'set-health':
      return PASS;
    case 'error-rate': {
      if (fault.route !== undefined && fault.route !== submission.route) return PASS;
      if (fault.class !== undefined && fault.class !== submission.className) return PASS;
      if (draw() >= fault.share) return PASS;
      return { kind: 'refuse', status: fault.status ?? 500, message: 'injected error' };
    }
    case 'errors-under-load':
      if (running <= fault.aboveRunning) return PASS;
      return { kind: 'refuse', status: 500, message: 'injected error under load' };
    case 'crash-on-content':
      if (!submission.content.includes(fault.marker)) return PASS;
      return { kind: 'crash', downMs: fault.downMs };
    default:
      return assertNever(fault);
  }
};

/**
 * Decides how the active faults affect a submission.
 *
 * @param active - active faults
 * @param submission - request
 * @param running - number of sequences that run or wait
 * @param draw - returns the next random number in [0, 1)
 * @returns the effect of the first fault that applies, or `pass`
 */
export const decideFault = (
  active: readonly ActiveFault[],
  submission: Submission,
  running: number,
  draw: () => number,
): FaultDecision => {
  for (const { fault } of active) {
    const decision = decideSingleFault(fault, submission, running, draw);
    if (decision.kind !== 'pass') return decision;
  }
  return PASS;
};

/**
 * Computes the factor by which the active faults lengthen a step.
 *
 * @param active - active faults
 * @param now - current instant
 * @returns the factor; 1 without a `slow` fault
 */
export const computeSlowFactor = (active: readonly ActiveFault[], now: Millis): number =>
  active.reduce(
    (factor, { fault, until }) =>
      fault.kind === 'slow' && now < until ? factor * fault.factor : factor,
    1,
  );
