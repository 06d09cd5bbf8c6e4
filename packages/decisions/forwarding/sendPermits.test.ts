import test from 'ava';
import { MAX_NOT_RUN_ATTEMPTS } from './constants.js';
import { createBudgetWindow } from './budgetWindow.js';
import { admitFurtherSend, commitSend, releaseSend } from './sendPermits.js';
import type { FurtherSend, SendDenial, SendHistory, ServiceBudget } from './sendPermits.js';

const SLACK = 10;

/** Retries that may be used at once of this slack: 0.8 of nine. */
const FREE_RETRIES = 7;

/** Budget of a daemon that is alone and has counted for long. */
const buildBudget = (slack = SLACK): ServiceBudget => ({
  window: createBudgetWindow(-60_000),
  settings: { ratio: 0.2, slack, windowMs: 10_000 },
  fleet: { daemons: 1, contact: 'known' },
  heldBack: 0,
});

/** A request of which one attempt ran. */
const HISTORY: SendHistory = {
  maxEndpoints: 2,
  sends: 1,
  possibleRuns: 1,
  openAttempts: 0,
  notRunAttempts: 0,
};

const RETRY: FurtherSend = { kind: 'retry' };
const FROM_COPY: FurtherSend = { kind: 'continuation', from: 'copy' };
const FROM_LAST_EVENT: FurtherSend = { kind: 'continuation', from: 'last-event' };

const admit = (
  send: FurtherSend,
  change: Partial<SendHistory> = {},
  budget = buildBudget(),
  now = 0,
) => admitFurtherSend(send, { ...HISTORY, ...change }, budget, now);

const findDenial = (send: FurtherSend, change: Partial<SendHistory>): SendDenial | null => {
  const decision = admit(send, change);
  return decision.kind === 'denied' ? decision.reason : null;
};

// Guards against runs at more endpoints than the route permits, in whatever way the request is sent again.
test('a request runs at no more endpoints than its route permits', (t) => {
  const used = { possibleRuns: 1, openAttempts: 1 };
  t.is(findDenial(RETRY, { possibleRuns: 2 }), 'endpoints-used');
  t.is(findDenial({ kind: 'hedge' }, used), 'endpoints-used');
  t.is(findDenial(FROM_LAST_EVENT, used), 'endpoints-used');
  t.is(findDenial(RETRY, {}), null);
  // A continuation from a copy is the same run.
  t.is(findDenial(FROM_COPY, used), null);
  t.is(findDenial({ kind: 'transfer' }, used), null);
});

// Guards against a request that goes round all endpoints that refuse it.
test('a request that was refused too often is not sent again', (t) => {
  const refused = { possibleRuns: 0, notRunAttempts: MAX_NOT_RUN_ATTEMPTS };
  t.is(findDenial(RETRY, refused), 'too-many-refusals');
});

const countPermitted = (send: FurtherSend, change: Partial<SendHistory>): number => {
  const budget = buildBudget();
  let permitted = 0;
  while (permitted < 2 * SLACK && admit(send, change, budget).kind === 'permitted') permitted += 1;
  return permitted;
};

// Guards against a kind of send that does not count, or that counts though nothing arrives twice.
test('each further send counts in the budget, but not one of a request that was never sent', (t) => {
  const sends: readonly FurtherSend[] = [RETRY, { kind: 'hedge' }, FROM_COPY, FROM_LAST_EVENT];
  t.deepEqual(
    sends.map((send) => countPermitted(send, {})),
    sends.map(() => FREE_RETRIES),
  );
  t.is(countPermitted(RETRY, { sends: 0, possibleRuns: 0 }), 2 * SLACK);
});

// Guards against transfers that exceed the budget together with retries, as when engines leave while
// others refuse (issue 42), and against ones that are denied after their source was told to stop.
test('a transfer needs the budget when it is decided, and is sent once it is', (t) => {
  const budget = buildBudget();
  const decisions = Array.from({ length: SLACK }, () => admit({ kind: 'transfer' }, {}, budget));
  const permits = decisions.flatMap((decision) =>
    decision.kind === 'permitted' ? [decision.permit] : [],
  );
  t.is(permits.length, FREE_RETRIES);
  t.is(admit(RETRY, {}, budget).kind, 'denied');
  const spent = { ...budget, settings: { ...budget.settings, ratio: 0, slack: 0 } };
  for (const permit of permits) t.is(commitSend(permit, 1, spent, 5_000), 'sent');
});

// Guards against streams that a restarted daemon loses with their engine, though their copies are sound,
// and against one that uses for them what its earlier life has used (issue 42).
test('a daemon that has just started continues as many runs as its time permits', (t) => {
  const budget = { ...buildBudget(4 * SLACK), window: createBudgetWindow(0) };
  t.is(admit(FROM_COPY, {}, budget, 100).kind, 'denied');
  const decisions = Array.from({ length: SLACK }, () => admit(FROM_COPY, {}, budget, 3_500));
  t.is(decisions.filter(({ kind }) => kind === 'permitted').length, 2);
});

// Guards against a hedge that costs nothing because the first attempt was not sent yet when it was decided.
test('a send that needed no retry takes one when another attempt was sent before it', (t) => {
  const spent = buildBudget(0);
  const decision = admit({ kind: 'hedge' }, { sends: 0, possibleRuns: 0, openAttempts: 1 }, spent);
  if (decision.kind === 'denied') {
    t.fail(decision.reason);
    return;
  }
  t.is(commitSend(decision.permit, 1, spent, 0), 'spent');
  t.is(commitSend(decision.permit, 1, buildBudget(), 0), 'sent');
});

// Guards against retries of a paused daemon that arrive together with those of the next window.
test('a retry that is sent later than it was decided counts when it is sent', (t) => {
  const budget = buildBudget();
  const decided = Array.from({ length: FREE_RETRIES }, () => admit(RETRY, {}, budget));
  const afterPause = 20_000;
  const fresh = Array.from({ length: FREE_RETRIES }, () => admit(RETRY, {}, budget, afterPause));
  t.true(fresh.every(({ kind }) => kind === 'permitted'));
  const outcomes = [...decided, ...fresh].map((decision) =>
    decision.kind === 'permitted'
      ? commitSend(decision.permit, HISTORY.sends, budget, afterPause)
      : 'denied',
  );
  t.is(outcomes.filter((outcome) => outcome === 'sent').length, FREE_RETRIES);
});

// Guards against a budget that is used up by requests which never reached an endpoint.
test('a retry that is not sent is returned', (t) => {
  const budget = buildBudget(2);
  const first = admit(RETRY, {}, budget);
  t.is(admit(RETRY, {}, budget).kind, 'denied');
  if (first.kind === 'permitted') releaseSend(first.permit);
  t.is(admit(RETRY, {}, budget).kind, 'permitted');
});

// Guards against a generation that is lost because a plain retry took the last of the budget while its
// transfer was under way: the way back to its source is denied when the target refuses it.
test('plain retries and hedges leave room for generations that may have to return', (t) => {
  const budget = { ...buildBudget(), heldBack: 2 };
  const kinds: readonly FurtherSend[] = [RETRY, { kind: 'hedge' }];
  for (let retries = 0; retries < FREE_RETRIES - 2; retries += 1)
    t.is(admit(RETRY, {}, budget).kind, 'permitted');
  for (const send of kinds) t.is(admit(send, {}, budget).kind, 'denied', send.kind);
  t.is(admit(FROM_COPY, {}, budget).kind, 'permitted');
  t.is(admit({ kind: 'transfer' }, {}, budget).kind, 'permitted');
  t.is(admit(FROM_COPY, {}, budget).kind, 'denied');
});
