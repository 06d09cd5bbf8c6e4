import { createEngineClient } from '../packages/endpoint/engine/engineClient.js';
import { createSystemClock } from '../packages/core/clock.js';
import type { GenerateCall } from '../packages/endpoint/types.js';

// Program of endlessStreams.test.ts: starts generations at an engine, and ends once each of them has failed.

const GENERATIONS = 16;

const CALL = {
  callId: 'c-1',
  requestId: 'r-1',
  className: 'memo',
  route: 'memo',
  body: Buffer.from('{}'),
} as unknown as GenerateCall;

let running = GENERATIONS;
const client = createEngineClient(
  process.env['ENGINE_URL'] ?? '',
  createSystemClock(),
  ({ kind }) => {
    if (kind !== 'engine-failed') return;
    running -= 1;
    if (running === 0) void client.close();
  },
);
for (let index = 0; index < GENERATIONS; index += 1)
  client.startGeneration(`g-${index.toString()}`, CALL, 1);
