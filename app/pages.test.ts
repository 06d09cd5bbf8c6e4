import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { ReadyLine } from './demo/readyLine.js';
import { readBlocks } from './pageBlocks.js';
import type { PageBlock } from './pageBlocks.js';
import { createPortReplacer, buildDirectory, runBlock } from './runPageBlocks.js';
import type { RunContext, ServedProcess } from './runPageBlocks.js';
import { runServing } from './testing.js';

const createContext = async (
  t: ExecutionContext,
  environment: RunContext['environment'] = {},
): Promise<RunContext> => {
  const directory = mkdtempSync(join(tmpdir(), 'chestnutspan-pages-'));
  t.teardown(() => {
    rmSync(directory, { recursive: true, force: true });
  });
  const context = { directory, environment, replacePorts: await createPortReplacer() };
  buildDirectory(context);
  return context;
};

/** Executes blocks in sequence, then stops the servers that they started. */
const runBlocks = async (
  t: ExecutionContext,
  blocks: readonly PageBlock[],
  context: RunContext,
): Promise<void> => {
  const servers: ServedProcess[] = [];
  try {
    for (const block of blocks) servers.push(...(await runBlock(block, context)));
  } finally {
    const codes = await Promise.all(servers.map(({ stop }) => stop()));
    t.deepEqual(
      codes,
      servers.map(() => 0),
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

// Guards against a README whose commands fail for a new user.
test('the commands of README.md run', async (t) => {
  const blocks = readBlocks('README.md');
  t.true(blocks.some(({ run }) => run.kind === 'script'));
  await runBlocks(t, blocks, await createContext(t));
});

// Guards against an operators' page whose commands no longer work.
test('the commands of docs/OPERATORS.md run against a demo', async (t) => {
  const sections = listSections(readBlocks('docs/OPERATORS.md'));
  t.true(sections.length > 3);
  const code = await runServing(['demo', '--keep', '--json'], async (line) => {
    const ready = JSON.parse(line) as ReadyLine;
    const context = await createContext(t, {
      CALLERS_URL: ready.baseUrl,
      CUSTOMER_KEY: ready.customerKey,
      OPERATOR_URL: ready.operatorUrl,
      CHESTNUTSPAN_OPERATOR_KEY: ready.operatorKey,
      LIST_URL: ready.standinUrls['platform'] ?? '',
      MODEL: ready.model,
    });
    // Sections are independent; the blocks of one section depend on each other.
    await Promise.all(sections.map((blocks) => runBlocks(t, blocks, context)));
  });
  t.is(code, 0);
});

// Guards against a CONTRIBUTING.md that names commands which the repository no longer has.
test('the commands of CONTRIBUTING.md run', async (t) => {
  const context = { ...(await createContext(t)), directory: process.cwd() };
  await runBlocks(t, readBlocks('CONTRIBUTING.md'), context);
});

// Guards against page tests that pass although a command fails.
test('a block with an unexpected exit code, an unknown mode or a server that exits early fails', async (t) => {
  const context = await createContext(t);
  const page = join(context.directory, 'page.md');
  const writePage = (mode: string, command: string): void => {
    writeFileSync(page, `# Page\n\n\`\`\`${mode}\n${command}\n\`\`\`\n`);
  };
  writePage('sh exit=75', 'true');
  await t.throwsAsync(() => runBlocks(t, readBlocks(page), context), {
    message: /page\.md:3 ended with 0, not 75/,
  });
  writePage('sh', 'false\ntrue');
  await t.throwsAsync(() => runBlocks(t, readBlocks(page), context), { message: /ended with 1/ });
  writePage('sh serve', 'false');
  await t.throwsAsync(() => runBlocks(t, readBlocks(page), context), { message: /"false" ended/ });
  writePage('sh skip', 'true');
  t.throws(() => readBlocks(page), { message: /mode "skip" is not known/ });
});
