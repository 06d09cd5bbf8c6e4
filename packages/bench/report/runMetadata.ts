import { execFileSync } from 'node:child_process';
import { cpus, loadavg, totalmem } from 'node:os';

/** Date, commit and machine of a run, which its results are published with. */
export interface RunMetadata {
  readonly date: string;
  readonly commit: string;
  readonly node: string;
  readonly cores: number;
  readonly processor: string;
  readonly memoryBytes: number;
  /** One-minute load average before the run: the mean number of runnable processes. */
  readonly loadBefore: number;
}

const runGit = (...args: readonly string[]): string =>
  execFileSync('git', args, { encoding: 'utf8' }).trim();

/** Reads the commit, marked when there are uncommitted changes, which the commit does not show. */
const readCommit = (): string => {
  const commit = runGit('rev-parse', '--short', 'HEAD');
  const changes = runGit('status', '--porcelain', '--', 'packages', 'app', 'package.json');
  return changes === '' ? commit : `${commit} with changes`;
};

/**
 * Reads the metadata that a results page must state about a run.
 *
 * @returns date, commit, machine and load
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
