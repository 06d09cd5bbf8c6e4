import { z } from 'zod';
import { ENGINE_FAULT_SCHEMA } from '../../standins/engine/faults.js';
import { ENGINE_OPTIONS_SCHEMA } from '../../standins/engine/schemas.js';
import { LEDGER_FAULT_SCHEMA } from '../../standins/ledger/schemas.js';
import { PLATFORM_FAULTS_SCHEMA } from '../../standins/platform/schemas.js';

const NAME = z.string().min(1);
const MILLIS = z.number().min(0);
const COUNT = z.number().int().min(1);
const RATE = z.number().min(0);

/** Distribution of a length in tokens. */
const LENGTH_DISTRIBUTION_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('constant'), tokens: COUNT }),
  z.strictObject({ kind: z.literal('uniform'), min: COUNT, max: COUNT }),
  z.strictObject({
    kind: z.literal('log-normal'),
    median: COUNT,
    /** Standard deviation of the logarithm; with 1, the longest of 100 is ten times the median. */
    sigma: z.number().min(0),
    min: COUNT.default(1),
    max: COUNT,
  }),
  z.strictObject({
    kind: z.literal('pareto'),
    min: COUNT,
    /** Tail index; smaller values give a heavier tail. */
    shape: z.number().positive(),
    max: COUNT,
  }),
]);

const DATA_CENTRE_SCHEMA = z.strictObject({ name: NAME });

const ENGINE_SCHEMA = z.strictObject({
  id: NAME,
  dataCentre: NAME,
  model: NAME,
  version: NAME,
  options: ENGINE_OPTIONS_SCHEMA.prefault({}),
});

const SERVICE_SCHEMA = z.strictObject({
  id: NAME,
  dataCentre: NAME,
  service: NAME,
  callMs: MILLIS.default(2),
});

const DEPLOYMENT_SCHEMA = z.strictObject({
  dataCentres: z.array(DATA_CENTRE_SCHEMA).min(1),
  /** Number of entry daemons, assigned round-robin to the data centres. */
  entries: COUNT,
  engines: z.array(ENGINE_SCHEMA).min(1),
  services: z.array(SERVICE_SCHEMA).default([]),
  /** Admission settings of the endpoint daemons. */
  admission: z.strictObject({ evidenceTokens: COUNT }).optional(),
});

/** Targets that operators publish for a class. */
const TARGETS_SCHEMA = z.strictObject({
  importance: z.enum(['critical', 'standard', 'background']),
  answerLength: z.enum(['short', 'long']),
  firstTokenMs: MILLIS,
  tokenGapMs: MILLIS,
  /** Gap between tokens above which a stream counts as stalled. */
  stallMs: MILLIS,
  deadlineMs: MILLIS,
  delivery: z.enum(['stream', 'whole']).default('stream'),
  overflowProbability: z.number().min(0).max(1).optional(),
});

const COMMON_CLASS_FIELDS = {
  name: NAME,
  arrivalsPerSecond: RATE,
  targets: TARGETS_SCHEMA,
} as const;

const CLASS_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('generation'),
    ...COMMON_CLASS_FIELDS,
    model: NAME,
    route: NAME.optional(),
    prompt: LENGTH_DISTRIBUTION_SCHEMA,
    output: LENGTH_DISTRIBUTION_SCHEMA,
    /** Number of distinct prompt prefixes that the requests of the class share. */
    prefixes: COUNT.default(8),
  }),
  /** Idempotent call `GET /services/{service}/balances/{account}`. */
  z.strictObject({
    kind: z.literal('lookup'),
    ...COMMON_CLASS_FIELDS,
    service: NAME,
    accounts: COUNT.default(1_000),
  }),
  /** Non-repeatable call `POST /services/{service}/{route}`, which must run at most once. */
  z.strictObject({
    kind: z.literal('execution'),
    ...COMMON_CLASS_FIELDS,
    service: NAME,
    route: z.enum(['sweeps', 'pickups', 'credits']),
  }),
]);

const CUSTOMER_SCHEMA = z.strictObject({
  id: NAME,
  /** Weight in the fair queue under contention, as published by operators. */
  weight: z.number().positive().default(1),
  /** Share of the arrivals, relative to the other customers. */
  share: z.number().positive(),
});

const PHASE_SCHEMA = z.strictObject({
  name: NAME,
  untilMs: MILLIS,
  /** Factors on the arrival rates by class; 1 for classes that are not listed. */
  rates: z.record(NAME, RATE).default({}),
});

/** Fault of a process of the system, injected by the cluster. */
const PROCESS_FAULT_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('kill') }),
  z.strictObject({ kind: z.literal('stop') }),
  z.strictObject({ kind: z.literal('start') }),
  z.strictObject({ kind: z.literal('pause'), forMs: MILLIS }),
]);

/** Action of an operator. */
const OPERATOR_ACTION_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('take-out'), dataCentre: NAME }),
  z.strictObject({ kind: z.literal('restore'), dataCentre: NAME }),
  z.strictObject({
    kind: z.literal('start-move'),
    name: NAME,
    model: NAME,
    from: NAME,
    to: NAME,
    finishInMs: MILLIS,
  }),
]);

const ACTION_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('engine'), id: NAME, fault: ENGINE_FAULT_SCHEMA }),
  z.strictObject({ kind: z.literal('service'), id: NAME, fault: LEDGER_FAULT_SCHEMA }),
  z.strictObject({ kind: z.literal('platform'), faults: PLATFORM_FAULTS_SCHEMA }),
  z.strictObject({ kind: z.literal('process'), id: NAME, fault: PROCESS_FAULT_SCHEMA }),
  z.strictObject({ kind: z.literal('operator'), action: OPERATOR_ACTION_SCHEMA }),
]);

const SCHEDULED_SCHEMA = z.strictObject({ atMs: MILLIS, action: ACTION_SCHEMA });

const POLICY_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('round-robin') }),
  z.strictObject({ kind: z.literal('least-requests') }),
  z.strictObject({
    kind: z.literal('predicted-headroom'),
    choices: COUNT,
    horizonMs: MILLIS,
    overflowProbability: z.number().min(0).max(1),
    prefixWeight: z.number().min(0),
  }),
]);

/** Schema of a scenario file. */
export const SCENARIO_SCHEMA = z
  .strictObject({
    name: NAME,
    seed: z.number().int(),
    durationMs: MILLIS,
    /** Requests that arrive before this time are checked but not measured. */
    settleMs: MILLIS.default(0),
    /** Maximum time that the run waits for responses after the end of the arrivals. */
    drainMs: MILLIS.default(30_000),
    policies: z.array(POLICY_SCHEMA).min(1),
    deployment: DEPLOYMENT_SCHEMA,
    customers: z.array(CUSTOMER_SCHEMA).min(1),
    classes: z.array(CLASS_SCHEMA).min(1),
    phases: z.array(PHASE_SCHEMA).default([]),
    schedule: z.array(SCHEDULED_SCHEMA).default([]),
  })
  .superRefine((scenario, context) => {
    const dataCentres = new Set(scenario.deployment.dataCentres.map(({ name }) => name));
    const checkDataCentres = (list: 'engines' | 'services'): void => {
      scenario.deployment[list].forEach(({ dataCentre }, index) => {
        if (dataCentres.has(dataCentre)) return;
        const path = ['deployment', list, index, 'dataCentre'];
        context.addIssue({
          code: 'custom',
          path,
          message: 'expected a data centre of the deployment',
        });
      });
    };
    checkDataCentres('engines');
    checkDataCentres('services');
  });
