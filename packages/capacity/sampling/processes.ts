import { readdirSync, readFileSync } from 'node:fs';

const NANOSECONDS_PER_MICROSECOND = 1_000;
const BYTES_PER_KILOBYTE = 1_024;

/**
 * Reads the processor time that a process of this machine has used, over all its threads.
 *
 * @param pid - id of the process
 * @returns microseconds
 */
export const readProcessorTime = (pid: number): number => {
  const tasks = `/proc/${pid.toString()}/task`;
  return readdirSync(tasks).reduce((sum, task) => {
    const [running] = readFileSync(`${tasks}/${task}/schedstat`, 'utf8').split(' ');
    return sum + Number(running) / NANOSECONDS_PER_MICROSECOND;
  }, 0);
};

/**
 * Reads the memory that a process of this machine holds.
 *
 * @param pid - id of the process
 * @returns resident bytes
 */
export const readResidentBytes = (pid: number): number => {
  const status = readFileSync(`/proc/${pid.toString()}/status`, 'utf8');
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  if (kilobytes === undefined) throw new Error(`process ${pid.toString()} shows no memory`);
  return Number(kilobytes) * BYTES_PER_KILOBYTE;
};
