import test from 'ava';
import { createControlLogic } from './control/control.js';
import { createIntentsLogic } from './intents/intents.js';
import { decideDelta } from '../../decisions/configuration/exchange.js';
import { findChain } from '../../decisions/idempotency/table.js';
import { applyHeartbeatAnswer } from '../../endpoint/heartbeats/configuration.js';
import { createConfiguration } from '../../decisions/configuration/fold.js';
import { buildView } from '../../decisions/configuration/view.js';
import type { EntryEffect, LogBatch } from '../events.js';

const MOVE = { name: 'm', model: 'draft', from: 'v1', to: 'v2', startedAt: 0, deadline: 9 };

const buildControl = (kind: string, entity: string, body: unknown) => ({
  kind,
  entity,
  basedOn: null,
  body,
  format: 1,
  author: 'ann',
  nonce: `${kind}-${entity}`,
});

const buildDataCentreOut = (entity: string) =>
  buildControl('data-centre', entity, { state: 'out' });

const buildIntent = (key: string) => ({
  kind: 'intent',
  format: 1,
  customer: 'c',
  key,
  fingerprint: 'f',
  parts: [],
  nonce: `nonce-${key}`,
  previous: null,
  endpoint: 'e',
  incarnation: 'i',
  entry: 'd',
  issuedAt: null,
  at: 5,
});

/** Damaged bodies, each with a pattern that the rejection message must match. */
const DAMAGED: readonly (readonly [unknown, RegExp])[] = [
  ['{"kind":"data-cen', /expected object|Invalid/],
  [null, /expected object|Invalid/],
  [[], /./],
];

const toBatch = (bodies: readonly unknown[]): LogBatch => ({
  firstOffset: 0,
  nextOffset: bodies.length,
  records: bodies.map((body, offset) => ({ offset, at: 0, body })),
});

const listRejected = (effects: readonly EntryEffect[]) =>
  effects.flatMap((effect) =>
    effect.kind === 'log' && effect.name === 'record-rejected'
      ? [
          {
            offset: effect.details.position?.offset,
            message: String(effect.details.data?.['message']),
          },
        ]
      : [],
  );

const CONTROL = createControlLogic({
  now: () => 0,
  createId: () => 'id',
  process: 'entry',
  listPeers: () => [],
  choosePeer: () => undefined,
});

const BAD_CONTROL: readonly (readonly [unknown, RegExp])[] = [
  ...DAMAGED,
  [{ ...buildDataCentreOut('later'), format: 2 }, /field "format": format 2 is unknown/],
  // A later format may change every other field; the rejection must still name the format.
  [{ kind: 'later-kind', format: 2, more: 1 }, /field "format": format 2 is unknown/],
  [{ ...buildControl('move', 'm2', { ...MOVE, name: 'm2' }), format: 3 }, /format 3 is unknown/],
  [buildControl('move', 'm3', { ...MOVE, deadline: 0 }), /field "body.deadline"/],
  [buildControl('move', 'm4', { ...MOVE, deadline: '9' }), /field "body.deadline"/],
  [buildControl('move-ended', 'm', { outcome: 'half', reason: '' }), /field "body.outcome"/],
  [buildControl('targets', 'all', { classes: [] }), /field "body.classes"/],
  [{ ...buildDataCentreOut('west'), basedOn: -1 }, /field "basedOn"/],
  [{ ...buildDataCentreOut('west'), kind: 'other' }, /field "kind"/],
  [{ kind: 'snapshot', format: 1, author: 'a', nonce: 'n', asOf: 0 }, /field "entities"/],
];

const GOOD_CONTROL = [
  buildDataCentreOut('east'),
  buildControl('move', 'm', MOVE),
  buildDataCentreOut('south'),
] as const;

/** Valid records before, between and after the invalid ones. */
const CONTROL_BODIES: readonly unknown[] = [
  GOOD_CONTROL[0],
  ...BAD_CONTROL.map(([body]) => body),
  GOOD_CONTROL[1],
  ...BAD_CONTROL.map(([body]) => body),
  GOOD_CONTROL[2],
];

