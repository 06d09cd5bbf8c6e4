import { z } from 'zod';
import { DEFAULT_READ_LIMIT, MAX_READ_WAIT_MS } from './constants.js';

/** Body of `POST /streams/:stream/records`. */
export const APPEND_SCHEMA = z.object({ records: z.array(z.unknown()).min(1) });

/** Query of `GET /streams/:stream/records`. */
export const READ_SCHEMA = z.object({
  from: z.coerce.number().int().min(0).default(0),
  limit: z.coerce.number().int().min(1).max(10_000).default(DEFAULT_READ_LIMIT),
  waitMs: z.coerce.number().min(0).max(MAX_READ_WAIT_MS).default(0),
});

/** Body of `PUT /instances/:id`. */
export const INSTANCE_SCHEMA = z.object({
  role: z.enum(['entry', 'endpoint']),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
  rpcUrl: z.string(),
  httpUrl: z.string(),
  model: z.string().optional(),
  version: z.string().optional(),
  service: z.string().optional(),
});

/** Body of `POST /faults`. */
export const PLATFORM_FAULTS_SCHEMA = z.strictObject({
  log: z.enum(['up', 'down', 'slow', 'lose-answers']).optional(),
  list: z.enum(['up', 'down']).optional(),
  listLagMs: z.number().min(0).optional(),
  appendDelayMs: z.number().min(0).optional(),
  retentionRecords: z.number().int().min(0).optional(),
  retentionMs: z.number().min(0).optional(),
});
