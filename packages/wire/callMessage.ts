import type { DescMessage } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { CallMemory } from './callMemory.js';
import { FIELD_OVERHEAD_BYTES, MAX_MESSAGE_BYTES, MESSAGE_COPIES } from './constants.js';
import { countFields } from './messageFields.js';
import { appendChunk, createByteBlocks, takeParts } from '../core/bytes/byteBlocks.js';

/** How the message of a call is framed: alone, or behind a prefix of flags and length. */
export type MessageFraming = 'plain' | 'prefixed';

const PREFIX_BYTES = 5;

/** Why a message was not read; `no-room` says nothing against its sender. */
export type MessageRefusal =
  { readonly kind: 'no-room' } | { readonly kind: 'invalid'; readonly error: ConnectError };

/** Message that was read whole, or the reason for its refusal. */
export type MessageResult = { readonly kind: 'whole'; readonly bytes: Uint8Array } | MessageRefusal;

const buildRefusal = (message: string, code: Code): MessageRefusal => ({
  kind: 'invalid',
  error: new ConnectError(message, code),
});

const TOO_LARGE = buildRefusal(
  `the message is larger than configured readMaxBytes ${MAX_MESSAGE_BYTES.toString()}`,
  Code.ResourceExhausted,
);
const COMPRESSED = buildRefusal('compressed messages are not supported', Code.Unimplemented);
const FURTHER = buildRefusal('the call has more than one message', Code.InvalidArgument);

/** Checks what the decoder makes of a message before it runs; it refuses malformed ones itself. */
const checkFields = (
  bytes: Uint8Array,
  schema: DescMessage,
  memory: CallMemory,
): MessageRefusal | null => {
  const fields = countFields(bytes, schema);
  const isReserved = memory.reserve(fields * FIELD_OVERHEAD_BYTES) === 'reserved';
  return isReserved ? null : { kind: 'no-room' };
};

const checkMessage = (
  bytes: Buffer,
  framing: MessageFraming,
  schema: DescMessage,
  memory: CallMemory,
): MessageRefusal | null => {
  if (framing === 'plain') return checkFields(bytes, schema, memory);
  // The library refuses an envelope that is not complete.
  if (bytes.length < PREFIX_BYTES) return null;
  if (bytes[0] !== 0) return COMPRESSED;
  if (bytes.readUInt32BE(1) < bytes.length - PREFIX_BYTES) return FURTHER;
  return checkFields(bytes.subarray(PREFIX_BYTES), schema, memory);
};

/**
 * Reads the one message of a call. Its memory is reserved before it is kept and before it is decoded.
 *
 * @param parts - body of the call
 * @param framing - how the body holds the message
 * @param schema - type of the message
 * @param memory - memory of the call
 * @returns the body, or why it was refused
 */
export const readCallMessage = async (
  parts: AsyncIterable<Uint8Array>,
  framing: MessageFraming,
  schema: DescMessage,
  memory: CallMemory,
): Promise<MessageResult> => {
  const content = createByteBlocks();
  for await (const part of parts) {
    if (content.length + part.length > MAX_MESSAGE_BYTES + PREFIX_BYTES) return TOO_LARGE;
    if (memory.reserve(part.length * MESSAGE_COPIES) === 'full') return { kind: 'no-room' };
    appendChunk(content, part);
  }
  const bytes = Buffer.concat(takeParts(content));
  return checkMessage(bytes, framing, schema, memory) ?? { kind: 'whole', bytes };
};
