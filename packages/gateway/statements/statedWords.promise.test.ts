import test from 'ava';
import fc from 'fast-check';
import { runStatedFleet } from './statedFleet.fixture.js';
import { fleetSteps } from './statedSteps.fixture.js';
import type { FleetEvent } from './statedSteps.fixture.js';
import { MAX_REST_MS } from '../../decisions/forwarding/constants.js';
import { REST_RETURN_MS } from '../../decisions/forwarding/rest.js';

type Said = Extract<FleetEvent, { kind: 'said' }>;

const getRestMs = ({ words }: Said): number =>
  words.kind === 'rest' || words.kind === 'leaving and rest' ? words.restMs : 0;

const isLeaving = ({ words }: Said): boolean =>
  words.kind === 'leaving' || words.kind === 'leaving and rest';

const listSaid = (events: readonly FleetEvent[]): readonly Said[] =>
  events.filter((event) => event.kind === 'said');

const listSent = (events: readonly FleetEvent[], incarnation: string): readonly number[] =>
  events.flatMap((event) =>
    event.kind === 'sent' && event.incarnation === incarnation ? [event.at] : [],
  );

/** Sends after the gateway has read the first answer of the incarnation that says that it leaves. */
const countLate = (events: readonly FleetEvent[]): number => {
  const seen = new Set<string>();
  let late = 0;
  for (const event of events) {
    if (event.kind === 'said' && isLeaving(event)) seen.add(event.incarnation);
    if (event.kind === 'sent' && seen.has(event.incarnation)) late += 1;
  }
  return late;
};

/** The rule allows two beyond half a second; the gateway sends none that is not a trial. */
const countInRest = (events: readonly FleetEvent[]): number => {
  const counts = listSaid(events).map((said) => {
    const until = said.at + Math.min(getRestMs(said), MAX_REST_MS);
    return listSent(events, said.incarnation).filter((at) => at > said.at && at < until).length;
  });
  return Math.max(0, ...counts);
};

/** Largest number of `values` within `MAX_REST_MS`. */
const countWithinRest = (values: readonly number[]): number =>
  Math.max(
    0,
    ...values.map((from) => values.filter((at) => at >= from && at < from + MAX_REST_MS).length),
  );

/** The largest number of requests in a longest rest that an endpoint asked for beyond what is believed. */
const countTrials = (events: readonly FleetEvent[]): number => {
  const counts = listSaid(events).flatMap((said) => {
    if (getRestMs(said) <= MAX_REST_MS) return [];
    const answers = listSaid(events).filter(
      (other) => other.incarnation === said.incarnation && other.at > said.at,
    );
    const endsAt = answers.find((other) => getRestMs(other) === 0)?.at ?? Infinity;
    const sent = listSent(events, said.incarnation).filter(
      (at) => at > said.at && at < Math.min(endsAt, said.at + getRestMs(said)),
    );
    return countWithinRest(sent);
  });
  return Math.max(0, ...counts);
};

/** Time in which an attempt connects, between its placement and its sending, at most. */
const CONNECT_MS = 60;

const hasWishAt = (events: readonly FleetEvent[], incarnation: string, now: number): boolean =>
  listSaid(events).some(
    (said) =>
      said.incarnation === incarnation &&
      said.at <= now &&
      (isLeaving(said) || now < said.at + getRestMs(said)),
  );

/**
 * The largest number of requests in a longest rest to an endpoint that wants none, while at least half of the
 * registered ones have no wish. One may be a trial that was placed when they were fewer for a moment.
 */
const countAgainstWish = (events: readonly FleetEvent[]): number => {
  const sent = events.filter((event) => {
    if (event.kind !== 'sent') return false;
    const { at, incarnation, incarnations } = event;
    return [at - CONNECT_MS, at].every((instant) => {
      const wishing = incarnations.filter((other) => hasWishAt(events, other, instant));
      return wishing.includes(incarnation) && wishing.length * 2 <= incarnations.length;
    });
  });
  const names = new Set(listSaid(events).map(({ incarnation }) => incarnation));
  return Math.max(0, ...[...names].map((name) => countWithinRest(listSent(sent, name))));
};

/** Time after a refusal for which a full endpoint is avoided, and a margin for an attempt on its way. */
const BACKOFF_MS = 150;

const isMisdirected = (events: readonly FleetEvent[], incarnation: string, now: number): boolean =>
  events.some(
    (event) =>
      event.kind === 'misdirected' &&
      event.incarnation === incarnation &&
      event.at <= now &&
      event.at > now - BACKOFF_MS,
  );

/** Refusals while a registered endpoint has said nothing that speaks against a request. */
const countNeedless = (events: readonly FleetEvent[]): number => {
  const said = listSaid(events);
  return events.filter((event) => {
    if (event.kind !== 'refused') return false;
    return event.incarnations.some(
      (incarnation) =>
        !isMisdirected(events, incarnation, event.at) &&
        said.every(
          (word) =>
            word.incarnation !== incarnation ||
            word.at > event.at ||
            (!isLeaving(word) &&
              (getRestMs(word) === 0 ||
                word.at + getRestMs(word) + REST_RETURN_MS + BACKOFF_MS < event.at)),
        ),
    );
  }).length;
};

// Guards against requests that reach an endpoint after its word that it leaves, or in the rest that it has
// asked for, in any order of words, store entries, restarts, restores and time (DRAIN, BUDGET, issue 42).
test('no series of statements brings a request to an endpoint that wants none', (t) => {
  const property = fc.property(fleetSteps, fc.integer(), (steps, seed) => {
    const events = runStatedFleet(steps, seed);
    return (
      countLate(events) === 0 &&
      countInRest(events) === 0 &&
      countTrials(events) <= 1 &&
      countAgainstWish(events) <= 1
    );
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 42, numRuns: 300 });
  });
});

// Guards against a request that is refused while a sound endpoint would take it: a liar stops its service.
test('no request is refused while a willing endpoint has room', (t) => {
  const property = fc.property(
    fleetSteps,
    fc.integer(),
    (steps, seed) => countNeedless(runStatedFleet(steps, seed)) === 0,
  );
  t.notThrows(() => {
    fc.assert(property, { seed: 43, numRuns: 300 });
  });
});

// Guards against properties that hold because the fleet is never used, or nothing is ever said.
test('the series reach all that the rules are about', (t) => {
  const all = fc
    .sample(fleetSteps, { seed: 42, numRuns: 300 })
    .map((steps, index) => runStatedFleet(steps, index));
  const count = (has: (events: readonly FleetEvent[]) => boolean) => all.filter(has).length;
  const reached = {
    sent: count((events) => events.some(({ kind }) => kind === 'sent')),
    leaving: count((events) => listSaid(events).some(isLeaving)),
    rest: count((events) => listSaid(events).some((said) => getRestMs(said) > 0)),
    tried: count((events) => countTrials(events) > 0),
    refused: count((events) => events.some(({ kind }) => kind === 'refused')),
  };
  t.log(JSON.stringify(reached));
  for (const [name, runs] of Object.entries(reached)) t.true(runs >= 10, name);
});
