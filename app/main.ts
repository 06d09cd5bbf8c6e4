import { Errors, flush, run, settings } from '@oclif/core';
import { resolveExitCode } from './exitCodes.js';

const printError = (error: unknown): void => {
  if (error instanceof Errors.ExitError) return;
  const usage = error instanceof Errors.CLIError;
  const text = error instanceof Error ? (usage ? error.message : error.stack) : String(error);
  process.stderr.write(`${text ?? ''}\n`);
};

/**
 * Runs one command and sets the exit code of the process.
 *
 * @param argv - arguments after the program's name
 * @param location - URL of the program, from which package.json is found
 */
export const runCommandLine = async (argv: readonly string[], location: string): Promise<void> => {
  // Commands are always the compiled ones; oclif must not look for a TypeScript loader.
  settings.enableAutoTranspile = false;
  try {
    await run([...argv], location);
    await flush();
  } catch (error) {
    printError(error);
    process.exitCode = resolveExitCode(error);
  }
};
