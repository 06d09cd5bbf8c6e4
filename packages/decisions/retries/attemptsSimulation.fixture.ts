import fc from 'fast-check';
import { resolveRefusal } from './attempts.js';
import { decideRetry, initRetryBudget } from './retry.js';
import type { RetryBudget } from './types.js';
import { createRandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, Verdict } from '../../core/verdict.js';
import { checkNewWork, decideLease, initLease } from '../membership/lease.js';
import type { LeaseState } from '../membership/leaseTypes.js';
import { mergeVerdicts, toResumeRefusal } from '../streams/verdicts.js';

/** Faults and progress; `pick` selects an object modulo their number. */
export interface AttemptAction {
  readonly kind:
    | 'send'
    | 'deliver'
    | 'answer'
    | 'lose'
    | 'time-out'
    | 'refuse-connection'
    | 'break-engine'
    | 'leave'
    | 'restart'
    | 'renew'
    | 'advance'
    | 'shed';
  readonly pick: number;
}

/** The decisions under test, or variants without one of them. */
export interface RefusalMechanisms {
  readonly resolve: (earlier: Verdict, failure: Failure) => Failure;
  readonly refuseResume: (failure: Failure) => Failure;
  readonly check: typeof checkNewWork;
}

export const ALL_REFUSAL_MECHANISMS: RefusalMechanisms = {
  resolve: resolveRefusal,
  refuseResume: toResumeRefusal,
  check: checkNewWork,
};

interface Endpoint {
  lease: LeaseState;
  engine: 'sound' | 'broken';
}

interface Request {
  readonly kind: 'call' | 'resume';
  state: 'waiting' | 'sent' | 'ended';
  attempts: number;
  verdict: Verdict;
  /** Starts at an endpoint, of whichever attempt. */
  runs: number;
  told: Verdict | null;
}

interface Message {
  readonly request: number;
  readonly attempt: number;
  readonly endpoint: number;
  readonly incarnation: string;
}

interface Reply {
  readonly request: number;
  readonly attempt: number;
  /** Null for an answer. */
  readonly failure: Failure | null;
}

const ENDPOINTS = 3;
const REQUESTS = 3;
const DEADLINE_MS = 20_000;
const TARGETS = ['entry'];

/**
 * Runs idempotent calls and a refused resume against endpoint daemons whose links lose, delay and
 * refuse messages, whose leases lapse and that leave, restart and break.
 *
 * @param actions - what happens; then every message still on its way arrives
 * @param mechanisms - decisions under test
 * @returns the violations that the oracle found
 */
