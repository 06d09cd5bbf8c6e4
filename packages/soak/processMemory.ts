import { readFileSync } from 'node:fs';

const KILOBYTES_PER_MB = 1_024;

/**
 * Reads the most resident memory that a process has had.
 *
 * @param processId - id of the process
 * @returns the memory in MB; NaN when the process has ended
 */
export const readPeakMb = (processId: number): number => {
  try {
    const status = readFileSync(`/proc/${processId.toString()}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KILOBYTES_PER_MB;
  } catch {
    // The entry of a process is gone once its end was collected.
    return NaN;
  }
};
