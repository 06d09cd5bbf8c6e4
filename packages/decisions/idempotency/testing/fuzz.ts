import fc from 'fast-check';
import { appendCarryForward, readEntry, startModelRequest } from './entryModel.js';
import type {
  Command,
  EndpointModel,
  EntryModel,
  Fault,
  LogMode,
  Mechanisms,
  Simulation,
  Task,
} from './types.js';
import {
  updateTime,
  createSimulation,
  addLateAppend,
  restartEndpoint,
  restartEntry,
  pruneLog,
} from './simulation.js';
import { assertNever } from '../../../core/assertNever.js';

const entry = fc.nat({ max: 2 });
const endpoint = fc.nat({ max: 1 });
const fault: fc.Arbitrary<Fault> = fc.oneof(
  { weight: 12, arbitrary: fc.constant('none' as const) },
  { weight: 1, arbitrary: fc.constant('lose-request' as const) },
  { weight: 1, arbitrary: fc.constant('lose-answer' as const) },
  { weight: 1, arbitrary: fc.constant('late' as const) },
);

/** Weights of the commands; `retention` often restarts entry daemons on a pruned log. */
export type Profile = 'faults' | 'retention';

type Weights = Readonly<Record<Command['kind'], number>>;

const getWeights = (profile: Profile): Weights => {
  const faults: Weights = {
    step: 50,
    request: 8,
    read: 20,
    advance: 6,
    pause: 2,
    resume: 3,
    'restart-entry': 1,
    'restart-endpoint': 1,
    'drain-endpoint': 1,
    log: 2,
    'deliver-late-append': 2,
    'carry-forward': 4,
    prune: 3,
  };
  switch (profile) {
    case 'faults':
      return faults;
    case 'retention':
      return {
        ...faults,
        step: 90,
        read: 30,
        advance: 3,
        'carry-forward': 12,
        prune: 12,
        'restart-entry': 4,
      };
    default:
      return assertNever(profile);
  }
};

const logMode = fc.constantFrom('up', 'up', 'down', 'lose-answers') as fc.Arbitrary<LogMode>;

const buildArbitrary = (kind: Command['kind']): fc.Arbitrary<Command> => {
  switch (kind) {
    case 'step':
      return fc.record({ kind: fc.constant(kind), pick: fc.nat({ max: 30 }), fault });
    case 'request':
      // One request in ten has different content under its key.
      return fc.record({
        kind: fc.constant(kind),
        entry,
        key: fc.nat({ max: 2 }),
        content: fc.nat({ max: 9 }).map((value) => (value === 9 ? 1 : 0)),
      });
    case 'advance':
      // The longest step expires the timed keys and all nonces.
      return fc.record({
        kind: fc.constant(kind),
        ms: fc.constantFrom(100, 300, 300, 1_000, 1_000, 3_000, 10_000, 420_000),
      });
    case 'read':
    case 'pause':
    case 'resume':
    case 'restart-entry':
    case 'carry-forward':
      return fc.record({ kind: fc.constant(kind), entry });
    case 'restart-endpoint':
    case 'drain-endpoint':
      return fc.record({ kind: fc.constant(kind), endpoint });
    case 'log':
      return fc.record({ kind: fc.constant(kind), mode: logMode });
    case 'deliver-late-append':
    case 'prune':
      return fc.constant({ kind });
    default:
      return assertNever(kind);
  }
};

/**
 * Builds the arbitrary that generates the commands of one run.
 *
 * @param profile - weights of the commands
 * @returns arbitrary of command lists
 */
export const buildCommandList = (profile: Profile): fc.Arbitrary<Command[]> => {
  const weights = Object.entries(getWeights(profile)) as [Command['kind'], number][];
  const command = fc.oneof(
    ...weights.map(([kind, weight]) => ({ weight, arbitrary: buildArbitrary(kind) })),
  );
  return fc.array(command, { minLength: 40, maxLength: 240, size: 'max' });
};

const isRunnable = (simulation: Simulation, task: Task): boolean => {
  if (task.dueAt > simulation.now) return false;
  return task.owner === null || simulation.entries[task.owner]?.activity === 'running';
};

