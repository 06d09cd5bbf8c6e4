/**
 * Prints a result to standard output.
 *
 * @param text - tables or JSON
 */
export const printResult = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/**
 * Prints progress to standard error, so that standard output holds only the result.
 *
 * @param line - progress message, without a newline
 */
export const printProgress = (line: string): void => {
  process.stderr.write(`${line}\n`);
};
