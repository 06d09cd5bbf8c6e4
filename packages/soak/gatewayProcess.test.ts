import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { createGatewayProcess } from './gatewayProcess.js';
import type { SoakPlatform } from './soakPlatform.js';
import { createSystemClock } from '../core/clock.js';

/** Program that runs until it is killed. */
const PROGRAM = ['-e', 'setInterval(() => undefined, 1_000)'];

// Guards against a soak that waits for ever: a gateway stayed killed when its end was reported only after
// the order to start it again (seed 42103 on a busy machine).
test('a killed gateway is started again although its end has not been reported', async (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'gateway-process-'));
  const gateway = createGatewayProcess({
    index: 0,
    platform: {
      program: PROGRAM,
      settingsVariable: 'SETTINGS',
      formatSettings: () => '{}',
    } as unknown as SoakPlatform,
    spec: { name: 'gateway-0' } as Parameters<SoakPlatform['formatSettings']>[0],
    directory,
    clock: createSystemClock(),
    onFinding: ({ detail }) => t.fail(detail),
    onTermination: () => undefined,
  });
  gateway.start();
  gateway.kill();
  gateway.start();
  await gateway.waitUntilRunning();
  t.is(gateway.getIncarnation(), 2);
  await gateway.end();
  rmSync(directory, { recursive: true });
});
