import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { ReadyLine } from './demo/readyLine.js';
import { readBlocks } from './pageBlocks.js';
import type { PageBlock } from './pageBlocks.js';
import { findFreePorts, buildFolder, runBlock } from './pageRuns.js';
import type { PageRun, Served } from './pageRuns.js';
import { runServing } from './testing.js';

const createRun = async (
  t: ExecutionContext,
  environment: PageRun['environment'] = {},
): Promise<PageRun> => {
  const folder = mkdtempSync(join(tmpdir(), 'chestnutspan-pages-'));
  t.teardown(() => {
    rmSync(folder, { recursive: true, force: true });
  });
  const run = { folder, environment, toFreePorts: await findFreePorts() };
  buildFolder(run);
  return run;
};

/** Runs blocks one after the other, and ends what they left running. */
const runBlocks = async (
  t: ExecutionContext,
  blocks: readonly PageBlock[],
  run: PageRun,
): Promise<void> => {
  const serving: Served[] = [];
  try {
    for (const block of blocks) serving.push(...(await runBlock(block, run)));
  } finally {
    const codes = await Promise.all(serving.map(({ stop }) => stop()));
    t.deepEqual(
      codes,
      serving.map(() => 0),
    );
  }
};

const listSections = (blocks: readonly PageBlock[]): readonly (readonly PageBlock[])[] => {
  const sections = new Map<string, readonly PageBlock[]>();
  for (const block of blocks) {
    sections.set(block.section, [...(sections.get(block.section) ?? []), block]);
  }
  return [...sections.values()];
};

// Guards against a first use that a new user cannot repeat as the page shows it.
test('the commands of README.md run', async (t) => {
  const blocks = readBlocks('README.md');
  t.true(blocks.some(({ run }) => run.kind === 'script'));
  await runBlocks(t, blocks, await createRun(t));
});

// Guards against tasks of operators that the commands no longer do as the page shows them.
test('the commands of docs/OPERATORS.md run against a demo', async (t) => {
  const sections = listSections(readBlocks('docs/OPERATORS.md'));
  t.true(sections.length > 3);
  const code = await runServing(['demo', '--keep', '--json'], async (line) => {
    const ready = JSON.parse(line) as ReadyLine;
    const run = await createRun(t, {
      CALLERS_URL: ready.baseUrl,
      CUSTOMER_KEY: ready.customerKey,
      OPERATOR_URL: ready.operatorUrl,
      CHESTNUTSPAN_OPERATOR_KEY: ready.operatorKey,
      LIST_URL: ready.standinUrls['platform'] ?? '',
      MODEL: ready.model,
    });
    // Sections do not depend on each other; the blocks of one section do.
    await Promise.all(sections.map((blocks) => runBlocks(t, blocks, run)));
  });
  t.is(code, 0);
});

// Guards against commands for developers that the repository no longer has.
test('the commands of CONTRIBUTING.md run', async (t) => {
  const run = { ...(await createRun(t)), folder: process.cwd() };
  await runBlocks(t, readBlocks('CONTRIBUTING.md'), run);
});

// Guards against a check of the pages that passes whatever the commands do.
test('a block with another exit code, an unknown mode or an early end fails', async (t) => {
  const run = await createRun(t);
  const page = join(run.folder, 'page.md');
  const writePage = (mode: string, command: string): void => {
    writeFileSync(page, `# Page\n\n\`\`\`${mode}\n${command}\n\`\`\`\n`);
  };
  writePage('sh exit=75', 'true');
  await t.throwsAsync(() => runBlocks(t, readBlocks(page), run), {
    message: /page\.md:3 ended with 0, not 75/,
  });
  writePage('sh', 'false\ntrue');
  await t.throwsAsync(() => runBlocks(t, readBlocks(page), run), { message: /ended with 1/ });
  writePage('sh serve', 'false');
  await t.throwsAsync(() => runBlocks(t, readBlocks(page), run), { message: /"false" ended/ });
  writePage('sh skip', 'true');
  t.throws(() => readBlocks(page), { message: /mode "skip" is not known/ });
});
