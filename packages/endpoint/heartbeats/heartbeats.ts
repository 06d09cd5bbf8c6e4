import { LEASE_TICK_MS } from './constants.js';
import { applyHeartbeatAnswer } from './configuration.js';
import type { HeartbeatsState } from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { Millis } from '../../core/clock.js';
import type { EventName } from '../../core/events/catalogue.js';
import type { Incarnation } from '../../core/ids.js';
import { toStep } from '../../core/step.js';
import type { Step } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { createConfiguration } from '../../decisions/configuration/fold.js';
import { buildView } from '../../decisions/configuration/view.js';
import { chooseByRendezvous } from '../../decisions/membership/rendezvous.js';
import type { StringHash } from '../../decisions/membership/rendezvous.js';
import { decideLease, initLease } from '../../decisions/membership/lease.js';
import type {
  LeaseEffect,
  LeaseEvent,
  LeaseStatus,
} from '../../decisions/membership/leaseTypes.js';
import type {
  EndpointEffect,
  HeartbeatAnswer,
  HeartbeatContent,
  HeartbeatsEvent,
  ListedEntry,
} from '../types.js';

/** Dependencies of the decisions on heartbeats, lease and configuration. */
export interface HeartbeatsInputs {
  readonly now: () => Millis;
  readonly endpoint: string;
  readonly dataCentre: string;
  readonly incarnation: Incarnation;
  readonly startedAt: Millis;
  readonly intervalMs: Millis;
  /** Number of entry daemons that receive the heartbeats. */
  readonly subsetSize: number;
  readonly hash: StringHash;
  readonly getEntries: () => readonly ListedEntry[];
  /** Returns the content of the next heartbeat except its sequence number and offset. */
  readonly describeEndpoint: () => Omit<HeartbeatContent, 'sequence' | 'configurationOffset'>;
}

type HeartbeatsStep = Step<HeartbeatsState, EndpointEffect>;

const toEventName = (lease: LeaseStatus): EventName => {
  switch (lease) {
    case 'held':
      return 'lease-renewed';
    case 'settling':
      return 'lease-settling';
    case 'lapsed':
      return 'lease-lapsed';
    default:
      return assertNever(lease);
  }
};

const toEndpointEffects = (effect: LeaseEffect): readonly EndpointEffect[] => {
  switch (effect.kind) {
    case 'lease-changed':
      return [
        {
          kind: 'log',
          name: toEventName(effect.lease),
          details: { data: { lease: effect.lease } },
        },
      ];
    case 'start-drain':
      return [
        {
          kind: 'post',
          event: { to: 'rpc', kind: 'drain-started', reason: 'the endpoint is leaving' },
        },
      ];
    case 'data-centre-changed':
      return [
        {
          kind: 'log',
          name: 'configuration-applied',
          details: { data: { dataCentre: effect.dataCentre } },
        },
      ];
    case 'restart-ramp':
      return [{ kind: 'post', event: { to: 'engine', kind: 'restart-ramp' } }];
    default:
      return assertNever(effect);
  }
};

const applyLease = (state: HeartbeatsState, event: LeaseEvent): HeartbeatsStep => {
  const step = decideLease(state.lease, event);
  return toStep({ ...state, lease: step.state }, ...step.effects.flatMap(toEndpointEffects));
};

const listTargets = (inputs: HeartbeatsInputs): readonly ListedEntry[] => {
  const entries = new Map(inputs.getEntries().map((entry) => [entry.id, entry]));
  const targets = chooseByRendezvous(
    inputs.endpoint,
    [...entries.keys()],
    inputs.subsetSize,
    inputs.hash,
  );
  return targets.flatMap((target) => entries.get(target) ?? []);
};

const sendHeartbeats = (state: HeartbeatsState, inputs: HeartbeatsInputs): HeartbeatsStep => {
  const now = inputs.now();
  // Derived from the uptime, so that a restarted child does not reuse earlier sequence numbers.
  const sequence = Math.max(state.sequence + 1, Math.ceil(now - inputs.startedAt));
  const entries = listTargets(inputs);
  const targets = entries.map(({ id }) => id);
  const sent = applyLease(state, { kind: 'heartbeat-sent', sequence, targets, now });
  const content: HeartbeatContent = {
    ...inputs.describeEndpoint(),
    sequence,
    configurationOffset: state.configuration.nextOffset,
  };
  const sends = entries.map(({ id, rpcUrl }): EndpointEffect => ({
    kind: 'send-heartbeat',
    to: id,
    url: rpcUrl,
    content,
  }));
  return toStep({ ...sent.state, sequence }, ...sent.effects, ...sends);
};

const applyConfiguration = (
  state: HeartbeatsState,
  answer: HeartbeatAnswer,
  inputs: HeartbeatsInputs,
): HeartbeatsStep => {
  const update = applyHeartbeatAnswer(state.configuration, answer);
  if (update.configuration === state.configuration) return toStep(state, ...update.effects);
  const view = buildView(update.configuration);
  const next = { ...state, configuration: update.configuration, view };
  const dataCentre = view.dataCentresOut.includes(inputs.dataCentre) ? 'out' : 'in';
  const step = applyLease(next, { kind: 'configuration', dataCentre, offset: view.offset });
  return toStep(step.state, ...update.effects, ...step.effects);
};

const decideHeartbeats = (
  state: HeartbeatsState,
  event: HeartbeatsEvent,
  inputs: HeartbeatsInputs,
): HeartbeatsStep => {
  switch (event.kind) {
    case 'heartbeat-due': {
      const step = sendHeartbeats(state, inputs);
      return toStep(step.state, ...step.effects, {
        kind: 'schedule',
        delayMs: inputs.intervalMs,
        event,
      });
    }
    case 'extra-heartbeat-due':
      return sendHeartbeats(state, inputs);
    case 'tick': {
      const step = applyLease(state, { kind: 'tick', now: inputs.now() });
      const nextTick: EndpointEffect = { kind: 'schedule', delayMs: LEASE_TICK_MS, event };
      return toStep(step.state, ...step.effects, nextTick);
    }
    case 'acknowledged': {
      // Applied before the lease is renewed: work accepted under the lease must use the newest
      // configuration.
      const configured = applyConfiguration(state, event.answer, inputs);
      const { from, sequence } = event;
      const now = inputs.now();
      const acknowledged = { kind: 'heartbeat-acknowledged', sequence, from, now } as const;
      const step = applyLease(configured.state, acknowledged);
      return toStep(step.state, ...configured.effects, ...step.effects);
    }
    case 'heartbeat-failed':
      return applyLease(state, { kind: 'tick', now: inputs.now() });
    default:
      return assertNever(event);
  }
};

/**
 * Creates the decision logic of the `heartbeats` child, which sends heartbeats to entry daemons and
 * keeps this daemon's lease and configuration up to date.
 *
 * @param inputs - clock, identity and views of the other children
 * @returns the child's logic
 */
export const createHeartbeatsLogic = (
  inputs: HeartbeatsInputs,
): ChildLogic<HeartbeatsState, HeartbeatsEvent, EndpointEffect> => ({
  init: () => {
    const configuration = createConfiguration();
    return toStep<HeartbeatsState, EndpointEffect>(
      {
        lease: initLease(inputs.incarnation),
        sequence: 0,
        configuration,
        view: buildView(configuration),
      },
      { kind: 'post', event: { to: 'heartbeats', kind: 'heartbeat-due' } },
      { kind: 'post', event: { to: 'heartbeats', kind: 'tick' } },
    );
  },
  decide: (state, event) => decideHeartbeats(state, event, inputs),
});
