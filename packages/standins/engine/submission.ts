import {
  buildPrompt,
  computeOutputTokens,
  countPromptTokens,
  hashPromptPrefix,
} from './prompts.js';
import type { ChatBody } from './schemas.js';
import type { EngineSettings, Submission } from './types.js';

/** Request id and request class from the headers. */
export interface RequestIdentity {
  readonly requestId: string;
  readonly className: string | undefined;
}

/**
 * Builds the submission for a chat completions request.
 *
 * @param sequence - id of the generation
 * @param body - validated body
 * @param identity - request id and class from the headers
 * @param settings - seed and output lengths
 * @returns the submission
 */
export const buildSubmission = (
  sequence: string,
  body: ChatBody,
  identity: RequestIdentity,
  settings: EngineSettings,
): Submission => {
  const prompt = buildPrompt(body.messages);
  const fixedTarget = body.metadata?.target_tokens;
  const requestedTokens =
    fixedTarget === undefined
      ? computeOutputTokens(prompt, settings.seed, settings.meanOutputTokens)
      : Math.max(1, Number(fixedTarget));
  const limit = body.max_completion_tokens ?? body.max_tokens ?? settings.maxOutputTokens;
  return {
    sequence,
    requestId: identity.requestId,
    priority: body.priority ?? 0,
    promptTokens: countPromptTokens(prompt),
    targetTokens: Math.min(requestedTokens, limit),
    finishReason: requestedTokens > limit ? 'length' : 'stop',
    prefix: hashPromptPrefix(prompt),
    content: prompt,
    route: body.metadata?.route,
    className: identity.className ?? body.metadata?.class,
  };
};
