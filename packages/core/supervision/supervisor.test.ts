import test from 'ava';
import { startChild, startSupervisor, SupervisorEscalation } from './supervisor.js';
import type { ChildSpec, RestartRule, RestartStrategy } from './types.js';
import { createVirtualClock } from '../clock.js';
import { toStep } from '../step.js';

interface Message {
  readonly to: string;
  readonly kind: 'count' | 'crash';
}

const buildCounter = (name: string, restart: RestartRule): ChildSpec<Message, string> => ({
  name,
  restart,
  rebuildsFrom: 'nothing',
  start: () =>
    startChild<number, Message, string>(
      {
        init: () => toStep(0, `${name} started`),
        decide: (state, event) => {
          if (event.kind === 'crash') throw new Error('defect');
          return toStep(state + 1, `${name} ${(state + 1).toString()}`);
        },
        stop: () => [`${name} stopped`],
      },
      () => undefined,
    ),
});

const startPair = (strategy: RestartStrategy, rule: RestartRule = 'permanent') => {
  const clock = createVirtualClock();
  const failures: string[] = [];
  const supervisor = startSupervisor<Message, string>(
    {
      name: 'root',
      strategy,
      intensity: { restarts: 2, withinMs: 1000 },
      children: [buildCounter('first', rule), buildCounter('second', rule)],
      route: (event) => event.to,
    },
    clock,
    (failure) => failures.push(failure.child),
  );
  return { supervisor, clock, failures };
};

// Guards against a restart that keeps the corrupt state of the failed child.
test('one-for-one restarts only the failed child, with fresh state', (t) => {
  const { supervisor, failures } = startPair('one-for-one');
  supervisor.handle({ to: 'first', kind: 'count' });
  supervisor.handle({ to: 'second', kind: 'count' });
  t.deepEqual(supervisor.handle({ to: 'first', kind: 'crash' }), ['first started']);
  t.deepEqual(supervisor.handle({ to: 'first', kind: 'count' }), ['first 1']);
  t.deepEqual(supervisor.handle({ to: 'second', kind: 'count' }), ['second 2']);
  t.deepEqual(failures, ['first']);
});

// Guards against later children that keep using the discarded state of the failed child.
test('rest-for-one stops later children in reverse order and restarts them', (t) => {
  const { supervisor } = startPair('rest-for-one');
  t.deepEqual(supervisor.handle({ to: 'first', kind: 'crash' }), [
    'second stopped',
    'first started',
    'second started',
  ]);
});

// Guards against an endless restart loop of a child that always fails.
test('a supervisor escalates above its restart intensity, and old restarts do not count', (t) => {
  const { supervisor, clock } = startPair('one-for-one');
  supervisor.handle({ to: 'first', kind: 'crash' });
  supervisor.handle({ to: 'first', kind: 'crash' });
  clock.advance(1001);
  supervisor.handle({ to: 'first', kind: 'crash' });
  supervisor.handle({ to: 'first', kind: 'crash' });
  t.throws(() => supervisor.handle({ to: 'first', kind: 'crash' }), {
    instanceOf: SupervisorEscalation,
  });
});

// Guards against a temporary child that is restarted.
test('a temporary child is removed after a failure', (t) => {
  const { supervisor } = startPair('one-for-one', 'temporary');
  t.deepEqual(supervisor.handle({ to: 'first', kind: 'crash' }), []);
  t.deepEqual(supervisor.handle({ to: 'first', kind: 'count' }), []);
});

// Guards against a child that stops before the children that depend on it.
test('children stop in the reverse of their start order', (t) => {
  const { supervisor } = startPair('one-for-one');
  t.deepEqual(supervisor.stop(), ['second stopped', 'first stopped']);
});
