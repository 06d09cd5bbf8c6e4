import { measureDuration } from '../sampling/duration.js';
import type { Experiment } from '../types.js';
import { createId } from '../../core/ids.js';
import { DEFAULT_ADMISSION_SETTINGS } from '../../decisions/admission/constants.js';
import { decideAdmit } from '../../decisions/admission/decideAdmit.js';
import { createAdmissionState, decideLimit } from '../../decisions/admission/decideLimit.js';
import type {
  AdmissionContext,
  AdmissionRequest,
  AdmissionState,
  RunningSequence,
} from '../../decisions/admission/types.js';
import { DEFAULT_NONCE_SETTINGS } from '../../decisions/idempotency/constants.js';
import { createNonceTable } from '../../decisions/idempotency/nonces.js';
import { DEFAULT_BUFFER_LIMITS } from '../../decisions/streams/buffer.js';
import { createSurvivalTable } from '../../decisions/survival/survivalTable.js';
import { createStreamsLogic } from '../../endpoint/streams/streams.js';
import type { GenerateCall } from '../../endpoint/types.js';

const NOW = 1_800_000_000_000;

const buildAdmissionRequest = (index: number): AdmissionRequest => ({
  requestId: `generation-${index.toString()}`,
  targets: { className: 'memo', importance: 'standard', answerLength: 'long' },
  customer: `customer-${(index % 100).toString()}`,
  version: 'v1',
  promptTokens: 600,
});

const buildRunningSequence = (index: number): RunningSequence => ({
  ...buildAdmissionRequest(index),
  generated: (index * 37) % 900,
  engine: 'confirmed',
  admittedAt: NOW - 10_000,
});

const buildAdmissionState = (sequences: number): AdmissionState => ({
  ...createAdmissionState(NOW),
  phase: { kind: 'serving', identity: 'engine-1', limit: sequences * 2 },
  running: new Map(
    Array.from({ length: sequences }, (_, index) => buildRunningSequence(index)).map((sequence) => [
      sequence.requestId,
      sequence,
    ]),
  ),
  memory: { usedTokens: 1_000, totalTokens: 8_000_000, tokensPerSecond: 833, preemptions: 0 },
});

const createContext = (): AdmissionContext => {
  const survival = createSurvivalTable();
  for (let index = 0; index < 3_000; index += 1) {
    const customer = `customer-${(index % 100).toString()}`;
    survival.observeFinished({ className: 'memo', customer, version: 'v1' }, (index * 97) % 3_000);
  }
  return { settings: { ...DEFAULT_ADMISSION_SETTINGS, maxLimit: 4_096 }, survival };
};

const measureAdmission = (sequences: number) => {
  const context = createContext();
  const state = buildAdmissionState(sequences);
  const generated = new Map([...state.running.keys()].map((id, index) => [id, (index * 53) % 900]));
  const { memory } = state;
  const poll = { kind: 'load-read', identity: 'engine-1', memory, generated } as const;
  return {
    'endpoint.poll-time': measureDuration(() => {
      decideLimit(state, { ...poll, requestedAt: NOW, now: NOW }, context);
    }),
    'endpoint.admit-time': measureDuration(() => {
      decideAdmit(state, buildAdmissionRequest(sequences), context);
    }),
  };
};

const buildCall = (index: number): GenerateCall => ({
  callId: createId(),
  format: 1,
  mode: 'start',
  generationId: createId(),
  requestId: createId(),
  customer: `customer-${index.toString()}`,
  className: 'memo',
  route: 'chat',
  incarnation: 'incarnation-1',
  resumeFrom: 0,
  importance: 'standard',
  deadlineAt: NOW + 60_000,
  promptTokens: 600,
  entry: 'entry-001',
  stream: createId(),
  link: 0,
  nonce: null,
  body: new Uint8Array(2_400),
});

const measureSweep = (sequences: number) => {
  const logic = createStreamsLogic({
    now: () => NOW,
    limits: DEFAULT_BUFFER_LIMITS,
    choosePriority: () => 0,
    nonces: createNonceTable('incarnation-1', DEFAULT_NONCE_SETTINGS),
    hashBody: () => '',
  });
  let { state } = logic.init();
  for (let index = 0; index < sequences; index += 1) {
    state = logic.decide(state, { to: 'streams', kind: 'open', call: buildCall(index) }).state;
  }
  const sweep = () => {
    state = logic.decide(state, { to: 'streams', kind: 'sweep' }).state;
  };
  return { 'endpoint.sweep-time': measureDuration(sweep) };
};

/** Periodic work of an endpoint daemon, and the processor time of one admission. */
export const ENDPOINT_EXPERIMENTS: readonly Experiment[] = [
  { name: 'admission limit', sizes: [8, 64, 256, 1_024], measure: measureAdmission },
  { name: 'stream sweep', sizes: [8, 64, 256, 1_024], measure: measureSweep },
];
