import type { EngineReport, RunState } from '../types.js';

/**
 * Finds what the report of an engine says about the run of a request.
 *
 * @param report - report of the engine; null when it gave no usable answer
 * @param requestId - id of the request
 * @returns the state of the run
 */
export const findRun = (report: EngineReport | null, requestId: string): RunState => {
  if (report === null) return { kind: 'unreachable' };
  if (report.runs.kind === 'not-stated') return { kind: 'not-stated' };
  const events = report.runs.eventsByRequest.get(requestId);
  return events === undefined ? { kind: 'not-running' } : { kind: 'running', events };
};
