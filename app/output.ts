import { EXIT_CODES } from './exitCodes.js';
import type { ExitReason } from './exitCodes.js';
import { assertNever } from '../packages/core/assertNever.js';

/** Result of a command: what it prints and which exit code it selects. */
export type CommandOutcome =
  | {
      readonly kind: 'done';
      readonly text: string;
      readonly data: unknown;
      /** Reasons why the data is incomplete. */
      readonly warnings?: readonly string[];
    }
  | {
      readonly kind: 'failed';
      readonly reason: Exclude<ExitReason, 'ok'>;
      readonly message: string;
      readonly data?: unknown;
    };

/** Text for people, or one JSON document for programs. */
export type OutputFormat = 'text' | 'json';

interface Output {
  readonly stdout: string;
  readonly stderr: string;
  readonly exitCode: number;
}

const toLine = (text: string): string => (text === '' || text.endsWith('\n') ? text : `${text}\n`);

/**
 * Renders the outcome of a command. Data goes to standard output and messages to standard error.
 *
 * @param outcome - outcome of the command
 * @param format - format of the data
 * @returns the content of both output streams and the exit code
 */
export const renderOutcome = (outcome: CommandOutcome, format: OutputFormat): Output => {
  switch (outcome.kind) {
    case 'done': {
      const stdout = format === 'json' ? JSON.stringify(outcome.data) : outcome.text;
      const stderr = (outcome.warnings ?? []).map(toLine).join('');
      return { stdout: toLine(stdout), stderr, exitCode: EXIT_CODES.ok.code };
    }
    case 'failed': {
      const data = outcome.data ?? { reason: outcome.reason, message: outcome.message };
      return {
        stdout: format === 'json' ? toLine(JSON.stringify(data)) : '',
        stderr: toLine(outcome.message),
        exitCode: EXIT_CODES[outcome.reason].code,
      };
    }
    default:
      return assertNever(outcome);
  }
};

/**
 * Prints the outcome of a command and sets the process's exit code.
 *
 * @param outcome - outcome of the command
 * @param json - value of the `--json` flag
 */
export const printOutcome = (outcome: CommandOutcome, json: boolean): void => {
  const output = renderOutcome(outcome, json ? 'json' : 'text');
  process.stdout.write(output.stdout);
  process.stderr.write(output.stderr);
  process.exitCode = output.exitCode;
};
