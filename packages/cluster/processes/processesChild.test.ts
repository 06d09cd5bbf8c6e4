import test from 'ava';
import { decideProcesses } from './processesChild.js';
import type { ClusterEffect, ProcessSpec, ProcessTable, ProcessesEvent } from './types.js';

const ENTRY: ProcessSpec = {
  kind: 'daemon',
  role: 'entry',
  name: 'entry-1',
  argv: ['run', 'entry', 'f'],
  listing: { id: 'instance-entry-1', dataCentre: 'dc-a' },
};

const ENGINE: ProcessSpec = { kind: 'standin', role: 'engine', name: 'engine-1', argv: ['e'] };

const URLS = { callers: 'http://127.0.0.1:1', rpc: 'http://127.0.0.1:2' };

const applyAll = (events: readonly ProcessesEvent[], table: ProcessTable = new Map()) => {
  let state = table;
  const effects: ClusterEffect[] = [];
  for (const event of events) {
    const step = decideProcesses(state, event);
    state = step.state;
    effects.push(...step.effects.filter(({ kind }) => kind !== 'schedule'));
  }
  return { state, effects };
};

const listKinds = (effects: readonly ClusterEffect[]) =>
  effects.map((effect) => (effect.kind === 'send-signal' ? effect.signal : effect.kind));

const READY: readonly ProcessesEvent[] = [
  { kind: 'start', spec: ENTRY },
  { kind: 'spawned', name: 'entry-1', run: 1, pid: 7 },
  { kind: 'addresses-printed', name: 'entry-1', run: 1, urls: URLS },
  { kind: 'checked', name: 'entry-1', run: 1, problem: null },
];

const EXITED: ProcessesEvent = {
  kind: 'exited',
  name: 'entry-1',
  run: 1,
  exit: { code: 0, signal: null },
};

// Guards against a daemon that gets traffic before it is ready, or stays listed after its exit.
test('a daemon is listed once it listens, ready after a check, and unlisted when it exits', (t) => {
  const { state, effects } = applyAll(READY);
  t.deepEqual(listKinds(effects), ['spawn', 'list-instance', 'check-ready']);
  t.like(effects[1], { state: 'live', rpcUrl: URLS.rpc, httpUrl: URLS.callers });
  t.like(state.get('entry-1'), { phase: 'ready', pid: 7 });
  const ended = applyAll([EXITED], state);
  t.deepEqual(listKinds(ended.effects), ['unlist-instance']);
  t.is(ended.state.get('entry-1')?.phase, 'exited');
});

// Guards against a late event of an exited run that marks the next run as exited.
test('events of an earlier run are ignored', (t) => {
  const restarted = applyAll([...READY, EXITED, { kind: 'start', spec: ENTRY }, EXITED]);
  t.like(restarted.state.get('entry-1'), { run: 2, phase: 'starting', exit: null });
});

// Guards against a frozen process that never handles SIGTERM.
test('a frozen process is sent SIGCONT before SIGTERM', (t) => {
  const { effects } = applyAll([
    ...READY,
    { kind: 'signal', name: 'entry-1', signal: 'SIGSTOP' },
    { kind: 'signal', name: 'entry-1', signal: 'SIGTERM' },
  ]);
  t.deepEqual(listKinds(effects).slice(3), ['SIGSTOP', 'SIGCONT', 'SIGTERM']);
});

// Guards against a daemon that exits before the instance list shows that it is leaving.
test('a leaving daemon gets SIGTERM only after the list has stored its state', (t) => {
  const leaving = applyAll([...READY, { kind: 'leave', name: 'entry-1' }]);
  t.like(leaving.effects[3], { kind: 'list-instance', state: 'leaving' });
  t.is(leaving.effects.length, 4);
  const listed = applyAll(
    [{ kind: 'listed', name: 'entry-1', run: 1, state: 'leaving' }],
    leaving.state,
  );
  t.deepEqual(listKinds(listed.effects), ['SIGTERM']);
});

// Guards against a start that hangs without an error message.
test('a start that the list refuses or that times out fails with its problem', (t) => {
  const listening = READY.slice(0, 3);
  const failures: readonly ProcessesEvent[] = [
    { kind: 'list-failed', name: 'entry-1', run: 1, problem: 'refused' },
    { kind: 'start-overdue', name: 'entry-1', run: 1 },
  ];
  for (const failure of failures) {
    const { state, effects } = applyAll([...listening, failure]);
    t.is(listKinds(effects).at(-1), 'SIGKILL');
    t.regex(state.get('entry-1')?.problem ?? '', /refused|not ready in time/);
  }
});

// Guards against settings files that contain an outdated port after a stand-in was restarted.
test('a restarted stand-in keeps its port', (t) => {
  const { effects } = applyAll([
    { kind: 'start', spec: ENGINE },
    {
      kind: 'addresses-printed',
      name: 'engine-1',
      run: 1,
      urls: { engine: 'http://127.0.0.1:4321' },
    },
    { kind: 'exited', name: 'engine-1', run: 1, exit: { code: null, signal: 'SIGKILL' } },
    { kind: 'start', spec: ENGINE },
  ]);
  t.like(effects[1], { kind: 'spawn', run: 2, argv: ['e', '--port', '4321'] });
});
