import fc from 'fast-check';
import type { BufferEffect, BufferEvent, BufferState } from './bufferTypes.js';
import { decideBuffer, initBuffer } from './buffer.js';
import { decideDelivery, initDelivery, resumeDelivery } from './delivery.js';
import type {
  DeliveryEffect,
  DeliveryEvent,
  DeliveryMode,
  DeliveryState,
  GenerationSource,
} from './types.js';
import type { SimulationAction } from './streamActions.fixture.js';
import { assertNever } from '../../core/assertNever.js';
import { createFailure } from '../../core/verdict.js';
import type { Verdict } from '../../core/verdict.js';

export type DecideDelivery = typeof decideDelivery;

interface Generation {
  readonly source: GenerationSource;
  readonly total: number;
  produced: number;
  buffer: BufferState;
}

interface Caller {
  readonly delivery: DeliveryMode;
  stream: string;
  state: DeliveryState;
  attempts: number;
  readonly received: string[];
  end: 'open' | 'finished' | 'failed';
  usage: string;
  violation: string | null;
  /** Verdict of the failure that the caller received. */
  reportedVerdict: Verdict | null;
  /** Generations that were requested for the caller's request. */
  requestedGenerations: string[];
}

interface EndpointMessage {
  readonly to: 'endpoint';
  readonly source: GenerationSource;
  readonly mode: 'start' | 'running';
  readonly event: BufferEvent;
}

type Message =
  | EndpointMessage
  | { readonly to: 'caller'; readonly stream: string; readonly event: DeliveryEvent };

const ENDPOINTS = 2;
const MAX_ATTEMPTS = 6;
const SMALL_LIMITS = {
  maxChunks: 24,
  maxBytes: 100_000,
  windowChunks: 6,
  orphans: 'cancelled',
} as const;

const computeChunkCount = (number: number): number => 1 + ((number * 7) % 19);

/**
 * Runs callers, entry daemons, endpoint daemons and faulty links against each other.
 *
 * @param deliveries - one caller for each delivery mode given
 * @param actions - faults and progress; afterwards the system runs without faults until all streams
 *   have ended
 * @param decide - decision under test, or a variant without one of its checks
 * @returns the violations that were found
 */
