/** What is wrong with the tokens of an answer. */
export type TokenFault =
  | 'duplicate-token'
  | 'missing-token'
  | 'second-generation'
  | 'unknown-token'
  | 'short-answer'
  | 'long-answer';

/** Tokens of one answer so far. */
export interface AnswerCheck {
  /** Id of the generation, empty before the first token. */
  readonly generation: string;
  readonly nextNumber: number;
  readonly faults: readonly TokenFault[];
}

export const EMPTY_ANSWER: AnswerCheck = { generation: '', nextNumber: 0, faults: [] };

/** Token texts of the engine stand-in: `g<id>` first, then `w1`, `w2` and so on. */
const TOKEN_PATTERN = /^(?:g(?<generation>[0-9a-f-]+)|w(?<number>[1-9][0-9]*))$/;

const addFault = (check: AnswerCheck, fault: TokenFault): AnswerCheck =>
  check.faults.includes(fault) ? check : { ...check, faults: [...check.faults, fault] };

const checkGeneration = (check: AnswerCheck, generation: string): AnswerCheck => {
  if (check.nextNumber === 0) return { ...check, generation, nextNumber: 1 };
  const fault = check.generation === generation ? 'duplicate-token' : 'second-generation';
  return addFault(check, fault);
};

const checkNumber = (check: AnswerCheck, number: number): AnswerCheck => {
  if (number < check.nextNumber) return addFault(check, 'duplicate-token');
  const next = { ...check, nextNumber: number + 1 };
  return number === check.nextNumber ? next : addFault(next, 'missing-token');
};

const checkToken = (check: AnswerCheck, token: string): AnswerCheck => {
  const groups = TOKEN_PATTERN.exec(token)?.groups;
  if (groups?.['generation'] !== undefined) return checkGeneration(check, groups['generation']);
  if (groups?.['number'] !== undefined) return checkNumber(check, Number(groups['number']));
  return addFault(check, 'unknown-token');
};

const parseTokens = (text: string): readonly string[] =>
  text.split(' ').filter((token) => token !== '');

/**
 * Checks that the next part of an answer goes on from the last one: each token once, in order and
 * from a single generation.
 *
 * @param check - answer so far
 * @param text - whole tokens, each with its trailing space
 * @returns the answer with the part, and any fault
 */
export const checkText = (check: AnswerCheck, text: string): AnswerCheck =>
  parseTokens(text).reduce(checkToken, check);

/**
 * Checks the length of an answer that claims to be whole.
 *
 * @param check - all tokens
 * @param requestedTokens - tokens that the request asked for
 * @returns the answer with any fault of its length
 */
export const checkLength = (check: AnswerCheck, requestedTokens: number): AnswerCheck => {
  if (check.nextNumber < requestedTokens) return addFault(check, 'short-answer');
  if (check.nextNumber > requestedTokens) return addFault(check, 'long-answer');
  return check;
};
