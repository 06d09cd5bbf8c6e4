import type { FastifyReply } from 'fastify';
import { renderToken } from './prompts.js';
import type { FinishReason, SequenceId, Usage } from './types.js';
import { assertNever } from '../../core/assertNever.js';

/** Form in which a caller requested its answer. */
export type OutputMode =
  | { readonly kind: 'whole' }
  | { readonly kind: 'stream'; readonly usage: 'with-usage' | 'without-usage' };

/** Answers in progress, by sequence. */
export interface Outputs {
  /** Registers an answer; `onDisconnect` is called if the caller disconnects before its end. */
  readonly open: (
    sequence: SequenceId,
    reply: FastifyReply,
    mode: OutputMode,
    onDisconnect: () => void,
  ) => void;
  /** Adds one token to the answer. */
  readonly emit: (sequence: SequenceId, index: number) => void;
  readonly finish: (sequence: SequenceId, reason: FinishReason, usage: Usage) => void;
  readonly refuse: (sequence: SequenceId, status: number, message: string) => void;
  /** Closes the connection of an answer before its end. */
  readonly break: (sequence: SequenceId) => void;
}

/** Model and version that each answer contains. */
export interface OutputMetadata {
  readonly model: string;
  readonly getVersion: () => string;
}

interface Output {
  readonly reply: FastifyReply;
  readonly mode: OutputMode;
  readonly created: number;
  readonly version: string;
  /** Content so far; only used for a `whole` answer. */
  text: string;
}

const toUsage = (usage: Usage): object => ({
  prompt_tokens: usage.promptTokens,
  completion_tokens: usage.completionTokens,
  total_tokens: usage.promptTokens + usage.completionTokens,
  prompt_tokens_details: { cached_tokens: usage.cachedTokens },
});

const sendJson = (output: Output, status: number, body: unknown): void => {
  const { raw } = output.reply;
  raw.writeHead(status, { 'content-type': 'application/json' });
  raw.end(JSON.stringify(body));
};

/**
 * Creates the registry of answers in progress. Answers are written to the raw response, because
 * tokens are produced by effects of the event loop and not by the request's handler.
 *
 * @param metadata - model and version
 * @returns the empty registry
 */
export const createOutputs = (metadata: OutputMetadata): Outputs => {
  const outputs = new Map<SequenceId, Output>();

  const buildCompletion = (
    id: SequenceId,
    output: Output,
    object: string,
    rest: object,
  ): object => ({
    id: `chatcmpl-${id}`,
    object,
    created: output.created,
    model: metadata.model,
    system_fingerprint: output.version,
    ...rest,
  });

  const writeChunk = (id: SequenceId, output: Output, rest: object): void => {
    const { raw } = output.reply;
    if (!raw.headersSent) {
      raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
    }
    const chunk = buildCompletion(id, output, 'chat.completion.chunk', rest);
    raw.write(`data: ${JSON.stringify(chunk)}\n\n`);
  };

  const finishStream = (
    id: SequenceId,
    output: Output,
    reason: FinishReason,
    usage: Usage | 'without-usage',
  ): void => {
    writeChunk(id, output, { choices: [{ index: 0, delta: {}, finish_reason: reason }] });
    if (usage !== 'without-usage') writeChunk(id, output, { choices: [], usage: toUsage(usage) });
    output.reply.raw.end('data: [DONE]\n\n');
  };

  const finishWhole = (
    id: SequenceId,
    output: Output,
    reason: FinishReason,
    usage: Usage,
  ): void => {
    const message = { role: 'assistant', content: output.text };
    const choices = [{ index: 0, message, finish_reason: reason }];
    const body = buildCompletion(id, output, 'chat.completion', { choices, usage: toUsage(usage) });
    sendJson(output, 200, body);
  };

  const removeOutput = (id: SequenceId): Output | undefined => {
    const output = outputs.get(id);
    outputs.delete(id);
    return output;
  };

  return {
    open: (id, reply, mode, onDisconnect) => {
      reply.hijack();
      const created = Math.floor(Date.now() / 1_000);
      outputs.set(id, { reply, mode, created, version: metadata.getVersion(), text: '' });
      reply.raw.once('close', () => {
        if (outputs.delete(id)) onDisconnect();
      });
    },
    emit: (id, index) => {
      const output = outputs.get(id);
      if (output === undefined) return;
      const text = renderToken(id, index);
      switch (output.mode.kind) {
        case 'whole':
          output.text += text;
          return;
        case 'stream': {
          const role = index === 0 ? { role: 'assistant' } : {};
          const delta = { ...role, content: text };
          writeChunk(id, output, { choices: [{ index: 0, delta, finish_reason: null }] });
          return;
        }
        default:
          assertNever(output.mode);
      }
    },
    finish: (id, reason, usage) => {
      const output = removeOutput(id);
      if (output === undefined) return;
      if (output.mode.kind === 'whole') finishWhole(id, output, reason, usage);
      else
        finishStream(
          id,
          output,
          reason,
          output.mode.usage === 'with-usage' ? usage : 'without-usage',
        );
    },
    refuse: (id, status, message) => {
      const output = removeOutput(id);
      if (output !== undefined) {
        sendJson(output, status, { error: { message, type: 'engine_error', code: status } });
      }
    },
    break: (id) => {
      removeOutput(id)?.reply.raw.destroy();
    },
  };
};
