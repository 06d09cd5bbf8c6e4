/** Fault in the token sequence of an answer. */
export type TokenFault =
  | 'duplicate-token'
  | 'missing-token'
  | 'second-generation'
  | 'unknown-token'
  | 'short-answer'
  | 'long-answer';

/** State of the check of an answer, up to the last token received. */
export interface AnswerCheck {
  /** Id of the generation, empty before the first token. */
  readonly generation: string;
  readonly nextNumber: number;
  readonly faults: readonly TokenFault[];
}

export const EMPTY_ANSWER: AnswerCheck = { generation: '', nextNumber: 0, faults: [] };

/** Token format of the engine stand-in: `g<generation id>` first, then `w1`, `w2` and so on. */
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
 * Checks that the next part of an answer continues the previous one: each token once, in order and
 * from a single generation.
 *
 * @param check - state before the part
 * @param text - complete tokens, each with its trailing space
 * @returns the state after the part, with any faults found
 */
export const checkText = (check: AnswerCheck, text: string): AnswerCheck =>
  parseTokens(text).reduce(checkToken, check);

/**
 * Checks the length of an answer that was reported as complete.
 *
 * @param check - state after the last part
 * @param requestedTokens - number of tokens that the request specified
 * @returns the state, with a fault if the length is wrong
 */
export const checkLength = (check: AnswerCheck, requestedTokens: number): AnswerCheck => {
  if (check.nextNumber < requestedTokens) return addFault(check, 'short-answer');
  if (check.nextNumber > requestedTokens) return addFault(check, 'long-answer');
  return check;
};
