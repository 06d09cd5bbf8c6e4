import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import fastify from 'fastify';
import { runProgram } from './testing.js';
import { buildEvent } from '../packages/timeline/testEvents.js';

const KEY = { CHESTNUTSPAN_OPERATOR_KEY: 'operator-key' };
const FOLDER = mkdtempSync(join(tmpdir(), 'chestnutspan-cli-'));

test.after.always(() => {
  rmSync(FOLDER, { recursive: true, force: true });
});

type Answer = readonly [status: number, body: unknown];

interface Posted {
  readonly dryRun: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Fake of the operator interface that records what it gets. */
const startOperator = async (answer: Answer) => {
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
      await reply.code(answer[0]).send(answer[1]);
    },
  );
  const url = await app.listen({ host: '127.0.0.1', port: 0 });
  return { url, posted, close: () => app.close() };
};

const runOperator = async (answer: Answer, ...argv: readonly string[]) => {
  const operator = await startOperator(answer);
  const ended = await runProgram([...argv, '--operator-url', operator.url], KEY);
  await operator.close();
  return { ...ended, posted: operator.posted };
};

// Guards against a change that overwrites another operator's newer one.
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

// Guards against a dry run that publishes, and against a new entity with a made-up offset.
test('a dry run asks for the change only', async (t) => {
  const file = join(FOLDER, 'targets.jsonc');
  writeFileSync(file, '{ "lookups": { "firstTokenMs": 400 } } // classes');
  const answer: Answer = [200, { result: 'dry-run', change: 'lookups: added' }];
  const ended = await runOperator(answer, 'targets', 'publish', file, '--dry-run', '--json');
  t.is(ended.code, 0);
  t.like(JSON.parse(ended.stdout), { result: 'dry-run', change: 'lookups: added' });
  t.is(ended.posted[0]?.dryRun, 'true');
  t.like(ended.posted[0]?.body, {
    kind: 'targets',
    basedOn: null,
    body: { lookups: { firstTokenMs: 400 } },
  });
});

// Guards against a move without a usable deadline, which could never finish on schedule.
test('a move is started with its record, and moves are listed', async (t) => {
  const argv = ['move', 'start', 'm', '--model', 'x', '--from', 'v1', '--to', 'v2'];
  const inForce: Answer = [200, { result: 'in-force', offset: 13 }];
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

// Guards against exit codes that make a script repeat what cannot succeed, or give up too early.
test('refusals and silence have exit codes of their own', async (t) => {
  const argv = ['data-centre', 'back', 'dc-a'] as const;
  t.is((await runOperator([422, { detail: 'no such data centre' }], ...argv)).code, 78);
  t.is((await runOperator([503, { code: 'log-unavailable' }], ...argv)).code, 75);
  t.is((await runOperator([500, {}], ...argv)).code, 70);
  const closed = await runProgram([...argv, '--operator-url', 'http://127.0.0.1:1'], KEY);
  t.is(closed.code, 75);
  t.regex(closed.stderr, /nothing was changed/);
  const unnamed = await runProgram([...argv, '--operator-url', 'http://127.0.0.1:1']);
  t.is(unnamed.code, 64);
});

/** Fake daemons with one message between them, and an instance list that also names a dead one. */
const startFleet = async () => {
  const app = fastify();
  const placed = { candidates: ['e1 score=1'], chosen: 'e1', reason: 'only one' };
  const page = (process: string, events: readonly unknown[]) => ({
    process,
    role: 'entry',
    incarnation: '1',
    events,
  });
  app.get('/a/debug/events', () =>
    page('a', [
      buildEvent('a', 0, 9_000, { requestId: 'r', data: placed }, 'request-placed'),
      buildEvent('a', 1, 9_001, { requestId: 'r', endpoint: 'e1', sent: 'm1' }, 'attempt-started'),
      buildEvent('a', 2, 9_002, { entity: 'mv', data: { share: 0.05 } }, 'move-share-changed'),
    ]),
  );
  app.get('/b/debug/events', () =>
    page('b', [buildEvent('b', 0, 1, { requestId: 'r', received: 'm1' }, 'generation-started')]),
  );
  app.get('/instances', (request) => {
    const base = `http://${request.headers.host ?? ''}`;
    const urls = [`${base}/a`, `${base}/b`, 'http://127.0.0.1:1'];
    return { instances: urls.map((httpUrl, id) => ({ id: id.toString(), httpUrl })) };
  });
  const url = await app.listen({ host: '127.0.0.1', port: 0 });
  return { url, close: () => app.close() };
};

// Guards against an unreachable daemon that hides the events of the others.
test('timeline and explain read all daemons and warn about a missing one', async (t) => {
  const fleet = await startFleet();
  const urls = ['--list-url', fleet.url, '--url', `${fleet.url}/a`];
  const text = await runProgram(['timeline', ...urls, '--request', 'r']);
  t.is(text.code, 0);
  t.deepEqual(
    [...text.stdout.matchAll(/ ([a-z]+-[a-z]+) /g)].map(([, name]) => name),
    ['request-placed', 'attempt-started', 'generation-started'],
  );
  t.regex(text.stderr, /127\.0\.0\.1:1.* does not answer/);
  const file = join(FOLDER, 'timeline.html');
  await runProgram(['timeline', ...urls, '--format', 'html', '--output', file]);
  t.regex(readFileSync(file, 'utf8'), /class="arrow message"/);
  const explained = await runProgram(['explain', 'r', ...urls, '--json']);
  t.like(JSON.parse(explained.stdout), { end: 'in-progress', placements: [{ chosen: 'e1' }] });
  const move = await runProgram(['explain', 'move', 'mv', ...urls]);
  t.regex(move.stdout, /^move mv: running\n {2}a move-share-changed: share 5\.0%/);
  await fleet.close();
});

// Guards against a command that reads nothing and reports an empty but good result.
test('without a source the command line is wrong, without an answer it may be tried again', async (t) => {
  t.is((await runProgram(['timeline'])).code, 64);
  t.is((await runProgram(['timeline', '--list-url', 'http://127.0.0.1:1'])).code, 75);
});
