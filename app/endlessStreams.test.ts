import { fileURLToPath } from 'node:url';
import test from 'ava';
import {
  CHUNKED_HEAD,
  OK_HEAD,
  startEndlessServer,
} from '../packages/gateway/endpoints/endlessServer.fixture.js';
import { startProgram } from '../packages/soak/startProgram.js';

const PROGRAM = fileURLToPath(new URL('./endlessStreams.fixture.js', import.meta.url));

/** Heap of the daemons on the smallest machines. */
const HEAP_FLAG = '--max-old-space-size=90';

const LINE = 'data: a\n';

// Guards against an engine that sends lines of an event without end: the daemon that reads them runs out of
// memory, and all of its streams end with it.
for (const [name, head, piece] of [
  ['lines of an event', `${OK_HEAD}\r\n`, LINE],
  ['lines of an event in chunks', CHUNKED_HEAD, `${LINE.length.toString()}\r\n${LINE}\r\n`],
  ['blank lines', `${OK_HEAD}\r\n`, '\n'],
] as const) {
  test.serial(`generations that get ${name} without end fail one by one`, async (t) => {
    const { port } = await startEndlessServer(t, head, piece);
    const url = `http://127.0.0.1:${port.toString()}`;
    const program = startProgram(PROGRAM, { ENGINE_URL: url }, [HEAP_FLAG]);
    t.teardown(() => program.kill('SIGKILL'));
    const ended = await new Promise((resolve) => {
      program.on('exit', (code, signal) => {
        resolve(code ?? signal);
      });
    });
    t.is(ended, 0);
  });
}
