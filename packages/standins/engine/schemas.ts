import { z } from 'zod';

const CONTENT_PART_SCHEMA = z.object({ type: z.string(), text: z.string().optional() });

const MESSAGE_SCHEMA = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(CONTENT_PART_SCHEMA)]).nullish(),
});

const METADATA_SCHEMA = z.object({
  target_tokens: z
    .string()
    .regex(/^[0-9]+$/)
    .optional(),
  route: z.string().optional(),
  class: z.string().optional(),
});

/** Body of `POST /v1/chat/completions`; fields that the stand-in does not use are ignored. */
export const CHAT_SCHEMA = z.object({
  model: z.string().optional(),
  messages: z.array(MESSAGE_SCHEMA).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
  priority: z.number().nullish(),
  metadata: METADATA_SCHEMA.nullish(),
});

export type ChatBody = z.infer<typeof CHAT_SCHEMA>;

/** Body of `POST /control/order`. */
export const ORDER_SCHEMA = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('load-version'), fencing: z.number().int(), version: z.string() }),
  z.object({ kind: z.literal('load-adapter'), fencing: z.number().int(), adapter: z.string() }),
  z.object({ kind: z.literal('change-role'), fencing: z.number().int(), role: z.string() }),
]);

/** Query of `GET /cache-events`. */
export const CACHE_EVENTS_SCHEMA = z.object({
  from: z.coerce.number().int().min(0).default(0),
});

const COUNT = z.number().int().min(0).optional();
const AMOUNT = z.number().min(0).optional();

/** Options of the engine stand-in in a file; a missing field has its default. */
export const ENGINE_OPTIONS_SCHEMA = z.strictObject({
  fencing: z.enum(['checked', 'ignored']).optional(),
  seed: z.number().int().optional(),
  stepBaseMs: AMOUNT,
  stepPerSequenceMs: AMOUNT,
  prefillMsPerToken: AMOUNT,
  prefillTokensPerStep: COUNT,
  cachedPrefixTokens: COUNT,
  memoryTokens: COUNT,
  maxRunning: COUNT,
  warmUpMs: AMOUNT,
  coldConcurrency: COUNT,
  warmConcurrency: COUNT,
  rampMs: AMOUNT,
  collapseFactor: AMOUNT,
  collapseMs: AMOUNT,
  meanOutputTokens: COUNT,
  maxOutputTokens: COUNT,
  loadLagMs: AMOUNT,
  cacheEventLagMs: AMOUNT,
  cacheEventLossShare: z.number().min(0).max(1).optional(),
  loadVersionMs: AMOUNT,
});
