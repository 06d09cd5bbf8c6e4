import { create, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import { openCallMemory } from './callMemory.js';
import { readCallMessage } from './callMessage.js';
import type { MessageResult } from './callMessage.js';
import { FenceRequestSchema } from './gen/chestnutspan/v1/chestnutspan_pb.js';
import { countKeptParts } from '../core/bytes/keptParts.fixture.js';
import { createMemoryAccount } from '../core/memory/memoryAccount.js';

const ACCOUNT_BYTES = 1024 * 1024;

const readMessage = (parts: AsyncIterable<Uint8Array>): Promise<MessageResult> => {
  const memory = openCallMemory(createMemoryAccount(ACCOUNT_BYTES));
  return readCallMessage(parts, 'plain', FenceRequestSchema, memory);
};

// Guards against a message whose parts cost more than its bytes, which are all that is reserved: a part of
// one byte is an object of some 200.
test('the parts of a message are not kept, however small they are', async (t) => {
  const kept = [await countKeptParts(1_000, readMessage), await countKeptParts(2_000, readMessage)];
  t.true(Math.max(...kept) <= 2, kept.join(', '));
});

// Guards against bytes that are lost or swapped where parts are joined.
test('a message is whole in whatever parts it arrives', async (t) => {
  const request = create(FenceRequestSchema, { format: 1, nonce: 'a'.repeat(5_000) });
  const message = toBinary(FenceRequestSchema, request);
  const bytes = Array.from(message, (byte) => Buffer.from([byte]));
  for (const parts of [bytes, [message], [Buffer.alloc(0), message]]) {
    async function* sendParts() {
      yield* parts;
    }
    const result = await readMessage(sendParts());
    t.deepEqual(result.kind === 'whole' ? Buffer.from(result.bytes) : null, Buffer.from(message));
  }
});