const runTask = (simulation: Simulation, pick: number, taskFault: Fault): 'ran' | 'idle' => {
  const isStale = ({ owner, epoch }: Task): boolean =>
    owner !== null && simulation.entries[owner]?.epoch !== epoch;
  for (let index = simulation.tasks.length - 1; index >= 0; index -= 1) {
    if (isStale(simulation.tasks[index] as Task)) simulation.tasks.splice(index, 1);
  }
  const runnable = simulation.tasks.filter((task) => isRunnable(simulation, task));
  const task = runnable[pick % Math.max(1, runnable.length)];
  if (task === undefined) return 'idle';
  simulation.tasks.splice(simulation.tasks.indexOf(task), 1);
  task.run(taskFault);
  return 'ran';
};

const applyCommand = (simulation: Simulation, next: Command): void => {
  switch (next.kind) {
    case 'request':
      startModelRequest(simulation, next.entry, next.key, next.content);
      return;
    case 'step':
      runTask(simulation, next.pick, next.fault);
      return;
    case 'advance':
      updateTime(simulation, next.ms);
      return;
    case 'read':
      readEntry(simulation, next.entry);
      return;
    case 'pause':
      (simulation.entries[next.entry] as EntryModel).activity = 'paused';
      return;
    case 'resume':
      (simulation.entries[next.entry] as EntryModel).activity = 'running';
      return;
    case 'restart-entry':
      restartEntry(simulation.entries[next.entry] as EntryModel);
      return;
    case 'restart-endpoint':
      restartEndpoint(simulation.endpoints[next.endpoint] as EndpointModel);
      return;
    case 'drain-endpoint': {
      const model = simulation.endpoints[next.endpoint] as EndpointModel;
      model.accepting = model.accepting === 'accepting' ? 'draining' : 'accepting';
      return;
    }
    case 'log':
      simulation.log.mode = next.mode;
      return;
    case 'deliver-late-append':
      addLateAppend(simulation);
      return;
    case 'carry-forward':
      appendCarryForward(simulation, next.entry);
      return;
    case 'prune':
      pruneLog(simulation);
      return;
    default:
      assertNever(next);
  }
};

/** Ends all faults and runs the remaining tasks, within a bounded number of rounds. */
const drainSimulation = (simulation: Simulation): void => {
  simulation.log.mode = 'up';
  for (const model of simulation.entries) model.activity = 'running';
  while (simulation.log.lateAppends.length > 0) addLateAppend(simulation);
  for (let round = 0; round < 400 && simulation.tasks.length > 0; round += 1) {
    for (let task = 0; task < 2_000 && runTask(simulation, 0, 'none') === 'ran'; task += 1);
    simulation.entries.forEach((_, index) => {
      readEntry(simulation, index);
    });
    updateTime(simulation, 200);
  }
};

const checkReplies = (simulation: Simulation): void => {
  for (const [requestId, reply] of simulation.replies) {
    const key = simulation.keyOfRequest.get(requestId) as string;
    const runs = simulation.executionsByKey.get(key) ?? 0;
    const own = [...simulation.owners].filter(([, owner]) => owner === requestId);
    const ownRan = own.some(([nonce]) => simulation.executedNonces.has(nonce));
    const reportedVerdict = reply.kind === 'failure' ? reply.verdict : 'ran';
    if (reportedVerdict === 'not-run' && ownRan)
      simulation.violations.push(`${requestId} was reported as not-run and ran`);
    if (reportedVerdict === 'ran' && runs !== 1) {
      simulation.violations.push(
        `${requestId} was reported as ran, and its key ran ${runs.toString()} times`,
      );
    }
  }
};

const checkFinished = (simulation: Simulation): void => {
  for (const model of simulation.entries) {
    for (const [requestId, state] of model.requests) {
      if (state.kind !== 'finished')
        simulation.violations.push(`${requestId} did not finish and is ${state.kind}`);
      if (!simulation.replies.has(requestId))
        simulation.violations.push(`${requestId} received no reply`);
    }
  }
};

/**
 * Runs a list of commands and then all remaining tasks, without faults.
 *
 * @param commands - commands in order
 * @param mechanisms - mechanisms that are enabled or disabled
 * @returns the simulation with the violations that the oracle found
 */
export const runCommands = (commands: readonly Command[], mechanisms: Mechanisms): Simulation => {
  const simulation = createSimulation(mechanisms);
  for (const next of commands) applyCommand(simulation, next);
  drainSimulation(simulation);
  checkReplies(simulation);
  checkFinished(simulation);
  return simulation;
};
