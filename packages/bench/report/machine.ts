import { execFileSync } from 'node:child_process';
import { cpus, loadavg, totalmem } from 'node:os';

/** Where and from what figures come. */
export interface RunMetadata {
  readonly date: string;
  readonly commit: string;
  readonly node: string;
  readonly cores: number;
  readonly processor: string;
  readonly memoryBytes: number;
  /** Mean number of runnable processes in the last minute before the run. */
  readonly loadBefore: number;
}

const runGit = (...args: readonly string[]): string =>
  execFileSync('git', args, { encoding: 'utf8' }).trim();

/** Changes that are not committed are marked, as the commit alone does not show what ran. */
const readCommit = (): string => {
  const commit = runGit('rev-parse', '--short', 'HEAD');
  const changes = runGit('status', '--porcelain', '--', 'packages', 'app', 'package.json');
  return changes === '' ? commit : `${commit} with changes`;
};

/**
 * Reads what a result page must name about a run.
 *
 * @returns date, commit, machine and its load
 */
export const readRunMetadata = (): RunMetadata => {
  const processors = cpus();
  return {
    date: new Date().toISOString(),
    commit: readCommit(),
    node: process.version,
    cores: processors.length,
    processor: processors[0]?.model ?? 'unknown',
    memoryBytes: totalmem(),
    loadBefore: loadavg()[0] ?? 0,
  };
};
