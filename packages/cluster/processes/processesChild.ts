import { buildRestartArgv, findHttpUrl } from './addresses.js';
import type {
  ClusterEffect,
  ListedState,
  ProcessSpec,
  ProcessState,
  ProcessTable,
  ProcessesEvent,
  ProcessesStep,
} from './types.js';
import { READY_POLL_MS, START_TIMEOUT_MS } from '../constants.js';
import { assertNever } from '../../core/assertNever.js';
import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';

type RunEvent = Extract<ProcessesEvent, { readonly run: number }>;

const updateProcess = (
  table: ProcessTable,
  process: ProcessState,
  changes: Partial<ProcessState>,
  ...effects: readonly ClusterEffect[]
): ProcessesStep => {
  const next = new Map(table).set(process.spec.name, { ...process, ...changes });
  return toStep<ProcessTable, ClusterEffect>(next, ...effects);
};

const startProcess = (table: ProcessTable, spec: ProcessSpec): ProcessesStep => {
  const { name } = spec;
  const previous = table.get(name);
  if (previous !== undefined && previous.phase !== 'exited')
    throw new Error(`${name} is still running`);
  const run = (previous?.run ?? 0) + 1;
  const process: ProcessState = {
    spec,
    run,
    phase: 'starting',
    pid: null,
    urls: {},
    exit: null,
    problem: null,
  };
  const argv = previous === undefined ? spec.argv : buildRestartArgv(spec, previous.urls);
  return updateProcess(
    table,
    process,
    {},
    { kind: 'spawn', name, run, argv },
    {
      kind: 'schedule',
      delayMs: START_TIMEOUT_MS,
      event: { to: 'processes', kind: 'start-overdue', name, run },
    },
  );
};

const toListEffects = (process: ProcessState, state: ListedState): readonly ClusterEffect[] => {
  const { spec, run, urls } = process;
  if (spec.kind === 'standin') return [];
  const { name, role, listing } = spec;
  const httpUrl = findHttpUrl(role, urls);
  const rpcUrl = urls['rpc'] ?? '';
  return [{ kind: 'list-instance', name, run, role, listing, state, rpcUrl, httpUrl }];
};

const toReadinessCheckEffects = ({ spec, run, urls }: ProcessState): readonly ClusterEffect[] =>
  spec.kind === 'standin'
    ? []
    : [{ kind: 'check-ready', name: spec.name, run, url: findHttpUrl(spec.role, urls) }];

const handleAddresses = (
  table: ProcessTable,
  process: ProcessState,
  urls: ProcessState['urls'],
): ProcessesStep => {
  if (process.phase !== 'starting') return toStep(table);
  const listening: ProcessState = { ...process, urls, phase: 'listening' };
  switch (process.spec.kind) {
    case 'standin':
      return updateProcess(table, listening, { phase: 'ready' });
    case 'daemon': {
      const effects = [...toListEffects(listening, 'live'), ...toReadinessCheckEffects(listening)];
      return updateProcess(table, listening, {}, ...effects);
    }
    default:
      return assertNever(process.spec);
  }
};

const handleChecked = (
  table: ProcessTable,
  process: ProcessState,
  problem: string | null,
): ProcessesStep => {
  if (process.phase !== 'listening') return toStep(table);
  if (problem === null) return updateProcess(table, process, { phase: 'ready', problem });
  const { name } = process.spec;
  const event = { to: 'processes', kind: 'check-due', name, run: process.run } as const;
  return updateProcess(
    table,
    process,
    { problem },
    { kind: 'schedule', delayMs: READY_POLL_MS, event },
  );
};

