import { readdirSync, readFileSync } from 'node:fs';

const NANOS_PER_MICRO = 1_000;
const BYTES_PER_KB = 1_024;

/**
 * Reads the processor time that the threads of a local process have used so far. Threads that have
 * ended are not counted.
 *
 * @param pid - process id
 * @returns microseconds
 */
export const readProcessorTime = (pid: number): number => {
  const tasks = `/proc/${pid.toString()}/task`;
  return readdirSync(tasks).reduce((sum, task) => {
    const [running] = readFileSync(`${tasks}/${task}/schedstat`, 'utf8').split(' ');
    return sum + Number(running) / NANOS_PER_MICRO;
  }, 0);
};

/**
 * Reads the resident memory of a local process.
 *
 * @param pid - process id
 * @returns resident bytes
 * @throws Error when the process has exited or its status shows no resident memory
 */
export const readResidentBytes = (pid: number): number => {
  const status = readFileSync(`/proc/${pid.toString()}/status`, 'utf8');
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  if (kilobytes === undefined)
    throw new Error(`process ${pid.toString()} has no VmRSS in its status`);
  return Number(kilobytes) * BYTES_PER_KB;
};