export const runAttempts = (
  actions: readonly AttemptAction[],
  mechanisms: RefusalMechanisms,
): readonly string[] => {
  let now = 0;
  let serial = 0;
  let budget: RetryBudget = { ...initRetryBudget(0), retries: 50 };
  const random = createRandomSource(7);
  const messages: Message[] = [];
  const replies: Reply[] = [];

  const renewLease = (lease: LeaseState): LeaseState => {
    serial += 1;
    const sent = { kind: 'heartbeat-sent', sequence: serial, targets: TARGETS, now } as const;
    const acknowledged = {
      kind: 'heartbeat-acknowledged',
      sequence: serial,
      from: 'entry',
      now,
    } as const;
    return decideLease(decideLease(lease, sent).state, acknowledged).state;
  };
  const startEndpoint = (incarnation: number): Endpoint => ({
    lease: renewLease(initLease(incarnation.toString())),
    engine: 'sound',
  });
  const endpoints = Array.from({ length: ENDPOINTS }, (_, index) => startEndpoint(index));
  const requests = Array.from({ length: REQUESTS }, (_, index): Request => ({
    // The generation of a resume was started by another entry daemon.
    kind: index === 0 ? 'resume' : 'call',
    state: 'waiting',
    attempts: 0,
    verdict: 'not-run',
    runs: index === 0 ? 1 : 0,
    told: null,
  }));

  const endRequest = (request: Request, failure: Failure | null): void => {
    request.state = 'ended';
    if (failure === null) return;
    request.told =
      request.kind === 'resume'
        ? mechanisms.refuseResume(failure).verdict
        : mechanisms.resolve(request.verdict, failure).verdict;
  };

  const endAttempt = (request: Request, failure: Failure | null): void => {
    if (failure === null) {
      endRequest(request, null);
      return;
    }
    const attempt = {
      attempts: request.attempts,
      repeat: 'idempotent',
      shown: 'nothing',
      deadline: DEADLINE_MS,
      minimumMs: 1,
    } as const;
    const outcome = decideRetry(budget, attempt, failure, now, random);
    budget = outcome.budget;
    if (outcome.decision.kind === 'give-up') {
      endRequest(request, failure);
      return;
    }
    request.verdict = mergeVerdicts(request.verdict, failure.verdict);
    request.state = 'waiting';
  };

  const runMessage = ({ request: index, attempt, endpoint: at, incarnation }: Message): void => {
    const endpoint = endpoints[at] as Endpoint;
    const refusal = mechanisms.check(endpoint.lease, incarnation, now);
    if (refusal === null) (requests[index] as Request).runs += 1;
    const broken = createFailure('may-have-run', 'endpoint-failed', 'the engine broke off');
    const failure = refusal ?? (endpoint.engine === 'broken' ? broken : null);
    replies.push({ request: index, attempt, failure });
  };

  const takeReply = ({ request: index, attempt, failure }: Reply): void => {
    const request = requests[index] as Request;
    if (request.state === 'sent' && request.attempts === attempt) endAttempt(request, failure);
  };

  const sendRequest = (index: number, pick: number): void => {
    const request = requests[index] as Request;
    if (request.state !== 'waiting' || request.kind === 'resume') return;
    request.attempts += 1;
    request.state = 'sent';
    const endpoint = pick % ENDPOINTS;
    const { incarnation } = (endpoints[endpoint] as Endpoint).lease;
    messages.push({ request: index, attempt: request.attempts, endpoint, incarnation });
  };

  const takeFrom = <Item>(items: Item[], pick: number): Item | undefined =>
    items.splice(pick % Math.max(1, items.length), 1)[0];

  const runAction = ({ kind, pick }: AttemptAction): void => {
    const index = pick % REQUESTS;
    const request = requests[index] as Request;
    const at = pick % ENDPOINTS;
    const endpoint = endpoints[at] as Endpoint;
    switch (kind) {
      case 'send':
        sendRequest(index, Math.floor(pick / REQUESTS));
        return;
      case 'deliver': {
        const message = takeFrom(messages, pick);
        if (message !== undefined) runMessage(message);
        return;
      }
      case 'answer': {
        const reply = takeFrom(replies, pick);
        if (reply !== undefined) takeReply(reply);
        return;
      }
      case 'lose':
        if (pick % 2 === 0) takeFrom(messages, pick);
        else takeFrom(replies, pick);
        return;
      // The message may still be on its way, so the attempt may run later.
      case 'time-out':
        if (request.state !== 'sent') return;
        endAttempt(request, createFailure('may-have-run', 'endpoint-failed', 'no answer'));
        return;
      case 'refuse-connection': {
        const message = takeFrom(messages, pick);
        if (message === undefined) return;
        const failure = createFailure('not-run', 'endpoint-lost', 'connection refused');
        takeReply({ ...message, failure });
        return;
      }
      case 'break-engine':
        endpoint.engine = endpoint.engine === 'sound' ? 'broken' : 'sound';
        return;
      case 'leave':
        endpoint.lease = decideLease(endpoint.lease, { kind: 'leave' }).state;
        return;
      case 'restart':
        serial += 1;
        endpoints[at] = startEndpoint(serial + ENDPOINTS);
        return;
      case 'renew':
        endpoint.lease = renewLease(endpoint.lease);
        return;
      case 'advance':
        now += pick % 900;
        for (const each of endpoints) {
          each.lease = decideLease(each.lease, { kind: 'tick', now }).state;
        }
        return;
      case 'shed':
        if (request.state !== 'waiting') return;
        endRequest(request, createFailure('not-run', 'shed', 'the queue is full'));
        return;
    }
  };

  for (const action of actions) runAction(action);
  for (const message of messages.splice(0)) runMessage(message);
  for (const reply of replies.splice(0)) takeReply(reply);
  return requests.flatMap(({ kind, told, runs }) =>
    told === 'not-run' && runs > 0 ? [`a ${kind} was told not-run and ran`] : [],
  );
};

const anyAttemptAction: fc.Arbitrary<AttemptAction> = fc.record({
  kind: fc.constantFrom(
    ...(['send', 'send', 'send', 'deliver', 'deliver', 'answer', 'answer', 'time-out'] as const),
    ...(['lose', 'refuse-connection', 'break-engine', 'leave', 'restart'] as const),
    ...(['renew', 'renew', 'advance', 'shed'] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

/**
 * Builds the property of P6 for calls and resumes: what is told as not run did not run.
 *
 * @param mechanisms - decisions under test
 * @returns a fast-check property that throws with the violations
 */
export const buildRefusalProperty = (mechanisms: RefusalMechanisms) =>
  fc.property(fc.array(anyAttemptAction, { maxLength: 80, size: 'max' }), (actions) => {
    const violations = runAttempts(actions, mechanisms);
    if (violations.length > 0) throw new Error(violations.join('; '));
  });
