import test from 'ava';
import { CORRELATED_CRASH_MS } from './constants.js';
import {
  addCrash,
  checkContent,
  createCrashEvidence,
  listQuarantineCrashes,
  selectSuspects,
} from './crashEvidence.js';
import type { CrashEvidence } from './crashEvidence.js';
import type { Fingerprint } from './types.js';

/** Sizes at which the work is counted; the header of a request has room for some thousand parts. */
const SIZES = [128, 256] as const;

/** Work that grows with the parts alone doubles with them; work that grows with pairs of them does not. */
const MAX_GROWTH = 2.5;

const REPORTS = 8;

/** A list of fingerprints that counts how often one of them is read. */
interface CountedParts {
  readonly create: (parts: readonly Fingerprint[]) => readonly Fingerprint[];
  readonly countReads: () => number;
}

const createCountedParts = (): CountedParts => {
  let reads = 0;
  return {
    create: (parts) =>
      new Proxy(parts, {
        get: (target, property, receiver) => {
          if (typeof property === 'string' && /^\d+$/.test(property)) reads += 1;
          return Reflect.get(target, property, receiver) as unknown;
        },
      }),
    countReads: () => reads,
  };
};

const buildBlocks = (count: number): readonly Fingerprint[] =>
  Array.from({ length: count }, (_, index) => `m/${index.toString()}`);

/** Contents of requests that share much of a document, by what they leave out of it. */
const SHARES: Readonly<
  Record<string, (blocks: readonly Fingerprint[], index: number) => readonly Fingerprint[]>
> = {
  'all have the same parts': (blocks) => blocks,
  'each ends one part earlier': (blocks, index) => blocks.slice(0, blocks.length - index),
  'each leaves out other parts': (blocks, index) =>
    blocks.filter((_, position) => ((position + 1) * (index + 3)) % 7 !== 0),
  'half of the parts are of one request': (blocks, index) =>
    blocks.map((block, position) => (position % 2 === 0 ? block : `${block}-${index.toString()}`)),
};

/** Adds crashes, checks requests and builds reports, as a gateway does in and after the turn of a crash. */
const runCrashes = (
  evidence: CrashEvidence,
  contents: readonly (readonly Fingerprint[])[],
): void => {
  contents.forEach((parts, index) => {
    const at = index * CORRELATED_CRASH_MS;
    const content = { whole: `w-${index.toString()}`, parts };
    const endpoint = `e-${index.toString()}`;
    addCrash(evidence, { endpoint, progress: 'beginning', at, content }, at);
    selectSuspects(evidence, content, at);
    for (const other of contents) checkContent(evidence, { whole: null, parts: other }, at);
    listQuarantineCrashes(evidence, at, REPORTS);
  });
};

const countWork = (share: keyof typeof SHARES, blockCount: number): number => {
  const counted = createCountedParts();
  const blocks = buildBlocks(blockCount);
  const contents = Array.from({ length: REPORTS }, (_, index) =>
    counted.create(SHARES[share]?.(blocks, index) ?? []),
  );
  runCrashes(createCrashEvidence(), contents);
  return counted.countReads();
};

// Guards against a gateway that stands still for seconds, since a crash or a check compares all parts of
// a long prompt with all parts of others (review/10).
for (const share of Object.keys(SHARES)) {
  test(`the work after crashes grows with the parts of the prompts: ${share}`, (t) => {
    const [small, large] = SIZES.map((size) => countWork(share, size)) as [number, number];
    t.true(large / small <= MAX_GROWTH, `${small.toString()} and ${large.toString()} reads`);
  });
}
