import type { CatalogueEntry } from './types.js';

/** Events of a gateway daemon about the feeds of the platform's store, its duties, its queue, versions and runs. */
export const GATEWAY_EVENTS = {
  'feed-reloaded': {
    number: 3010,
    level: 'info',
    text: 'The position in a feed is no longer valid, so the newest records are loaded again.',
  },
  'feed-answer-ignored': {
    number: 3021,
    level: 'info',
    text: 'An answer to an earlier read of a feed, or from an older copy of the store, was ignored.',
  },
  'order-held': {
    number: 3022,
    level: 'warn',
    text: 'An order that a restored store lacks still counts until it is written again or withdrawn.',
  },
  'registration-outdated': {
    number: 3023,
    level: 'info',
    text: 'A registration that was written before what is known of the endpoint was ignored.',
  },
  'feed-behind': {
    number: 3026,
    level: 'info',
    text: 'One answer did not hold all records that a feed has, so the newest ones are loaded.',
  },
  'lease-changed': {
    number: 7010,
    level: 'info',
    text: 'This daemon took the lease of the usage reports, lost it or gave it up.',
  },
  'lease-unavailable': {
    number: 7011,
    level: 'warn',
    text: 'A read of the lease failed, or an append of the holder was not answered.',
  },
  'usage-fixed': {
    number: 7012,
    level: 'info',
    text: 'The counts of a window were fixed in the log; they are reported as they are from then on.',
  },
  'usage-reported': {
    number: 7013,
    level: 'info',
    text: 'The report of a window was accepted, refused, or sent without an answer.',
  },
  'request-waiting': {
    number: 2034,
    level: 'info',
    text: 'A request waits for room in an engine of its service; the data has its rank and how many wait.',
  },
  'version-roles': {
    number: 4017,
    level: 'info',
    text: 'The versions of a service that serve, or that were ordered and get no requests, have changed.',
  },
  'version-forgotten': {
    number: 4018,
    level: 'warn',
    text: 'A service was ordered to more versions than are remembered. The oldest one would serve if it started now.',
  },
  'run-stop': {
    number: 5010,
    level: 'info',
    text: 'An engine was ordered to stop the run of an attempt that was given up, or the order came to something.',
  },
} as const satisfies Readonly<Record<string, CatalogueEntry>>;
