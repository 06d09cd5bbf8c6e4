/** Why the command line ends. */
export type ExitReason = 'ok' | 'usage' | 'internal' | 'try-again' | 'bad-settings';

interface ExitCode {
  readonly code: number;
  readonly text: string;
}

/** Exit code of each reason, as in sysexits.h. */
export const EXIT_CODES: Readonly<Record<ExitReason, ExitCode>> = {
  ok: { code: 0, text: 'The command did what it was asked to do.' },
  usage: { code: 64, text: 'The command line is wrong: unknown command, flag or argument.' },
  internal: { code: 70, text: 'A fault inside the command or the daemon.' },
  'try-again': {
    code: 75,
    text: 'A later try can succeed: a race was lost, or a daemon does not answer. The message says what may have changed.',
  },
  'bad-settings': { code: 78, text: 'A settings file or a record is not valid.' },
};

/**
 * Lists the exit codes for help texts and docs/COMMANDS.md.
 *
 * @returns code and meaning, in ascending order
 */
export const listExitCodes = (): readonly ExitCode[] =>
  Object.values(EXIT_CODES).sort((left, right) => left.code - right.code);

/**
 * Resolves the exit code of an error that a command raised.
 *
 * @param error - anything raised; oclif marks its usage errors and its own exits with a code
 * @returns the marked code, else that of an internal fault
 */
export const resolveExitCode = (error: unknown): number => {
  const marked = (error as { oclif?: { exit?: number } } | null)?.oclif?.exit;
  return marked ?? EXIT_CODES.internal.code;
};