const sendSignal = (
  table: ProcessTable,
  process: ProcessState,
  signal: Extract<ProcessesEvent, { kind: 'signal' }>['signal'],
): ProcessesStep => {
  const { phase, run, spec } = process;
  if (phase === 'exited') return toStep(table);
  const { name } = spec;
  const signalEffect: ClusterEffect = { kind: 'send-signal', name, run, signal };
  switch (signal) {
    case 'SIGSTOP':
      return updateProcess(
        table,
        process,
        { phase: phase === 'ready' ? 'frozen' : phase },
        signalEffect,
      );
    case 'SIGCONT':
      return updateProcess(
        table,
        process,
        { phase: phase === 'frozen' ? 'ready' : phase },
        signalEffect,
      );
    case 'SIGKILL':
      return updateProcess(table, process, { phase: 'stopping' }, signalEffect);
    case 'SIGTERM':
    case 'SIGINT':
      // A process stopped with SIGSTOP handles SIGTERM and SIGINT only after SIGCONT.
      return updateProcess(
        table,
        process,
        { phase: 'stopping' },
        ...(phase === 'frozen' ? [{ ...signalEffect, signal: 'SIGCONT' } as const] : []),
        signalEffect,
      );
    default:
      return assertNever(signal);
  }
};

/** Fails the start of a daemon that is not in the instance list: others could not discover it. */
const handleListFailed = (
  table: ProcessTable,
  process: ProcessState,
  problem: string,
): ProcessesStep =>
  process.phase === 'listening'
    ? sendSignal(table, { ...process, problem }, 'SIGKILL')
    : updateProcess(table, process, { problem });

const handleExited = (
  table: ProcessTable,
  process: ProcessState,
  exit: ProcessState['exit'],
): ProcessesStep => {
  const { spec, run } = process;
  const unlistEffects: readonly ClusterEffect[] =
    spec.kind === 'standin'
      ? []
      : [{ kind: 'unlist-instance', name: spec.name, run, id: spec.listing.id }];
  return updateProcess(table, process, { phase: 'exited', exit }, ...unlistEffects);
};

const handleRunEvent = (
  table: ProcessTable,
  process: ProcessState,
  event: RunEvent,
): ProcessesStep => {
  switch (event.kind) {
    case 'spawned':
      return updateProcess(table, process, { pid: event.pid });
    case 'addresses-printed':
      return handleAddresses(table, process, event.urls);
    case 'check-due':
      return process.phase === 'listening'
        ? toStep<ProcessTable, ClusterEffect>(table, ...toReadinessCheckEffects(process))
        : toStep(table);
    case 'checked':
      return handleChecked(table, process, event.problem);
    case 'start-overdue': {
      const overdue = process.phase === 'starting' || process.phase === 'listening';
      if (!overdue) return toStep(table);
      const problem = `not ready in time: ${process.problem ?? 'it printed no addresses'}`;
      return sendSignal(table, { ...process, problem }, 'SIGKILL');
    }
    case 'listed':
      return event.state === 'leaving' ? sendSignal(table, process, 'SIGTERM') : toStep(table);
    case 'list-failed':
      return handleListFailed(table, process, event.problem);
    case 'exited':
      return handleExited(table, process, event.exit);
    default:
      return assertNever(event);
  }
};

const getProcess = (table: ProcessTable, name: string): ProcessState => {
  const process = table.get(name);
  if (process === undefined) throw new Error(`no process is called ${name}`);
  return process;
};

/**
 * Decides one event of the processes of a cluster.
 *
 * @param table - processes before the event
 * @param event - command, or observation of a process
 * @returns the processes after the event, and the effects to perform
 * @throws Error when the named process does not exist, or a process to start is running
 */
export const decideProcesses = (table: ProcessTable, event: ProcessesEvent): ProcessesStep => {
  switch (event.kind) {
    case 'start':
      return startProcess(table, event.spec);
    case 'signal':
      return sendSignal(table, getProcess(table, event.name), event.signal);
    case 'leave':
      return toStep<ProcessTable, ClusterEffect>(
        table,
        ...toListEffects(getProcess(table, event.name), 'leaving'),
      );
    case 'spawned':
    case 'addresses-printed':
    case 'check-due':
    case 'checked':
    case 'start-overdue':
    case 'listed':
    case 'list-failed':
    case 'exited': {
      const process = getProcess(table, event.name);
      return process.run === event.run ? handleRunEvent(table, process, event) : toStep(table);
    }
    default:
      return assertNever(event);
  }
};

/**
 * Creates the child that owns the states of all processes.
 *
 * @returns decision logic of the child
 */
export const createProcessesChild = (): ChildLogic<
  ProcessTable,
  ProcessesEvent,
  ClusterEffect
> => ({
  init: () => toStep(new Map()),
  decide: decideProcesses,
});
