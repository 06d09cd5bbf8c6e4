import { z } from 'zod';
import {
  DEFAULT_ANSWER_BYTES,
  DEFAULT_ANSWER_RETENTION_MS,
  DEFAULT_BUFFER_BYTES,
  DEFAULT_BUFFER_RETENTION_MS,
  DEFAULT_DRAIN_MS,
  DEFAULT_EVIDENCE_TOKENS,
  DEFAULT_HEARTBEAT_INTERVAL_MS,
  DEFAULT_LEASE_MS,
  DEFAULT_MAX_CHUNKS,
  DEFAULT_MAX_LIMIT,
  DEFAULT_MEMORY_BYTES,
  DEFAULT_ORPHAN_TIMEOUT_MS,
  DEFAULT_START_LIMIT,
  DEFAULT_SUBSET_SIZE,
} from './constants.js';
import {
  LOG_SCHEMA,
  buildAddressSchema,
  buildCountSchema,
  buildDurationSchema,
  buildNameSchema,
  buildShareSchema,
  buildUrlSchema,
} from './fields.js';
import { checkMemorySizes } from './memorySizes.js';

const TARGET_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    engineUrl: buildUrlSchema('URL of the model engine beside the daemon.'),
    model: buildNameSchema('Model that the engine serves.'),
    version: buildNameSchema('Version of the model.'),
    fencing: z
      .enum(['checked', 'ignored'])
      .describe('Whether the engine refuses a command with an outdated fencing number.'),
  }),
  z.strictObject({
    kind: z.literal('service'),
    serviceUrl: buildUrlSchema('URL of the plain service beside the daemon.'),
    service: buildNameSchema('Name of the service.'),
    version: buildNameSchema('Version of the service.'),
  }),
]);

const ADMISSION_SCHEMA = z
  .strictObject({
    startLimit: buildCountSchema(
      DEFAULT_START_LIMIT,
      'Admission limit after a start, in concurrent sequences.',
    ),
    maxLimit: buildCountSchema(
      DEFAULT_MAX_LIMIT,
      'Largest admission limit, in concurrent sequences.',
    ),
    evidenceTokens: buildCountSchema(
      DEFAULT_EVIDENCE_TOKENS,
      'Tokens per sequence that must be generated before the limit grows by a quarter; choose fewer for an engine that warms up fast.',
    ),
    memorySafetyShare: buildShareSchema(
      'Share of engine memory that is kept free as a safety margin.',
    ).optional(),
  })
  .refine((admission) => admission.startLimit <= admission.maxLimit, {
    path: ['startLimit'],
    error: 'expected a startLimit of at most maxLimit',
  })
  .prefault({});

const BUFFER_SCHEMA = z
  .strictObject({
    maxChunks: buildCountSchema(
      DEFAULT_MAX_CHUNKS,
      'Largest number of buffered chunks per generation.',
    ),
    maxTotalBytes: buildCountSchema(
      DEFAULT_BUFFER_BYTES,
      'Largest total size of the buffered chunks of all generations, in bytes.',
    ),
    retentionMs: buildDurationSchema(
      DEFAULT_BUFFER_RETENTION_MS,
      'Time for which a finished generation can be resumed.',
    ),
    orphanTimeoutMs: buildDurationSchema(
      DEFAULT_ORPHAN_TIMEOUT_MS,
      'Time after which a generation without a reader is cancelled.',
    ),
  })
  .prefault({});

const ANSWERS_SCHEMA = z
  .strictObject({
    maxBytes: buildCountSchema(
      DEFAULT_ANSWER_BYTES,
      'Largest total size of the stored answers of plain services, in bytes.',
    ),
    retentionMs: buildDurationSchema(
      DEFAULT_ANSWER_RETENTION_MS,
      'Time for which the answer of a non-repeatable call is stored.',
    ),
  })
  .prefault({});

const HEARTBEAT_SCHEMA = z
  .strictObject({
    intervalMs: buildDurationSchema(DEFAULT_HEARTBEAT_INTERVAL_MS, 'Time between two heartbeats.'),
    leaseMs: buildDurationSchema(
      DEFAULT_LEASE_MS,
      'Age of the last acknowledged heartbeat beyond which new work is refused.',
    ),
    subsetSize: buildCountSchema(
      DEFAULT_SUBSET_SIZE,
      'Number of entry daemons that receive the heartbeats.',
    ),
  })
  .refine((heartbeat) => heartbeat.intervalMs < heartbeat.leaseMs, {
    path: ['intervalMs'],
    error: 'expected an intervalMs below leaseMs',
  })
  .prefault({});

/** Schema of the settings of an endpoint daemon. */
export const ENDPOINT_SCHEMA = z
  .strictObject({
    process: buildNameSchema('Name of the process in events and time lines.'),
    instance: buildNameSchema('Instance on which the process runs, as in the instance list.'),
    endpoint: buildNameSchema('Name of the endpoint.'),
    dataCentre: buildNameSchema('Data centre of the instance.'),
    http: buildAddressSchema('the health, metrics and debug pages'),
    rpc: buildAddressSchema('the interface for entry daemons'),
    platform: z.strictObject({ listUrl: buildUrlSchema("URL of the platform's instance list.") }),
    target: TARGET_SCHEMA,
    admission: ADMISSION_SCHEMA,
    buffer: BUFFER_SCHEMA,
    answers: ANSWERS_SCHEMA,
    heartbeat: HEARTBEAT_SCHEMA,
    memoryBytes: buildCountSchema(
      DEFAULT_MEMORY_BYTES,
      'Memory that the process may use, in bytes; what others send is refused beyond it.',
    ),
    drainMs: buildDurationSchema(
      DEFAULT_DRAIN_MS,
      'Time that a stopping daemon waits for its running streams.',
    ),
    log: LOG_SCHEMA,
  })
  .superRefine(({ answers, buffer, memoryBytes }, context) => {
    const sizes = [
      { path: ['buffer', 'maxTotalBytes'], bytes: buffer.maxTotalBytes },
      { path: ['answers', 'maxBytes'], bytes: answers.maxBytes },
    ];
    checkMemorySizes(memoryBytes, sizes, context);
  });
