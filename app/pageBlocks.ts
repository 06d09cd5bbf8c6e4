import { readFileSync } from 'node:fs';

/** How a block of a page is run. */
export type BlockRun =
  | { readonly kind: 'commands'; readonly exitCode: number }
  /** Each line is a process that serves until it is stopped. */
  | { readonly kind: 'serve' }
  | { readonly kind: 'script' };

/** A code block of a page that can be run. */
export interface PageBlock {
  readonly page: string;
  /** Line of the page on which the block starts, from 1. */
  readonly line: number;
  /** Heading above the block. */
  readonly section: string;
  readonly run: BlockRun;
  readonly text: string;
}

const FENCE = /^```(?<language>\S+)[ ]?(?<mode>.*)\n(?<text>[^]*?)^```$/gm;

const parseRun = (language: string, mode: string): BlockRun | undefined => {
  if (language === 'js') return { kind: 'script' };
  if (language !== 'sh') return undefined;
  if (mode === 'serve') return { kind: 'serve' };
  const exitCode = /^exit=(?<code>\d+)$/.exec(mode)?.groups?.['code'];
  if (mode !== '' && exitCode === undefined) {
    throw new Error(`the code block mode "${mode}" is not known`);
  }
  return { kind: 'commands', exitCode: Number(exitCode ?? 0) };
};

/**
 * Reads the code blocks of a page that are marked `sh` or `js`; blocks of other languages, such as
 * `shell`, are shown and not run.
 *
 * @param page - path of the page
 * @returns the blocks in the order of the page
 */
export const readBlocks = (page: string): readonly PageBlock[] => {
  const content = readFileSync(page, 'utf8');
  return [...content.matchAll(FENCE)].flatMap(({ index, groups = {} }) => {
    const run = parseRun(groups['language'] ?? '', groups['mode'] ?? '');
    if (run === undefined) return [];
    const before = content.slice(0, index);
    const section = [...before.matchAll(/^#+ (.*)$/gm)].at(-1)?.[1] ?? '';
    const line = before.split('\n').length;
    return [{ page, line, section, run, text: groups['text'] ?? '' }];
  });
};
