import test from 'ava';
import { DEFAULT_SERVICE_CLASS } from './classes.js';
import type { RequestsInputs } from './inputs.js';
import { failRequest } from './outcomes.js';
import { getDispatchPurpose } from './permits.js';
import { decideNextAttempt } from './retrying.js';
import type { CallState, KeyedState } from './types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import { createSendOwner } from '../../decisions/retries/sendOwner.js';

const INPUTS = {
  now: () => 0,
  random: { next: () => 0 },
  // Created long enough ago that the budget of the customer has refilled to the floor.
  sends: createSendOwner(-60_000),
  placements: { releasePlacement: () => undefined },
  suspicions: { apply: () => [] },
} as unknown as RequestsInputs;

const CALL = {
  kind: 'call',
  request: { requestId: 'r', customer: 'c' },
  policy: DEFAULT_SERVICE_CLASS,
  deadlineAt: 60_000,
  excluded: new Set(),
  attempts: 1,
  refusals: 0,
  placement: null,
  waiting: 'no',
  purpose: { kind: 'first' },
  lastFailureReason: '',
  verdict: 'not-run',
} as unknown as CallState;

// Guards against reporting `not-run` for a call that the queue refuses after the answer of an
// earlier attempt was lost: that attempt may have run (P6).
test('a refusal after an attempt that may have run is reported as may-have-run', (t) => {
  const lost = createFailure('may-have-run', 'endpoint-failed', 'the answer was lost');
  const next = decideNextAttempt(CALL, lost, INPUTS);
  t.is(next.kind, 'retry');
  const changes = next.kind === 'retry' ? next.changes : {};
  const shed = createFailure('not-run', 'shed', 'the queue is full');
  const reported = failRequest({ ...CALL, ...changes }, shed, INPUTS).effects[0];
  t.like(reported, { kind: 'fail-request', failure: { code: 'shed', verdict: 'may-have-run' } });
  const first = failRequest(CALL, shed, INPUTS).effects[0];
  t.like(first, { kind: 'fail-request', failure: { code: 'shed', verdict: 'not-run' } });
});

const buildKeyed = (attempts: number, lastFailure: Failure | null): KeyedState =>
  ({ attempts, intent: { lastFailure } }) as unknown as KeyedState;

// Guards against further nonces of a keyed request that are charged nowhere: the message of the one
// before may have reached an engine even when the nonce never starts.
test('a further nonce is charged unless an endpoint daemon refused the one before', (t) => {
  const lost = createFailure('may-have-run', 'endpoint-failed', 'the answer was lost');
  const refused = createFailure('not-run', 'overloaded', 'no free slot');
  t.deepEqual(getDispatchPurpose(buildKeyed(0, null)), { kind: 'first' });
  t.deepEqual(getDispatchPurpose(buildKeyed(1, lost)), { kind: 'after-failure', failure: lost });
  t.deepEqual(getDispatchPurpose(buildKeyed(1, refused)), {
    kind: 'after-refusal',
    failure: refused,
  });
});
