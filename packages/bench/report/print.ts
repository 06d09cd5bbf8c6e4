/**
 * Prints a result to the standard output.
 *
 * @param text - tables or JSON
 */
export const printResult = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/**
 * Prints progress to the standard error output, apart from the result.
 *
 * @param line - what was done
 */
export const printProgress = (line: string): void => {
  process.stderr.write(`${line}\n`);
};
