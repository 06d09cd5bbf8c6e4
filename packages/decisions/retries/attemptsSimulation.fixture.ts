import fc from 'fast-check';
import { resolveRefusal } from './refusal.js';
import { decideRetry, initRetryBudget, takeRetry } from './retry.js';
import type { RetryBudget } from './types.js';
import { createRandomSource } from '../../core/random.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, Verdict } from '../../core/verdict.js';
import { checkNewWork, decideLease, initLease } from '../membership/lease.js';
import type { LeaseState } from '../membership/leaseTypes.js';
import { mergeVerdicts, toResumeRefusal } from '../streams/verdicts.js';

/** Step of a simulation: a fault or progress. */
export interface AttemptAction {
  readonly kind:
    | 'send'
    | 'deliver'
    | 'answer'
    | 'lose'
    | 'time-out'
    | 'refuse-connection'
    | 'toggle-engine'
    | 'leave'
    | 'restart'
    | 'renew'
    | 'advance'
    | 'shed';
  /** Random number from which the step derives its choices. */
  readonly pick: number;
}

/** Decisions under test; a variant replaces one of them. */
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
  engine: 'healthy' | 'broken';
}

interface Request {
  readonly kind: 'call' | 'resume';
  state: 'waiting' | 'sent' | 'ended';
  attempts: number;
  verdict: Verdict;
  /** Number of executions at any endpoint, over all attempts. */
  executions: number;
  /** Verdict of the failure that the caller received, or null without a failure. */
  reportedVerdict: Verdict | null;
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
  /** Null for a successful answer. */
  readonly failure: Failure | null;
}

const ENDPOINTS = 3;
const REQUESTS = 3;
const DEADLINE_MS = 20_000;
const HEARTBEAT_TARGETS = ['entry'];

/**
 * Runs idempotent calls and a refused resume against endpoint daemons. Links lose, delay and refuse
 * messages; leases expire; endpoints leave and restart, and engines fail.
 *
 * @param actions - steps to run, after which every message in transit arrives
 * @param mechanisms - decisions under test
 * @returns the violations: requests that were reported as not run and ran
 */
export const runAttempts = (
  actions: readonly AttemptAction[],
  mechanisms: RefusalMechanisms,
): readonly string[] => {
  let now = 0;
  let lastSequence = 0;
  let budget: RetryBudget = { ...initRetryBudget(0), retries: 50 };
  const random = createRandomSource(7);
  const messages: Message[] = [];
  const replies: Reply[] = [];

  const renewLease = (lease: LeaseState): LeaseState => {
    lastSequence += 1;
    const sent = {
      kind: 'heartbeat-sent',
      sequence: lastSequence,
      targets: HEARTBEAT_TARGETS,
      now,
    } as const;
    const acknowledged = {
      kind: 'heartbeat-acknowledged',
      sequence: lastSequence,
      from: 'entry',
      now,
    } as const;
    return decideLease(decideLease(lease, sent).state, acknowledged).state;
  };
  const startEndpoint = (incarnation: number): Endpoint => ({
    lease: renewLease(initLease(incarnation.toString())),
    engine: 'healthy',
  });
  const endpoints = Array.from({ length: ENDPOINTS }, (_, index) => startEndpoint(index));
  const requests = Array.from({ length: REQUESTS }, (_, index): Request => ({
    // Another entry daemon started the generation that the resume names, so it has run once.
    kind: index === 0 ? 'resume' : 'call',
    state: 'waiting',
    attempts: 0,
    verdict: 'not-run',
    executions: index === 0 ? 1 : 0,
    reportedVerdict: null,
  }));

  const endRequest = (request: Request, failure: Failure | null): void => {
    request.state = 'ended';
    if (failure === null) return;
    request.reportedVerdict =
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
      delivered: 'nothing',
      deadline: DEADLINE_MS,
      minAttemptMs: 1,
    } as const;
    const decision = decideRetry(budget, attempt, failure, now, random);
    if (decision.kind === 'give-up') {
      endRequest(request, failure);
      return;
    }
    ({ budget } = takeRetry(budget, now));
    request.verdict = mergeVerdicts(request.verdict, failure.verdict);
    request.state = 'waiting';
  };

  const runMessage = ({ request: index, attempt, endpoint: at, incarnation }: Message): void => {
    const endpoint = endpoints[at] as Endpoint;
    const refusal = mechanisms.check(endpoint.lease, incarnation, now);
    if (refusal === null) (requests[index] as Request).executions += 1;
    const broken = createFailure(
      'may-have-run',
      'endpoint-failed',
      'the engine ended the answer early',
    );
    const failure = refusal ?? (endpoint.engine === 'broken' ? broken : null);
    replies.push({ request: index, attempt, failure });
  };

  const receiveReply = ({ request: index, attempt, failure }: Reply): void => {
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

  const takeItem = <Item>(items: Item[], pick: number): Item | undefined =>
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
        const message = takeItem(messages, pick);
        if (message !== undefined) runMessage(message);
        return;
      }
      case 'answer': {
        const reply = takeItem(replies, pick);
        if (reply !== undefined) receiveReply(reply);
        return;
      }
      case 'lose':
        if (pick % 2 === 0) takeItem(messages, pick);
        else takeItem(replies, pick);
        return;
      // The message may still be in transit, so the attempt may run later.
      case 'time-out':
        if (request.state !== 'sent') return;
        endAttempt(request, createFailure('may-have-run', 'endpoint-failed', 'no answer'));
        return;
      case 'refuse-connection': {
        const message = takeItem(messages, pick);
        if (message === undefined) return;
        const failure = createFailure('not-run', 'endpoint-lost', 'connection refused');
        receiveReply({ ...message, failure });
        return;
      }
      case 'toggle-engine':
        endpoint.engine = endpoint.engine === 'healthy' ? 'broken' : 'healthy';
        return;
      case 'leave':
        endpoint.lease = decideLease(endpoint.lease, { kind: 'leave' }).state;
        return;
      case 'restart':
        lastSequence += 1;
        endpoints[at] = startEndpoint(lastSequence + ENDPOINTS);
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
  for (const reply of replies.splice(0)) receiveReply(reply);
  return requests.flatMap(({ kind, reportedVerdict, executions }) =>
    reportedVerdict === 'not-run' && executions > 0
      ? [`a ${kind} was reported as not-run and ran`]
      : [],
  );
};

const anyAttemptAction: fc.Arbitrary<AttemptAction> = fc.record({
  kind: fc.constantFrom(
    ...(['send', 'send', 'send', 'deliver', 'deliver', 'answer', 'answer', 'time-out'] as const),
    ...(['lose', 'refuse-connection', 'toggle-engine', 'leave', 'restart'] as const),
    ...(['renew', 'renew', 'advance', 'shed'] as const),
  ),
  pick: fc.nat({ max: 10_000 }),
});

/**
 * Builds the property of P6 for calls and resumes: no request that ran is reported as not run.
 *
 * @param mechanisms - decisions under test
 * @returns a fast-check property that throws with the violations
 */
export const buildRefusalProperty = (mechanisms: RefusalMechanisms) =>
  fc.property(fc.array(anyAttemptAction, { maxLength: 80, size: 'max' }), (actions) => {
    const violations = runAttempts(actions, mechanisms);
    if (violations.length > 0) throw new Error(violations.join('; '));
  });
