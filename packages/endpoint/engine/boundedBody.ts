import { appendChunk, createByteBlocks, takeParts } from '../../core/bytes/byteBlocks.js';

/**
 * Reads a response body into memory, up to a limit. Leaving the loop early closes the connection.
 *
 * @param body - chunks of the body
 * @param maxBytes - limit of its size
 * @returns the whole body
 * @throws Error when the body is larger
 */
export const readBoundedBody = async (
  body: AsyncIterable<unknown>,
  maxBytes: number,
): Promise<Buffer> => {
  const content = createByteBlocks();
  for await (const chunk of body as AsyncIterable<Uint8Array>) {
    if (content.length + chunk.length > maxBytes)
      throw new Error(`the body exceeds ${maxBytes.toString()} bytes`);
    appendChunk(content, chunk);
  }
  return Buffer.concat(takeParts(content));
};
