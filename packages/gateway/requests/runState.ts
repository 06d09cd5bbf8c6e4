import type { ReportAnswer, RunState } from '../types.js';
import { assertNever } from '../../core/assertNever.js';

/**
 * Finds what the report of an engine says about the run of a request.
 *
 * @param answer - report of the engine, or why there is none
 * @param requestId - id of the request
 * @returns the state of the run
 */
export const findRun = (answer: ReportAnswer, requestId: string): RunState => {
  switch (answer.kind) {
    case 'unreachable':
    case 'unanswered':
      return answer;
    case 'reported': {
      const { runs, unlisted } = answer.report;
      if (runs.kind === 'not-stated') return { kind: 'not-stated' };
      const events = runs.eventsByRequest.get(requestId);
      if (events !== undefined) return { kind: 'running', events };
      return { kind: unlisted === 0 ? 'ended' : 'not-running' };
    }
    default:
      return assertNever(answer);
  }
};
