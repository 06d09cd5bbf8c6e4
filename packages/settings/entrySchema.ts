import { z } from 'zod';
import {
  DEFAULT_DRAIN_MS,
  DEFAULT_KEY_WINDOW_MS,
  DEFAULT_MAX_BODY_BYTES,
  DEFAULT_MAX_TOTAL_BODY_BYTES,
  DEFAULT_MAX_REQUESTS,
  DEFAULT_MAX_TIMED_KEYS,
  DEFAULT_MAX_UNTIMED_KEYS,
  DEFAULT_MEMORY_BYTES,
  DEFAULT_POLICY,
  DEFAULT_QUEUE_CAPACITY,
  MIN_TICKET_KEY_LENGTH,
} from './constants.js';
import {
  LOG_SCHEMA,
  buildAddressSchema,
  buildCountSchema,
  buildDurationSchema,
  buildKeyHashSchema,
  buildNameSchema,
  buildShareSchema,
  buildUrlSchema,
} from './fields.js';
import { addDuplicateIssues } from './duplicates.js';
import { checkMemorySizes } from './memorySizes.js';

const CUSTOMER_SCHEMA = z.strictObject({
  id: buildNameSchema('Name of the customer.'),
  keyHash: buildKeyHashSchema("SHA-256 of the customer's bearer key in hexadecimal."),
  weight: z
    .number()
    .positive()
    .default(1)
    .describe('Relative share of the customer when requests queue.'),
  defaultClass: buildNameSchema(
    'Class of requests without an X-Chestnutspan-Class header.',
  ).optional(),
});

const OPERATOR_SCHEMA = z.strictObject({
  name: buildNameSchema('Name of the operator, stored as the author of published records.'),
  keyHash: buildKeyHashSchema("SHA-256 of the operator's bearer key in hexadecimal."),
});

const ROUTE_SCHEMA = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).describe('HTTP method.'),
  path: z
    .string()
    .regex(/^(?:\/(?:[A-Za-z0-9._~-]+|\{[A-Za-z][A-Za-z0-9]*\}))+$/, {
      error: 'expected a path pattern such as /sweeps or /balances/{account}',
    })
    .describe('Path pattern such as `/sweeps` or `/balances/{account}`.'),
  repeat: z
    .enum(['allowed', 'never'])
    .describe('Whether a request may run more than once; `never` needs an idempotency key.'),
  className: buildNameSchema(
    "Class of the route; overrides the customer's default class.",
  ).optional(),
});

const SERVICE_SCHEMA = z.strictObject({
  name: buildNameSchema('Name of the service in `/services/{name}/...`.'),
  routes: z
    .array(ROUTE_SCHEMA)
    .min(1)
    .describe('Routes of the service; requests to any other route are refused.'),
});

const POLICY_SCHEMA = z
  .discriminatedUnion('kind', [
    z.strictObject({ kind: z.literal('round-robin').describe('Each endpoint in turn.') }),
    z.strictObject({
      kind: z.literal('least-requests').describe('The endpoint with the fewest requests.'),
    }),
    z.strictObject({
      kind: z
        .literal('predicted-headroom')
        .describe('The endpoint whose memory is least likely to overflow; the default policy.'),
      choices: buildCountSchema(
        DEFAULT_POLICY.choices,
        'Number of endpoints compared for one request.',
      ),
      horizonMs: buildDurationSchema(
        DEFAULT_POLICY.horizonMs,
        'Horizon of the prediction of memory overflow.',
      ),
      overflowProbability: buildShareSchema(
        'Largest predicted probability of an overflow at which a request is admitted.',
      ).default(DEFAULT_POLICY.overflowProbability),
      prefixWeight: z
        .number()
        .min(0)
        .default(DEFAULT_POLICY.prefixWeight)
        .describe('Weight of a cached prompt prefix in the score.'),
    }),
  ])
  .prefault({ kind: DEFAULT_POLICY.kind });

