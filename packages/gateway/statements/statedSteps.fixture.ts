import fc from 'fast-check';
import type { Millis } from '../../core/clock.js';

/** Endpoints of the fleet. */
export const ENDPOINTS = ['l-1', 'l-2', 'l-3'];

/** What an endpoint says in all of its answers from now on. */
export type Words =
  | { readonly kind: 'nothing' }
  | { readonly kind: 'leaving' }
  /** It refuses, and asks for rest. */
  | { readonly kind: 'rest'; readonly restMs: Millis }
  | { readonly kind: 'leaving and rest'; readonly restMs: Millis };

/** One thing that happens to the fleet of a gateway. */
export type FleetStep =
  | { readonly kind: 'say'; readonly endpoint: number; readonly words: Words }
  | { readonly kind: 'say-all'; readonly words: Words }
  /** Callers send requests of one route, one each millisecond. */
  | { readonly kind: 'call'; readonly path: '/sweep/1' | '/lookup/1'; readonly count: number }
  | { readonly kind: 'wait'; readonly durationMs: Millis }
  /** The store writes the entry of the endpoint again, which reads ready. */
  | { readonly kind: 'register'; readonly endpoint: number }
  /** The endpoint starts again under its id, and says nothing of itself. */
  | { readonly kind: 'restart'; readonly endpoint: number }
  /** The store returns an older copy of its records. */
  | { readonly kind: 'restore' }
  /** The children that keep registrations and statements fail. */
  | { readonly kind: 'fail-children' };

const endpointIndex = fc.integer({ min: 0, max: ENDPOINTS.length - 1 });
const restMs = fc.oneof(
  fc.integer({ min: 1, max: 400 }),
  fc.integer({ min: 400, max: 8_000 }),
  fc.constantFrom(60_000, 90_000, 200_000, Infinity),
);
const words: fc.Arbitrary<Words> = fc.oneof(
  fc.constant<Words>({ kind: 'nothing' }),
  fc.constant<Words>({ kind: 'leaving' }),
  restMs.map((ms): Words => ({ kind: 'rest', restMs: ms })),
  restMs.map((ms): Words => ({ kind: 'leaving and rest', restMs: ms })),
);

/** Random series of what happens to a fleet. */
export const fleetSteps = fc.array(
  fc.oneof(
    {
      weight: 3,
      arbitrary: fc.record({ kind: fc.constant('say'), endpoint: endpointIndex, words }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('say-all'), words }) },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('call'),
        path: fc.constantFrom('/sweep/1', '/lookup/1'),
        count: fc.integer({ min: 1, max: 40 }),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constant('wait'),
        durationMs: fc.oneof(fc.integer({ min: 1, max: 1_000 }), fc.constantFrom(5_000, 61_000)),
      }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('register'), endpoint: endpointIndex }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart'), endpoint: endpointIndex }) },
    { weight: 1, arbitrary: fc.constant({ kind: 'restore' }) },
    { weight: 1, arbitrary: fc.constant({ kind: 'fail-children' }) },
  ) as fc.Arbitrary<FleetStep>,
  { minLength: 20, maxLength: 60 },
);

/** A request that was sent to an endpoint, or an answer of one, in the order in which they came. */
export type FleetEvent =
  | {
      readonly kind: 'sent';
      readonly at: Millis;
      readonly incarnation: string;
      /** Registered incarnations. */
      readonly incarnations: readonly string[];
    }
  | {
      readonly kind: 'said';
      readonly at: Millis;
      readonly incarnation: string;
      readonly words: Words;
    }
  /** An incarnation got a request for the one before it; the endpoint is avoided for a moment. */
  | { readonly kind: 'misdirected'; readonly at: Millis; readonly incarnation: string }
  | {
      readonly kind: 'refused';
      readonly at: Millis;
      readonly message: string;
      readonly retryAfterMs: Millis;
      /** Registered incarnations. */
      readonly incarnations: readonly string[];
    };
