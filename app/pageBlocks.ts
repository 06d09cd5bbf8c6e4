import { readFileSync } from 'node:fs';

/** How a code block is executed. */
export type BlockRun =
  | { readonly kind: 'commands'; readonly exitCode: number }
  /** Each line starts a process that serves until it is stopped. */
  | { readonly kind: 'serve' }
  | { readonly kind: 'script' };

/** An executable code block of a Markdown page. */
export interface PageBlock {
  readonly page: string;
  /** Line on which the block starts, from 1. */
  readonly line: number;
  /** Text of the nearest heading above the block. */
  readonly section: string;
  readonly run: BlockRun;
  readonly text: string;
}

const CODE_FENCE = /^```(?<language>\S+)[ ]?(?<mode>.*)\n(?<text>[^]*?)^```$/gm;

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
 * Reads the code blocks of a Markdown page that are marked `sh` or `js`. Blocks of other languages,
 * such as `shell`, are not executed.
 *
 * @param page - path of the page
 * @returns the executable blocks in page order
 * @throws Error when a `sh` block has an unknown mode
 */
export const readBlocks = (page: string): readonly PageBlock[] => {
  const content = readFileSync(page, 'utf8');
  return [...content.matchAll(CODE_FENCE)].flatMap(({ index, groups = {} }) => {
    const run = parseRun(groups['language'] ?? '', groups['mode'] ?? '');
    if (run === undefined) return [];
    const before = content.slice(0, index);
    const section = [...before.matchAll(/^#+ (.*)$/gm)].at(-1)?.[1] ?? '';
    const line = before.split('\n').length;
    return [{ page, line, section, run, text: groups['text'] ?? '' }];
  });
};