const LIMITS_SCHEMA = z
  .strictObject({
    maxBodyBytes: buildCountSchema(DEFAULT_MAX_BODY_BYTES, 'Largest request body, in bytes.'),
    maxTotalBodyBytes: buildCountSchema(
      DEFAULT_MAX_TOTAL_BODY_BYTES,
      'Largest total size of the bodies of requests in progress, in bytes; further ones are refused.',
    ),
    maxRequests: buildCountSchema(
      DEFAULT_MAX_REQUESTS,
      'Largest number of requests in progress; further ones are shed.',
    ),
    queueCapacity: buildCountSchema(
      DEFAULT_QUEUE_CAPACITY,
      'Largest number of queued requests per class.',
    ),
    keyWindowMs: buildDurationSchema(
      DEFAULT_KEY_WINDOW_MS,
      'Time for which the key of a non-repeatable call is remembered.',
    ),
    maxUntimedKeys: buildCountSchema(
      DEFAULT_MAX_UNTIMED_KEYS,
      'Largest number of remembered keys without an issue time; further ones are refused.',
    ),
    maxTimedKeys: buildCountSchema(
      DEFAULT_MAX_TIMED_KEYS,
      'Largest number of remembered keys with an issue time; further ones are refused.',
    ),
  })
  .prefault({});

/** Schema of the settings of an entry daemon. */
export const ENTRY_SCHEMA = z
  .strictObject({
    process: buildNameSchema('Name of the process in events and time lines.'),
    instance: buildNameSchema('Instance on which the process runs, as in the instance list.'),
    dataCentre: buildNameSchema('Data centre of the instance.'),
    callers: buildAddressSchema("the callers' and operators' interface"),
    rpc: buildAddressSchema('the interface for endpoint daemons and peers'),
    platform: z.strictObject({
      logUrl: buildUrlSchema("URL of the platform's log."),
      listUrl: buildUrlSchema("URL of the platform's instance list."),
      weightsUrl: buildUrlSchema("URL of the platform's weight store.").optional(),
    }),
    ticketKey: z
      .string()
      .min(MIN_TICKET_KEY_LENGTH, {
        error: `expected a secret of at least ${MIN_TICKET_KEY_LENGTH.toString()} characters`,
      })
      .describe('Secret that signs resume tickets, the same at all entry daemons.'),
    customers: z.array(CUSTOMER_SCHEMA).describe('Customers that may send requests.'),
    operators: z.array(OPERATOR_SCHEMA).default([]).describe('Operators that may publish records.'),
    services: z.array(SERVICE_SCHEMA).default([]).describe('Plain services.'),
    models: z.array(buildNameSchema('Name of a served model.')).default([]),
    policy: POLICY_SCHEMA,
    limits: LIMITS_SCHEMA,
    memoryBytes: buildCountSchema(
      DEFAULT_MEMORY_BYTES,
      'Memory that the process may use, in bytes; what others send is refused beyond it.',
    ),
    drainMs: buildDurationSchema(
      DEFAULT_DRAIN_MS,
      'Time that a stopping daemon waits for its running requests.',
    ),
    webhookUrl: buildUrlSchema('URL that receives notifications for operators.').optional(),
    log: LOG_SCHEMA,
  })
  .superRefine((settings, context) => {
    addDuplicateIssues(settings.customers, 'customers', 'id', context);
    addDuplicateIssues(settings.customers, 'customers', 'keyHash', context);
    addDuplicateIssues(settings.operators, 'operators', 'name', context);
    addDuplicateIssues(settings.operators, 'operators', 'keyHash', context);
    addDuplicateIssues(settings.services, 'services', 'name', context);
    const { limits, memoryBytes } = settings;
    const sizes = [{ path: ['limits', 'maxTotalBodyBytes'], bytes: limits.maxTotalBodyBytes }];
    checkMemorySizes(memoryBytes, sizes, context);
  });
