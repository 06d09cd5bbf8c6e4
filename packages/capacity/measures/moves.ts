import { buildHeartbeat } from './heartbeats.js';
import { getProcessorTime, measureDuration } from '../sampling/duration.js';
import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import type { MoveView } from '../../decisions/configuration/types.js';
import { createMovesLogic } from '../../entry/moves/moves.js';
import type { MovesState } from '../../entry/moves/moves.js';
import type { ReceivedHeartbeat } from '../../entry/types.js';

const NOW = 1_800_000_000_000;
const HOUR_MS = 3_600_000;

const buildMove = (index: number, status: 'running' | 'ended'): MoveView => ({
  name: `move-${index.toString()}`,
  model: 'draft',
  from: 'v1',
  to: 'v2',
  startedAt: NOW - HOUR_MS,
  deadline: NOW + HOUR_MS,
  offset: index * 2,
  ended:
    status === 'running'
      ? null
      : {
          outcome: 'done',
          reason: 'complete',
          offset: index * 2 + 1,
          author: 'entry-000',
          notice: 'sent',
        },
});

const createLogic = (moves: readonly MoveView[]) =>
  createMovesLogic({
    now: () => NOW,
    createId: () => 'nonce',
    process: 'entry-000',
    listMoves: () => moves,
    webhook: 'none',
    hash: () => 0,
  });

type Logic = ReturnType<typeof createLogic>;

const startMoves = (logic: Logic): MovesState =>
  logic.decide(logic.init().state, { to: 'moves', kind: 'configuration-updated' }).state;

/** Returns the heartbeat with increased counters, as a serving endpoint sends them. */
const addSuccesses = (heartbeat: ReceivedHeartbeat, added: number): ReceivedHeartbeat => ({
  ...heartbeat,
  evidence: heartbeat.evidence.map((row) => ({ ...row, successes: row.successes + added })),
});

const measureEvidence = (endpoints: number) => {
  const logic = createLogic([buildMove(0, 'running')]);
  const heartbeats = Array.from({ length: endpoints }, (_, index) => ({
    ...buildHeartbeat(index),
    version: index % 2 === 0 ? 'v1' : 'v2',
  }));
  let added = 0;
  const receive = (state: MovesState): MovesState => {
    added += 1;
    return heartbeats.reduce((current, heartbeat) => {
      const event = { to: 'moves', kind: 'evidence-received' } as const;
      return logic.decide(current, { ...event, heartbeat: addSuccesses(heartbeat, added) }).state;
    }, state);
  };
  const built = measureMemory(() => receive(startMoves(logic)));
  let { state } = built;
  const roundTime = measureDuration(() => {
    state = receive(state);
  });
  return { 'moves.evidence-state': built.bytes, 'moves.evidence-time': roundTime };
};

/** Measures the processor time that a configuration change takes for each ended move. */
const measureEndedMoves = (moves: number) => {
  const logic = createLogic(Array.from({ length: moves }, (_, index) => buildMove(index, 'ended')));
  let state = startMoves(logic);
  const startedAt = getProcessorTime();
  state = logic.decide(state, { to: 'moves', kind: 'configuration-updated' }).state;
  if (state.moves.size !== moves) throw new Error('a move is missing');
  return { 'moves.configuration-time': (getProcessorTime() - startedAt) / moves };
};

/** Evidence of one running move, and configuration changes with ended moves. */
export const MOVE_EXPERIMENTS: readonly Experiment[] = [
  { name: 'move evidence', sizes: [8, 64, 512, 2_048], measure: measureEvidence },
  { name: 'ended moves', sizes: [64, 256, 1_024], measure: measureEndedMoves },
];
