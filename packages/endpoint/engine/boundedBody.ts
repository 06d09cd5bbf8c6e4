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
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body as AsyncIterable<Uint8Array>) {
    size += chunk.length;
    if (size > maxBytes) throw new Error(`the body exceeds ${maxBytes.toString()} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};
