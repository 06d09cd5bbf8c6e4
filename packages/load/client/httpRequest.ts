import type { Arrival } from '../arrivals/types.js';
import { CHARACTERS_PER_TOKEN, PREFIX_CHARACTERS } from '../../standins/engine/constants.js';
import { assertNever } from '../../core/assertNever.js';

/** HTTP request of one arrival. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | undefined;
}

type GenerationWork = Extract<Arrival['work'], { kind: 'generation' }>;

const FILLER = 'The ledger of the day follows. ';

/**
 * Renders a prompt of a given length. Requests of a class with the same prefix number share its
 * first part.
 *
 * @param className - class of the request
 * @param work - prefix number and length
 * @param number - number of the arrival, which makes the rest of the prompt unique
 * @returns the prompt
 */
export const renderPrompt = (className: string, work: GenerationWork, number: number): string => {
  const length = work.promptTokens * CHARACTERS_PER_TOKEN;
  const prefix = `${className} ${work.prefix.toString()} `
    .concat(FILLER.repeat(PREFIX_CHARACTERS / FILLER.length + 1))
    .slice(0, PREFIX_CHARACTERS);
  const suffix = ` ${number.toString()} `;
  return `${prefix}${suffix}${FILLER.repeat(length / FILLER.length + 1)}`.slice(0, length);
};

const buildGenerationRequest = (arrival: Arrival, work: GenerationWork): HttpRequest => ({
  method: 'POST',
  path: '/v1/chat/completions',
  body: JSON.stringify({
    model: work.model,
    messages: [{ role: 'user', content: renderPrompt(arrival.className, work, arrival.number) }],
    stream: work.delivery === 'stream',
    metadata: {
      target_tokens: work.outputTokens.toString(),
      class: arrival.className,
      ...(work.route === undefined ? {} : { route: work.route }),
    },
  }),
});

/**
 * Builds the HTTP request of an arrival.
 *
 * @param arrival - class and work of the request
 * @param key - idempotency key, used by non-repeatable calls
 * @returns method, path and body
 */
export const buildHttpRequest = (arrival: Arrival, key: string): HttpRequest => {
  const { work } = arrival;
  switch (work.kind) {
    case 'generation':
      return buildGenerationRequest(arrival, work);
    case 'lookup':
      return {
        method: 'GET',
        path: `/services/${work.service}/balances/${work.account}`,
        body: undefined,
      };
    case 'execution':
      return {
        method: 'POST',
        path: `/services/${work.service}/${work.route}`,
        body: JSON.stringify({ key, amount: work.amount }),
      };
    default:
      return assertNever(work);
  }
};
