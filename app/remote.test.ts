import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import fastify from 'fastify';
import { runProgram } from './testing.js';
import { buildEvent } from '../packages/timeline/events.fixture.js';

const OPERATOR_ENVIRONMENT = { CHESTNUTSPAN_OPERATOR_KEY: 'operator-key' };
const DIRECTORY = mkdtempSync(join(tmpdir(), 'chestnutspan-cli-'));

test.after.always(() => {
  rmSync(DIRECTORY, { recursive: true, force: true });
});

type CannedResponse = readonly [status: number, body: unknown];

interface Posted {
  readonly dryRun: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Starts a fake operator interface that records the requests that it receives. */
const startOperator = async (response: CannedResponse) => {
  const posted: Posted[] = [];
  const app = fastify();
  app.addHook('onRequest', async (request, reply) => {
    if (request.headers.authorization !== 'Bearer operator-key') {
      await reply.code(401).send({ code: 'unauthorized', detail: 'unknown operator key' });
    }
  });
  app.get('/operator/configuration', () => ({
    offset: 12,
    entities: [
      { kind: 'data-centre', entity: 'dc-a', offset: 9, body: { state: 'in' }, author: 'ann' },
    ],
  }));
  app.get('/operator/moves', () => ({
    moves: [
      {
        name: 'm',
        model: 'x',
        from: 'v1',
        to: 'v2',
        deadline: 0,
        share: 0.05,
        state: 'moving',
        reason: '',
      },
    ],
  }));
  app.post<{ Querystring: { dryRun: string }; Body: Posted['body'] }>(
    '/operator/records',
    async (request, reply) => {
      posted.push({ dryRun: request.query.dryRun, body: request.body });
      await reply.code(response[0]).send(response[1]);
    },
  );
  const url = await app.listen({ host: '127.0.0.1', port: 0 });
  return { url, posted, close: () => app.close() };
};

const runOperator = async (response: CannedResponse, ...argv: readonly string[]) => {
  const operator = await startOperator(response);
  const result = await runProgram([...argv, '--operator-url', operator.url], OPERATOR_ENVIRONMENT);
  await operator.close();
  return { ...result, posted: operator.posted };
};

// Guards against a change that overwrites a newer one by another operator.
test('a change is based on the offset in force and a lost race names the winner', async (t) => {
  const winner = { offset: 11, author: 'bob' };
  const lost = await runOperator(
    [409, { code: 'lost-race', winner }],
    'data-centre',
    'out',
    'dc-a',
  );
  t.is(lost.code, 75);
  t.regex(lost.stderr, /bob changed it at offset 11/);
  t.deepEqual(lost.posted, [
    {
      dryRun: 'false',
      body: { kind: 'data-centre', entity: 'dc-a', basedOn: 9, body: { state: 'out' } },
    },
  ]);
});

// Guards against a dry run that publishes, and against a new entity that is sent with an offset.
test('a dry run requests the change without publishing it', async (t) => {
  const file = join(DIRECTORY, 'targets.jsonc');
  writeFileSync(file, '{ "lookups": { "firstTokenMs": 400 } } // classes');
  const response: CannedResponse = [200, { result: 'dry-run', change: 'lookups: added' }];
  const result = await runOperator(response, 'targets', 'publish', file, '--dry-run', '--json');
  t.is(result.code, 0);
  t.like(JSON.parse(result.stdout), { result: 'dry-run', change: 'lookups: added' });
  t.is(result.posted[0]?.dryRun, 'true');
  t.like(result.posted[0]?.body, {
    kind: 'targets',
    basedOn: null,
    body: { lookups: { firstTokenMs: 400 } },
  });
});

// Guards against a move that is published with a deadline in the past, which it can never meet.
test('move start publishes a record, and move list prints the moves', async (t) => {
  const argv = ['move', 'start', 'm', '--model', 'x', '--from', 'v1', '--to', 'v2'];
  const inForce: CannedResponse = [200, { result: 'in-force', offset: 13 }];
  const late = await runOperator(inForce, ...argv, '--deadline', '2001-01-01');
  t.is(late.code, 64);
  const started = await runOperator(inForce, ...argv, '--finish-in-ms', '60000', '--based-on', '7');
  t.is(started.stdout, 'move m is in force at offset 13\n');
  const record = started.posted[0]?.body;
  t.like(record, { kind: 'move', entity: 'm', basedOn: 7 });
  const { deadline, startedAt } = record?.body as { deadline: number; startedAt: number };
  t.is(deadline - startedAt, 60_000);
  const listed = await runOperator(inForce, 'move', 'list');
  t.regex(listed.stdout, /^m x v1 -> v2 5\.0% moving, deadline/);
  t.is((await runOperator(inForce, 'move', 'status', 'other')).code, 64);
});

// Guards against exit codes that make a script retry a permanent failure, or give up on a temporary
// one.
test('refused requests and unreachable daemons have distinct exit codes', async (t) => {
  const argv = ['data-centre', 'back', 'dc-a'] as const;
  t.is((await runOperator([422, { detail: 'no such data centre' }], ...argv)).code, 78);
  t.is((await runOperator([503, { code: 'log-unavailable' }], ...argv)).code, 75);
  t.is((await runOperator([500, {}], ...argv)).code, 70);
  const unreachable = await runProgram(
    [...argv, '--operator-url', 'http://127.0.0.1:1'],
    OPERATOR_ENVIRONMENT,
  );
  t.is(unreachable.code, 75);
  t.regex(unreachable.stderr, /nothing was changed/);
  const withoutKey = await runProgram([...argv, '--operator-url', 'http://127.0.0.1:1']);
  t.is(withoutKey.code, 64);
});

/** Starts two fake daemons linked by one message; the instance list also has an unreachable one. */
const startDaemons = async () => {
  const app = fastify();
  const placed = { candidates: ['e1 score=1'], chosen: 'e1', reason: 'only one' };
  const buildPage = (process: string, events: readonly unknown[]) => ({
    process,
    role: 'entry',
    incarnation: '1',
    events,
  });
  app.get('/a/debug/events', () =>
    buildPage('a', [
      buildEvent('a', 0, 9_000, { requestId: 'r', data: placed }, 'request-placed'),
      buildEvent('a', 1, 9_001, { requestId: 'r', endpoint: 'e1', sent: 'm1' }, 'attempt-started'),
      buildEvent('a', 2, 9_002, { entity: 'mv', data: { share: 0.05 } }, 'move-share-changed'),
    ]),
  );
  app.get('/b/debug/events', () =>
    buildPage('b', [
      buildEvent('b', 0, 1, { requestId: 'r', received: 'm1' }, 'generation-started'),
    ]),
  );
  app.get('/instances', (request) => {
    const base = `http://${request.headers.host ?? ''}`;
    const urls = [`${base}/a`, `${base}/b`, 'http://127.0.0.1:1'];
    return { instances: urls.map((httpUrl, id) => ({ id: id.toString(), httpUrl })) };
  });
  const url = await app.listen({ host: '127.0.0.1', port: 0 });
  return { url, close: () => app.close() };
};

// Guards against an unreachable daemon that prevents the events of the others from being shown.
test('timeline and explain read all daemons and warn about a missing one', async (t) => {
  const daemons = await startDaemons();
  const urls = ['--list-url', daemons.url, '--url', `${daemons.url}/a`];
  const text = await runProgram(['timeline', ...urls, '--request', 'r']);
  t.is(text.code, 0);
  t.deepEqual(
    [...text.stdout.matchAll(/ ([a-z]+-[a-z]+) /g)].map(([, name]) => name),
    ['request-placed', 'attempt-started', 'generation-started'],
  );
  t.regex(text.stderr, /127\.0\.0\.1:1.* does not answer/);
  const file = join(DIRECTORY, 'timeline.html');
  await runProgram(['timeline', ...urls, '--format', 'html', '--output', file]);
  t.regex(readFileSync(file, 'utf8'), /class="arrow message"/);
  const explained = await runProgram(['explain', 'r', ...urls, '--json']);
  t.like(JSON.parse(explained.stdout), { end: 'in-progress', placements: [{ chosen: 'e1' }] });
  const move = await runProgram(['explain', 'move', 'mv', ...urls]);
  t.regex(move.stdout, /^move mv: running\n {2}a move-share-changed: share 5\.0%/);
  await daemons.close();
});

// Guards against a command that could not read any events and reports an empty timeline as success.
test('timeline exits with 64 without a source and with 75 when no source answers', async (t) => {
  t.is((await runProgram(['timeline'])).code, 64);
  t.is((await runProgram(['timeline', '--list-url', 'http://127.0.0.1:1'])).code, 75);
});
