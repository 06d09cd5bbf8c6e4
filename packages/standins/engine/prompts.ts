import { createHash } from 'node:crypto';
import { CHARACTERS_PER_TOKEN, PREFIX_CHARACTERS } from './constants.js';
import { createSeededSource } from '../common/seededSource.js';

/** Part of a message's content; parts other than text are ignored. */
export interface ContentPart {
  readonly type: string;
  readonly text?: string | undefined;
}

/** Message of a chat completions request. */
export interface Message {
  readonly role: string;
  readonly content?: string | readonly ContentPart[] | null | undefined;
}

const formatContent = (message: Message): string => {
  const { content } = message;
  if (content === undefined || content === null) return '';
  if (typeof content === 'string') return content;
  return content.map(({ text }) => text ?? '').join('');
};

/**
 * Builds the prompt of a request.
 *
 * @param messages - messages of a chat completions request
 * @returns the contents of all messages, concatenated
 */
export const buildPrompt = (messages: readonly Message[]): string =>
  messages.map(formatContent).join('');

/**
 * Hashes the part of a prompt that is the key of the engine's prefix cache.
 *
 * @param prompt - contents of all messages, concatenated
 * @returns 16 hexadecimal digits
 */
export const hashPromptPrefix = (prompt: string): string =>
  createHash('sha256').update(prompt.slice(0, PREFIX_CHARACTERS)).digest('hex').slice(0, 16);

/**
 * Estimates the number of tokens of a prompt from its length in characters.
 *
 * @param prompt - contents of all messages, concatenated
 * @returns tokens, at least one
 */
export const countPromptTokens = (prompt: string): number =>
  Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));

/**
 * Computes the output length of a request that doesn't specify it. Lengths are exponentially
 * distributed, so that a few outputs are many times longer than most.
 *
 * @param prompt - contents of all messages, concatenated
 * @param seed - seed of the engine
 * @param meanTokens - mean length in tokens
 * @returns tokens, at least one; the same for the same prompt and seed
 */
export const computeOutputTokens = (prompt: string, seed: number, meanTokens: number): number => {
  const uniform = createSeededSource(seed, prompt).next();
  return Math.max(1, Math.round(-Math.log(1 - uniform) * meanTokens));
};

/**
 * Renders one token. The first token contains the generation's id and the others their index, so
 * that a reader can verify that the tokens are in order and come from a single generation.
 *
 * @param generation - id of the generation
 * @param index - index of the token, from 0
 * @returns the token, with a trailing space
 */
export const renderToken = (generation: string, index: number): string =>
  index === 0 ? `g${generation} ` : `w${index.toString()} `;