export const runFaultyStreams = (
  deliveries: readonly DeliveryMode[],
  actions: readonly SimulationAction[],
  decide: DecideDelivery = decideDelivery,
): readonly string[] => {
  let now = 0;
  let lastNumber = 0;
  const incarnations = Array.from({ length: ENDPOINTS }, () => 0);
  const generations = new Map<string, Generation>();
  const totals = new Map<string, number>();
  const refusedStarts = new Set<string>();
  const messages: Message[] = [];
  const post = (message: Message): unknown => messages.push(message);
  const timers: { readonly at: number; readonly stream: string; readonly event: DeliveryEvent }[] =
    [];

  const isAlive = (source: GenerationSource): boolean =>
    incarnations[Number(source.endpoint)]?.toString() === source.incarnation;

  const sendToCaller = (generationId: string, effect: BufferEffect): void => {
    if (!('stream' in effect)) return;
    const { stream } = effect;
    switch (effect.kind) {
      case 'send-chunks':
        post({ to: 'caller', stream, event: { ...effect, kind: 'chunks', generationId, now } });
        return;
      case 'send-finished':
        post({ to: 'caller', stream, event: { ...effect, kind: 'finished', generationId, now } });
        return;
      case 'send-failed':
        post({ to: 'caller', stream, event: { ...effect, kind: 'failed', generationId } });
        return;
      default:
        assertNever(effect);
    }
  };

  const stepBuffer = (generation: Generation, event: BufferEvent): void => {
    const step = decideBuffer(generation.buffer, event);
    generation.buffer = step.state;
    for (const effect of step.effects) sendToCaller(generation.source.generationId, effect);
  };

  const deliverToEndpoint = ({ source, mode, event }: EndpointMessage): void => {
    const { generationId } = source;
    const isKnown = generations.has(generationId);
    if (!isAlive(source) || (mode === 'start' && isKnown)) return;
    if (mode === 'start' && !refusedStarts.has(generationId)) {
      const total = totals.get(generationId) ?? 0;
      const buffer = initBuffer(now, SMALL_LIMITS);
      generations.set(generationId, { source, total, produced: 0, buffer });
    }
    const generation = generations.get(generationId);
    if (generation !== undefined) {
      stepBuffer(generation, event);
      return;
    }
    if (event.kind !== 'reader-opened') return;
    // A start that arrives after the refusal of a resume must not run.
    refusedStarts.add(generationId);
    const failure = createFailure('not-run', 'stale-incarnation', 'unknown generation');
    sendToCaller(generationId, { ...event, kind: 'send-failed', failure });
  };

  const sendToBuffer = (source: GenerationSource, event: BufferEvent): unknown =>
    post({ to: 'endpoint', source, mode: 'running', event });

  const startAttempt = (caller: Caller): void => {
    lastNumber += 1;
    caller.attempts += 1;
    const endpoint = lastNumber % ENDPOINTS;
    const source = {
      generationId: `g${lastNumber.toString()}`,
      endpoint: endpoint.toString(),
      incarnation: (incarnations[endpoint] ?? 0).toString(),
    };
    totals.set(source.generationId, computeChunkCount(lastNumber));
    caller.requestedGenerations.push(source.generationId);
    stepCaller(caller, { kind: 'attempt-started', source });
    const { stream } = caller;
    const event = { kind: 'reader-opened', stream, link: 0, fromNumber: 0, now } as const;
    post({ to: 'endpoint', source, mode: 'start', event });
  };

  const moveCaller = (caller: Caller): void => {
    const { source } = caller.state;
    lastNumber += 1;
    caller.stream = `s${lastNumber.toString()}`;
    if (caller.received.length === 0 || source === null || caller.delivery === 'whole') {
      caller.state = initDelivery(caller.delivery);
      // Another entry daemon counts its own attempts and does not know the earlier generations.
      caller.attempts = 0;
      caller.requestedGenerations = [];
      startAttempt(caller);
      return;
    }
    const step = resumeDelivery(source, caller.received.length);
    caller.state = step.state;
    applyEffects(caller, step.effects);
  };

  const applyEffect = (caller: Caller, effect: DeliveryEffect): void => {
    switch (effect.kind) {
      case 'write-chunks':
        if (effect.fromNumber !== caller.received.length) caller.violation = 'wrong chunk number';
        caller.received.push(...effect.chunks);
        return;
      case 'finish':
        caller.end = 'finished';
        caller.usage = effect.usage;
        return;
      case 'fail':
        caller.end = 'failed';
        caller.reportedVerdict = effect.failure.verdict;
        return;
      case 'resume':
        sendToBuffer(effect.source, {
          ...effect,
          kind: 'reader-opened',
          stream: caller.stream,
          now,
        });
        return;
      case 'schedule-resume': {
        const { generationId, link } = effect;
        const at = now + effect.delayMs;
        const event = { kind: 'resume-timer', generationId, link, now: at } as const;
        timers.push({ at, stream: caller.stream, event });
        return;
      }
      case 'restart-allowed':
        if (caller.attempts < MAX_ATTEMPTS) startAttempt(caller);
        else stepCaller(caller, { kind: 'attempts-ended', failure: effect.failure });
        return;
      case 'hand-over':
        moveCaller(caller);
        return;
      case 'detach':
        sendToBuffer(effect.source, {
          kind: 'reader-closed',
          ...caller,
          link: caller.state.link,
          now,
        });
        return;
      case 'cancel-generation':
        sendToBuffer(effect.source, { kind: 'cancelled', now });
        return;
    }
  };

  const applyEffects = (caller: Caller, effects: readonly DeliveryEffect[]): void => {
    for (const effect of effects) applyEffect(caller, effect);
  };

  const stepCaller = (caller: Caller, event: DeliveryEvent): void => {
    if (caller.end !== 'open') return;
    const step = decide(caller.state, event);
    caller.state = step.state;
    applyEffects(caller, step.effects);
    if (event.kind !== 'chunks' || step.state.source === null) return;
    const nextNumber = step.state.next;
    const { stream } = caller;
    const { link } = event;
    sendToBuffer(step.state.source, { kind: 'reader-acknowledged', stream, link, nextNumber, now });
  };

  const deliverMessage = (message: Message): void => {
    if (message.to === 'endpoint') {
      deliverToEndpoint(message);
      return;
    }
    const caller = callers.find((candidate) => candidate.stream === message.stream);
    if (caller !== undefined) stepCaller(caller, message.event);
  };

  const produce = (generation: Generation): void => {
    if (!isAlive(generation.source) || generation.buffer.flow === 'paused') return;
    if (generation.produced === generation.total) {
      const usage = `usage:${generation.source.generationId}`;
      stepBuffer(generation, { kind: 'engine-finished', usage, now });
      return;
    }
    const chunk = `${generation.source.generationId}:${generation.produced.toString()}`;
    generation.produced += 1;
    stepBuffer(generation, { kind: 'engine-chunks', chunks: [chunk], now });
  };

  const advance = (duration: number): void => {
    now += duration;
    const due = timers.filter((timer) => timer.at <= now);
    timers.splice(0, timers.length, ...timers.filter((timer) => timer.at > now));
    for (const { stream, event } of due) deliverMessage({ to: 'caller', stream, event });
    for (const generation of generations.values()) stepBuffer(generation, { kind: 'tick', now });
  };

  const failLink = (caller: Caller, kind: 'link-lost' | 'link-stalled'): void => {
    const { source, link } = caller.state;
    if (source === null) return;
    stepCaller(caller, { kind, generationId: source.generationId, link, now });
  };

  const killEndpoint = (endpoint: number): void => {
    incarnations[endpoint] = (incarnations[endpoint] ?? 0) + 1;
  };

  const pickFrom = <Item>(items: readonly Item[], pick: number): Item | undefined =>
    items[pick % Math.max(1, items.length)];

  const runAction = ({ kind, pick }: SimulationAction): void => {
    const index = pick % Math.max(1, messages.length);
    const message = messages[index];
    const caller = pickFrom(callers, pick);
    switch (kind) {
      case 'produce': {
        const generation = pickFrom([...generations.values()], pick);
        if (generation !== undefined) produce(generation);
        return;
      }
      case 'deliver':
        messages.splice(index, 1);
        if (message !== undefined) deliverMessage(message);
        return;
      case 'drop':
        messages.splice(index, 1);
        return;
      case 'duplicate':
        if (message !== undefined) messages.push(message);
        return;
      case 'misdeliver':
        if (message?.to === 'caller' && caller !== undefined) stepCaller(caller, message.event);
        return;
      case 'advance':
        advance(pick % 3_000);
        return;
      case 'cut':
        if (caller !== undefined) failLink(caller, 'link-lost');
        return;
      case 'drain-entry':
        if (caller !== undefined) stepCaller(caller, { kind: 'drain-ended' });
        return;
      case 'kill-entry':
        if (caller?.end === 'open') moveCaller(caller);
        return;
      case 'kill-endpoint':
        killEndpoint(pick % ENDPOINTS);
        return;
    }
  };

  const callers = deliveries.map((delivery, index): Caller => ({
    delivery,
    stream: `c${index.toString()}`,
    state: initDelivery(delivery),
    attempts: 0,
    received: [],
    end: 'open',
    usage: '',
    violation: null,
    reportedVerdict: null,
    requestedGenerations: [],
  }));

  const runWithoutFaults = (): void => {
    for (let round = 0; round < 200; round += 1) {
      if (callers.every((caller) => caller.end !== 'open')) return;
      for (const generation of generations.values()) produce(generation);
      for (const message of messages.splice(0)) deliverMessage(message);
      advance(200);
      if (round % 8 === 7) for (const caller of callers) failLink(caller, 'link-stalled');
    }
  };

  const checkCaller = (caller: Caller): string | null => {
    const generationId = caller.received[0]?.split(':')[0] ?? caller.usage.split(':')[1] ?? '';
    const isPrefix = caller.received.every(
      (chunk, at) => chunk === `${generationId}:${at.toString()}`,
    );
    if (!isPrefix) return `not a prefix of one generation: ${caller.received.join(' ')}`;
    if (caller.violation !== null) return caller.violation;
    if (caller.end === 'open') return 'the stream never ended';
    const hasRun = caller.requestedGenerations.some((id) => generations.has(id));
    if (caller.reportedVerdict === 'not-run' && hasRun) return 'reported as not-run but ran';
    if (caller.end === 'failed') return null;
    const isWhole =
      caller.received.length === totals.get(generationId) &&
      caller.usage === `usage:${generationId}`;
    return isWhole
      ? null
      : `ended after ${caller.received.length.toString()} chunks of ${generationId}`;
  };

  for (const caller of callers) startAttempt(caller);
  for (const action of actions) runAction(action);
  runWithoutFaults();
  // A start request that is still in flight may arrive after its caller received the end.
  for (const message of messages.splice(0)) deliverMessage(message);
  return callers.map(checkCaller).filter((violation) => violation !== null);
};

/**
 * Builds the property that no caller sees a violation.
 *
 * @param deliveries - one caller for each delivery mode given
 * @param anyActions - generator of faults and progress
 * @param decide - decision under test, or a variant without one of its checks
 * @returns a fast-check property that throws with the violations
 */
export const buildStreamProperty = (
  deliveries: readonly DeliveryMode[],
  anyActions: fc.Arbitrary<readonly SimulationAction[]>,
  decide: DecideDelivery,
) =>
  fc.property(anyActions, (actions) => {
    const violations = runFaultyStreams(deliveries, actions, decide);
    if (violations.length > 0) throw new Error(violations.join('; '));
  });
