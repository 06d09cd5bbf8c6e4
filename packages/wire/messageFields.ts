import type { DescMessage } from '@bufbuild/protobuf';
import { BinaryReader, WireType } from '@bufbuild/protobuf/wire';
import { Result } from 'ts-results-es';

const findMessage = (schema: DescMessage, fieldNumber: number): DescMessage | undefined =>
  schema.fields.find(({ number }) => number === fieldNumber)?.message;

/** Reads one field, and returns the number of fields in it; a message in it has fields of its own. */
const countField = (reader: BinaryReader, schema: DescMessage): number => {
  const [fieldNumber, wireType] = reader.tag();
  const nested =
    wireType === WireType.LengthDelimited ? findMessage(schema, fieldNumber) : undefined;
  if (nested !== undefined) return 1 + countFields(reader.bytes(), nested);
  reader.skip(wireType, fieldNumber);
  return 1;
};

/**
 * Counts the fields of an encoded message and of the messages in it, without decoding their values.
 * Ends where the bytes are malformed, as the decoder does, which has decoded what is before.
 *
 * @param bytes - encoded message
 * @param schema - type of the message
 * @returns the number of fields
 */
export const countFields = (bytes: Uint8Array, schema: DescMessage): number => {
  const reader = new BinaryReader(bytes);
  let count = 0;
  while (reader.pos < reader.len) {
    const fields = Result.wrap(() => countField(reader, schema));
    if (fields.isErr()) return count;
    count += fields.value;
  }
  return count;
};
