import { assertNever } from '../../core/assertNever.js';
import type { Clock } from '../../core/clock.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import {
  addCrash,
  addSurvival,
  createCrashEvidence,
  selectSuspects,
} from '../../decisions/quarantine/crashEvidence.js';
import type { CrashEvidence, CrashReport } from '../../decisions/quarantine/crashEvidence.js';
import type { Fingerprint } from '../../decisions/quarantine/types.js';
import type { GatewayEffect, QuarantineEvent } from '../events.js';

/** Crashes of endpoints by the contents of requests. Only the `quarantine` child updates it. */
export interface QuarantineState {
  readonly evidence: CrashEvidence;
}

const NOTIFY_PEERS: GatewayEffect = {
  kind: 'post',
  event: { to: 'peers', kind: 'report-changed' },
};

const describeQuarantine = (
  { evidence }: QuarantineState,
  fingerprint: Fingerprint,
  source: 'own' | 'peer',
): readonly GatewayEffect[] => [
  { kind: 'post', event: { to: 'requests', kind: 'content-quarantined' } },
  { kind: 'count', name: 'gateway_quarantined_total', labels: { source } },
  {
    kind: 'log',
    name: 'request-quarantined',
    details: {
      data: {
        fingerprint,
        source,
        endpoints: [...(evidence.byFingerprint.get(fingerprint) ?? [])].map(
          ({ endpoint }) => endpoint,
        ),
        survivals: evidence.survivals.has(fingerprint) ? 'some' : 'none',
      },
    },
  },
];

const addReport = (
  state: QuarantineState,
  report: CrashReport,
  source: 'own' | 'peer',
  clock: Clock,
): readonly GatewayEffect[] =>
  addCrash(state.evidence, report, clock.now()).flatMap((fingerprint) =>
    describeQuarantine(state, fingerprint, source),
  );

const recordOwnCrash = (
  state: QuarantineState,
  event: Extract<QuarantineEvent, { kind: 'crash-observed' }>,
  clock: Clock,
): readonly GatewayEffect[] => {
  const { endpoint, progress, requestId } = event;
  const at = clock.now();
  const content = selectSuspects(state.evidence, event.content, at);
  return [
    {
      kind: 'log',
      name: 'request-suspected',
      details: {
        requestId,
        data: { endpoint, progress, whole: content.whole ?? '', parts: content.parts },
      },
    },
    ...addReport(state, { endpoint, progress, at, content }, 'own', clock),
    NOTIFY_PEERS,
  ];
};

/**
 * Creates the decision logic of the `quarantine` child, which finds the contents of requests on
 * which endpoints crash, from the crashes that this daemon and its peers observe.
 *
 * @param clock - source of the instants of crashes
 * @returns the decision logic
 */
export const createQuarantineLogic = (
  clock: Clock,
): ChildLogic<QuarantineState, QuarantineEvent, GatewayEffect> => ({
  init: () => toStep<QuarantineState, GatewayEffect>({ evidence: createCrashEvidence() }),
  decide: (state, event) => {
    switch (event.kind) {
      case 'crash-observed':
        return { state, effects: recordOwnCrash(state, event, clock) };
      case 'answer-observed':
        for (const fingerprint of event.fingerprints) {
          addSurvival(state.evidence, { fingerprint, at: clock.now() });
        }
        return { state, effects: [] };
      case 'crashes-reported': {
        for (const survival of event.survivals) addSurvival(state.evidence, survival);
        const effects = event.crashes.flatMap((report) => addReport(state, report, 'peer', clock));
        return { state, effects };
      }
      default:
        return assertNever(event);
    }
  },
});