// Guards against an invalid control record that is applied, that blocks the records after it, or
// that is dropped without a log line.
test('the entry daemon applies every valid control record around invalid ones', (t) => {
  const step = CONTROL.decide(CONTROL.init().state, {
    to: 'control',
    kind: 'read-ended',
    batch: toBatch(CONTROL_BODIES),
  });
  const { configuration, view } = step.state;
  t.is(configuration.nextOffset, CONTROL_BODIES.length);
  t.deepEqual(view.dataCentresOut, ['east', 'south']);
  t.deepEqual(
    view.moves.map(({ name, ended }) => ({ name, ended })),
    [{ name: 'm', ended: null }],
  );
  const rejected = listRejected(step.effects);
  const expected = [1, BAD_CONTROL.length + 2].flatMap((first) =>
    BAD_CONTROL.map(([, message], index) => ({ offset: first + index, message })),
  );
  t.is(rejected.length, expected.length);
  for (const [index, { offset, message }] of expected.entries()) {
    t.is(rejected[index]?.offset, offset);
    t.regex(rejected[index]?.message ?? '', message);
  }
  t.true(step.effects.some(({ kind }) => kind === 'read-log'));
});

// Guards against an endpoint daemon that stops at an invalid record, or whose configuration differs
// from that of its entry daemon.
test('the endpoint daemon applies the same records as its entry daemon', (t) => {
  const read = { to: 'control', kind: 'read-ended', batch: toBatch(CONTROL_BODIES) } as const;
  const entry = CONTROL.decide(CONTROL.init().state, read).state;
  const delta = decideDelta(entry.configuration, 0);
  const update = applyHeartbeatAnswer(createConfiguration(), { ...delta, leaseMs: 1 });
  t.deepEqual(buildView(update.configuration), entry.view);
  const rejected = update.effects.flatMap((effect) =>
    effect.kind === 'log' && effect.name === 'record-rejected'
      ? [effect.details.position?.offset]
      : [],
  );
  t.is(rejected.length, 2 * BAD_CONTROL.length);
  t.is(rejected[0], 1);
});

const BAD_INTENTS: readonly (readonly [unknown, RegExp])[] = [
  ...DAMAGED,
  [{ ...buildIntent('later'), format: 2 }, /field "format": format 2 is unknown/],
  [{ kind: 'later-kind', format: 2 }, /field "format": format 2 is unknown/],
  [{ ...buildIntent('x'), previous: 3 }, /field "previous"/],
  [{ ...buildIntent('x'), kind: 'other' }, /field "kind"/],
  [{ ...buildIntent('x'), key: '' }, /field "key"/],
  [{ ...buildIntent('x'), customer: undefined }, /field "customer"/],
];

// Guards against an invalid intent that starts a chain, and against a valid one that is lost after
// it: a request under the key of a lost intent could run twice.
test('the entry daemon folds every valid intent around invalid ones', (t) => {
  const logic = createIntentsLogic({
    now: () => 0,
    keys: { keyWindowMs: 1_000, maxUntimedKeys: 10, maxTimedKeys: 10 },
  });
  const bad = BAD_INTENTS.map(([body]) => body);
  const bodies = [buildIntent('a'), ...bad, buildIntent('b'), ...bad, buildIntent('d')];
  const event = { to: 'intents', kind: 'read-ended', batch: toBatch(bodies) } as const;
  const step = logic.decide(logic.init().state, event);
  const { table } = step.state;
  t.is(table.nextOffset, bodies.length);
  t.is(table.standing, 'exact');
  for (const key of ['a', 'b', 'd']) {
    t.is(findChain(table, 'c', key)?.link?.nonce, `nonce-${key}`);
  }
  t.is(table.chains.size, 3);
  const rejected = listRejected(step.effects);
  t.is(rejected.length, 2 * bad.length);
  for (const [index, [, message]] of BAD_INTENTS.entries()) {
    t.is(rejected[index]?.offset, index + 1);
    t.regex(rejected[index]?.message ?? '', message);
  }
});
