import { z } from 'zod';

const MILLIS = z.number().min(0);
const CALLS = z.number().int().min(1).default(1);

/** Body of a call with an effect; other fields are ignored. */
export const EXECUTION_SCHEMA = z.looseObject({
  key: z.string().optional(),
  amount: z.number().default(0),
});

/** Body of `POST /faults` on the inspection port. */
export const LEDGER_FAULT_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('delay-before'), delayMs: MILLIS, calls: CALLS }),
  z.strictObject({ kind: z.literal('delay-after'), delayMs: MILLIS, calls: CALLS }),
  z.strictObject({ kind: z.literal('drop-answer'), calls: CALLS }),
  z.strictObject({ kind: z.literal('fail-before'), calls: CALLS }),
  z.strictObject({ kind: z.literal('freeze'), forMs: MILLIS }),
  z.strictObject({ kind: z.literal('crash'), downMs: MILLIS }),
  z.strictObject({ kind: z.literal('clear') }),
]);

/** Query of `GET /executions`. */
export const EXECUTIONS_SCHEMA = z.object({ key: z.string().optional() });
