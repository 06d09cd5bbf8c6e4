/** Why a command exits; selects its exit code. */
export type ExitReason = 'ok' | 'usage' | 'internal' | 'try-again' | 'bad-settings';

interface ExitCode {
  readonly code: number;
  readonly text: string;
}

/** Exit code of each reason, as in sysexits.h. */
export const EXIT_CODES: Readonly<Record<ExitReason, ExitCode>> = {
  ok: { code: 0, text: 'The command succeeded.' },
  usage: { code: 64, text: 'Usage error, such as an unknown command, flag or argument.' },
  internal: { code: 70, text: 'Internal error in the command or the daemon.' },
  'try-again': {
    code: 75,
    text: 'A retry can succeed: another change took effect first, or a daemon does not answer. The message says what may have changed.',
  },
  'bad-settings': { code: 78, text: 'A settings file or a record is not valid.' },
};

/**
 * Lists the exit codes for help texts and docs/COMMANDS.md.
 *
 * @returns codes and their meanings, in ascending order of the code
 */
export const listExitCodes = (): readonly ExitCode[] =>
  Object.values(EXIT_CODES).sort((left, right) => left.code - right.code);

/**
 * Resolves the exit code for an error that a command threw.
 *
 * @param error - any thrown value; oclif attaches exit codes to its usage errors and its own exits
 * @returns the attached code, or else the code for internal errors
 */
export const resolveExitCode = (error: unknown): number => {
  const exitCode = (error as { oclif?: { exit?: number } } | null)?.oclif?.exit;
  return exitCode ?? EXIT_CODES.internal.code;
};
