import type { Candidate } from './placeAttempt.js';
import { NEW_ENDPOINT_HEALTH } from './endpointHealth.js';
import type {
  EndpointRecord,
  ForwardingConfiguration,
  GenerationDemand,
  Route,
  Service,
} from './types.js';

/** A service that runs on model engines. */
export const ENGINE_SERVICE: Service = {
  name: 'writer',
  healthPath: '/health',
  maxConnections: 100,
  coldPerSecond: 0,
  engine: {
    slots: 8,
    memoryTokens: 10_000,
    tokensPerEvent: 4,
    backups: 'supported',
    moves: 'supported',
  },
};

/** A service without engines. */
export const PLAIN_SERVICE: Service = {
  ...ENGINE_SERVICE,
  name: 'ledger',
  engine: null,
};

/** Resources of a generation that fits into `ENGINE_SERVICE`. */
export const DEMAND: GenerationDemand = {
  model: 'm',
  promptTokens: 1_000,
  maxOutputTokens: 800,
  expectedOutputTokens: 400,
};

/** Route of a generation that must not be restarted. */
export const MEMO_ROUTE: Route = {
  name: 'memo',
  host: 'host.example',
  pathPrefix: '/memo/',
  answer: 'stream',
  repeat: 'once',
  resume: 'single-run',
  timeoutMs: 39_000,
  targetMs: 1_800,
  gapTargetMs: 180,
  maxEndpoints: 1,
  rank: 1,
  access: 'keyed',
  targets: [{ service: 'writer', weight: 1 }],
};

/** Route of a short generation that can be resumed. */
export const SUMMARY_ROUTE: Route = {
  ...MEMO_ROUTE,
  name: 'summary',
  pathPrefix: '/summary/',
  rank: 0,
  repeat: 'idempotent',
  resume: 'resumable',
  maxEndpoints: 2,
};

/** Route of a call that must not be retried. */
export const SWEEP_ROUTE: Route = {
  ...MEMO_ROUTE,
  name: 'sweep',
  pathPrefix: '/sweep/',
  answer: 'whole',
  timeoutMs: 600,
  targetMs: 120,
  gapTargetMs: null,
  targets: [{ service: 'ledger', weight: 1 }],
};

/** Route of an idempotent look-up. */
export const LOOKUP_ROUTE: Route = {
  ...SWEEP_ROUTE,
  name: 'lookup',
  pathPrefix: '/lookup/',
  repeat: 'idempotent',
  maxEndpoints: 2,
};

/** Configuration with all routes and services of this file, and one customer. */
export const CONFIGURATION: ForwardingConfiguration = {
  version: 7,
  routes: [MEMO_ROUTE, SUMMARY_ROUTE, SWEEP_ROUTE, LOOKUP_ROUTE],
  services: [ENGINE_SERVICE, PLAIN_SERVICE],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  customers: [{ name: 'acme', keys: ['key-1'], rank: null }],
};

/**
 * Builds the registration of a ready endpoint.
 *
 * @param id - endpoint id, whose last digit determines the port
 * @param change - fields to override
 * @returns the registration
 */
export const buildEndpoint = (
  id: string,
  change: Partial<EndpointRecord> = {},
): EndpointRecord => ({
  id,
  service: 'writer',
  address: { host: '127.0.0.1', port: 9_000 + Number(id.at(-1)) },
  dataCentre: 'dc-a',
  version: 'v1',
  slots: 8,
  phase: 'ready',
  coldForMs: 0,
  startedAt: 1,
  sequence: null,
  ...change,
});

/**
 * Builds a candidate without load.
 *
 * @param record - registration of the endpoint
 * @param change - fields to override
 * @returns the candidate
 */
export const buildCandidate = (
  record: EndpointRecord,
  change: Partial<Candidate> = {},
): Candidate => ({
  record,
  health: NEW_ENDPOINT_HEALTH,
  load: { requests: 0, tokens: 0, waitingTokens: 0, growthTokens: 0 },
  statedLoad: null,
  coldHeadroom: null,
  limit: null,
  limitHeadroom: null,
  rest: null,
  restGate: null,
  ...change,
});
