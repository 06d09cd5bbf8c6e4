import { Errors, flush, run, settings } from '@oclif/core';
import { resolveExitCode } from './exitCodes.js';

const printError = (error: unknown): void => {
  if (error instanceof Errors.ExitError) return;
  const isUsageError = error instanceof Errors.CLIError;
  const text =
    error instanceof Error ? (isUsageError ? error.message : error.stack) : String(error);
  process.stderr.write(`${text ?? ''}\n`);
};

/**
 * Runs one command and sets the process's exit code.
 *
 * @param argv - arguments after the program name
 * @param moduleUrl - URL of the program, from which package.json is found
 */
export const runCommandLine = async (argv: readonly string[], moduleUrl: string): Promise<void> => {
  // Only compiled commands are run, so oclif must not look for a TypeScript loader.
  settings.enableAutoTranspile = false;
  try {
    await run([...argv], moduleUrl);
    await flush();
  } catch (error) {
    printError(error);
    process.exitCode = resolveExitCode(error);
  }
};
