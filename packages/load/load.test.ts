import { mkdtempSync, readFileSync, readdirSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import fastify from 'fastify';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { request } from 'undici';
import { buildArrivals } from './arrivals/buildArrivals.js';
import { sampleLength } from './arrivals/sampleLength.js';
import { EMPTY_ANSWER, checkLength, checkText } from './requests/answerCheck.js';
import { checkExecutions, checkRefusedGeneration } from './requests/executionCheck.js';
import type { RequestRecord } from './requests/types.js';
import { computeVersionShares } from './results/series.js';
import type { EngineCounters } from './samples/types.js';
import { runLoad } from './runLoad.js';
import { loadScenario, parseScenario } from './scenario/loadScenario.js';
import type { Scenario } from './scenario/types.js';
import type { TargetCluster } from './types.js';
import { writeReport } from './writeReport.js';
import { startEngineStandin } from '../standins/engine/startEngineStandin.js';
import { startLedgerStandin } from '../standins/ledger/startLedgerStandin.js';
import { createRandomSource } from '../core/random.js';

const TARGETS = {
  importance: 'standard',
  answerLength: 'long',
  firstTokenMs: 1_000,
  tokenGapMs: 100,
  stallMs: 250,
  deadlineMs: 10_000,
};

const SMALL_SCENARIO = {
  name: 'small',
  seed: 5,
  durationMs: 1_000,
  drainMs: 10_000,
  policies: [{ kind: 'round-robin' }],
  deployment: {
    dataCentres: [{ name: 'a' }],
    entries: 1,
    engines: [{ id: 'e1', dataCentre: 'a', model: 'm', version: 'v1' }],
    services: [{ id: 'l1', dataCentre: 'a', service: 'ledger' }],
  },
  customers: [
    { id: 'large', share: 9 },
    { id: 'small', share: 1 },
  ],
  classes: [
    {
      kind: 'generation',
      name: 'memos',
      arrivalsPerSecond: 30,
      model: 'm',
      prompt: { kind: 'uniform', min: 70, max: 100 },
      output: { kind: 'pareto', min: 4, shape: 1.5, max: 60 },
      targets: TARGETS,
    },
    { kind: 'lookup', name: 'lookups', arrivalsPerSecond: 40, service: 'ledger', targets: TARGETS },
    {
      kind: 'execution',
      name: 'sweeps',
      arrivalsPerSecond: 20,
      service: 'ledger',
      route: 'sweeps',
      targets: TARGETS,
    },
  ],
};

const parseSmallScenario = (overrides: object = {}): Scenario =>
  parseScenario(JSON.stringify({ ...SMALL_SCENARIO, ...overrides })).unwrap();

// Guards against scenario files that the schema no longer accepts or that generate little load.
test('the scenario files are valid and generate load', (t) => {
  for (const file of readdirSync('app/scenarios')) {
    const scenario = loadScenario(join('app/scenarios', file)).unwrap();
    t.is(`${scenario.name}.jsonc`, file);
    t.is(scenario.customers.length, 10);
    t.true(buildArrivals(scenario).length > 1_000);
  }
});

// Guards against a problem in a scenario that is reported without its location.
test('problems of a scenario are reported with path and line', (t) => {
  const text = JSON.stringify({ ...SMALL_SCENARIO, seed: 'five' }, undefined, 1);
  const problems = parseScenario(text).unwrapErr();
  t.deepEqual(
    problems.map(({ path, line }) => [path, line]),
    [['seed', 3]],
  );
});

// Guards against arrivals that depend on anything but scenario and seed, and against wrong rates.
test('arrivals are reproducible, sorted and follow rates, phases and shares', (t) => {
  const scenario = parseSmallScenario({
    durationMs: 100_000,
    phases: [{ name: 'quiet', untilMs: 50_000, rates: { lookups: 0.1 } }],
  });
  const arrivals = buildArrivals(scenario);
  t.deepEqual(arrivals, buildArrivals(scenario));
  t.true(
    arrivals.every(({ atMs }, index) => index === 0 || atMs >= (arrivals[index - 1]?.atMs ?? 0)),
  );
  const count = (className: string, fromMs: number): number =>
    arrivals.filter(
      (arrival) =>
        arrival.className === className && arrival.atMs >= fromMs && arrival.atMs < fromMs + 50_000,
    ).length;
  const isNear = (actual: number, expected: number): boolean =>
    Math.abs(actual - expected) < 5 * Math.sqrt(expected);
  t.true(isNear(count('lookups', 0), 200));
  t.true(isNear(count('lookups', 50_000), 2_000));
  t.true(isNear(count('memos', 0), 1_500));
  t.true(
    isNear(arrivals.filter(({ customer }) => customer === 'large').length, arrivals.length * 0.9),
  );
});

// Guards against sampled lengths that exceed their bounds or lack the long tail.
test('sampled lengths respect bounds, median and tail', (t) => {
  const random = createRandomSource(2);
  const lengths = { kind: 'log-normal', median: 100, sigma: 1, min: 5, max: 2_000 } as const;
  const sampled = Array.from({ length: 4_000 }, () => sampleLength(lengths, random)).sort(
    (a, b) => a - b,
  );
  t.true((sampled[0] ?? 0) >= 5 && (sampled.at(-1) ?? 0) <= 2_000);
  t.true(Math.abs((sampled[2_000] ?? 0) - 100) < 8);
  t.true((sampled[3_960] ?? 0) > 800);
});

// Guards against a check that misses a lost, duplicated or foreign token.
test('every change of a token sequence is detected', (t) => {
  const render = (generation: string, length: number): string[] =>
    Array.from({ length }, (_, index) =>
      index === 0 ? `g${generation} ` : `w${index.toString()} `,
    );
  const listFaults = (tokens: readonly string[], requested: number) =>
    checkLength(tokens.reduce(checkText, EMPTY_ANSWER), requested).faults;
  const checkFaults = (length: number, at: number): void => {
    const tokens = render('ab1', length);
    const index = at % length;
    const faulty = [
      tokens.toSpliced(index, 1),
      tokens.toSpliced(index, 0, tokens[index] as string),
      tokens.toSpliced(index, 0, 'x '),
      tokens.toSpliced(index + 1, 0, 'gcd2 '),
    ];
    if (listFaults(tokens, length).length > 0) throw new Error('a correct answer has faults');
    if (listFaults([tokens.join('')], length).length > 0) throw new Error('chunking adds faults');
    for (const changed of faulty) {
      if (listFaults(changed, length).length === 0) throw new Error(changed.join(''));
    }
  };
  fc.assert(fc.property(fc.integer({ min: 2, max: 40 }), fc.nat(100), checkFaults), {
    seed: 3,
    numRuns: 200,
  });
  t.pass();
});

// Guards against verdicts that are trusted without a check of the executions.
test('executions are compared with the verdict that the caller received', (t) => {
  const record = (outcome: RequestRecord['outcome']) =>
    ({ outcome, retryKinds: [] }) as unknown as RequestRecord;
  const failed = (verdict: 'not-run' | 'may-have-run' | 'ran') =>
    record({ kind: 'failed', verdict, code: 'x', status: 500 });
  t.is(checkExecutions(failed('may-have-run'), 2), 'ran-twice');
  t.is(checkExecutions(failed('may-have-run'), 1), 'none');
  t.is(checkExecutions(failed('not-run'), 1), 'not-run-but-ran');
  t.is(checkExecutions(failed('ran'), 0), 'ran-but-not-run');
  t.is(checkExecutions(record({ kind: 'finished', answer: null }), 0), 'ran-but-not-run');
  t.is(checkRefusedGeneration(failed('not-run'), 1), 'not-run-but-ran');
});

// Guards against wrong version shares when an engine's process and its counters restart.
test('version shares are computed from the starts between samples', (t) => {
  const counters = (engine: string, startedByVersion: Record<string, number>) =>
    ({ engine, startedByVersion }) as unknown as EngineCounters;
  const shares = computeVersionShares([
    { at: 0, counters: [counters('a', { v1: 10 }), counters('b', { v2: 0 })] },
    { at: 500, counters: [counters('a', { v1: 19 }), counters('b', { v2: 1 })] },
    { at: 1_000, counters: [counters('a', { v1: 1 }), counters('b', { v2: 2 })] },
  ]);
  t.deepEqual(
    shares.filter(({ version }) => version === 'v2').map(({ share }) => share),
    [0, 0.1, 0.5],
  );
});

/** Starts a fake entry daemon that forwards all requests to stand-ins, with an optional fault. */
const startCluster = async (fault: 'none' | 'double-tokens' | 'double-calls') => {
  const engine = await startEngineStandin({ warmUpMs: 0, rampMs: 0, stepBaseMs: 2 });
  const ledger = await startLedgerStandin();
  const entry = fastify({ forceCloseConnections: true });
  const forward = async (url: string, { headers, body }: FastifyRequest, method: 'GET' | 'POST') =>
    request(url, {
      method,
      headers: {
        'content-type': 'application/json',
        'idempotency-key': headers['idempotency-key'] ?? '',
      },
      body: method === 'POST' ? JSON.stringify(body) : undefined,
    });
  const answer = (reply: FastifyReply, response: Awaited<ReturnType<typeof forward>>) =>
    reply
      .code(response.statusCode)
      .type(String(response.headers['content-type']))
      .send(response.body);
  entry.post('/v1/chat/completions', async (incoming, reply) => {
    const response = await forward(`${engine.url}/v1/chat/completions`, incoming, 'POST');
    if (fault !== 'double-tokens') return answer(reply, response);
    const text = (await response.body.text()).replace(/data: .*"w2 ".*\n\n/, '$&$&');
    return reply.type('text/event-stream').send(text);
  });
  entry.get('/services/ledger/balances/:account', async (incoming, reply) => {
    const { account } = incoming.params as { account: string };
    return answer(reply, await forward(`${ledger.url}/balances/${account}`, incoming, 'GET'));
  });
  entry.post('/services/ledger/sweeps', async (incoming, reply) => {
    if (fault === 'double-calls')
      await (await forward(`${ledger.url}/sweeps`, incoming, 'POST')).body.dump();
    return answer(reply, await forward(`${ledger.url}/sweeps`, incoming, 'POST'));
  });
  const cluster: TargetCluster = {
    entryUrls: [await entry.listen({ host: '127.0.0.1', port: 0 })],
    customerKeys: { large: 'k1', small: 'k2' },
    engineUrls: { e1: engine.url },
    ledgerUrls: { l1: ledger },
    platformUrl: 'http://127.0.0.1:9',
    applyFault: () => Promise.reject(new Error('no processes')),
    performOperatorAction: () => Promise.resolve(),
  };
  const close = async (): Promise<void> => {
    await entry.close();
    await engine.close();
    await ledger.close();
  };
  return { cluster, close };
};

// Guards against lost requests, inconsistent results and plots that are not rendered.
test('a run against stand-ins produces a complete result and its plots', async (t) => {
  const { cluster, close } = await startCluster('none');
  t.teardown(close);
  const scenario = parseSmallScenario({
    schedule: [
      { atMs: 400, action: { kind: 'engine', id: 'e1', fault: { kind: 'slow', factor: 1.5 } } },
      { atMs: 500, action: { kind: 'process', id: 'entry-1', fault: { kind: 'kill' } } },
    ],
  });
  const result = await runLoad(scenario, cluster, { policy: { kind: 'round-robin' } });
  t.deepEqual(result.violations, []);
  t.is(
    result.classes.reduce((sum, { offered }) => sum + offered, 0),
    buildArrivals(scenario).length,
  );
  for (const { offered, finished, firstToken } of result.classes) {
    t.is(finished, offered);
    t.is(firstToken.count, offered);
  }
  const memos = result.classes[0];
  t.is(memos?.tokenGap.count, (memos?.tokens ?? 0) - (memos?.finished ?? 0));
  t.deepEqual(
    result.actions.map(({ error }) => error),
    ['', 'no processes'],
  );
  t.is(result.engines[0]?.engine, 'e1');
  const paths = await writeReport(mkdtempSync(join(tmpdir(), 'load-')), [result]);
  t.is(paths.length, 8);
  for (const path of paths.slice(1)) t.regex(readFileSync(path, 'utf8'), /^<svg/);
});

// Guards against a violated guarantee that is reported only as a finished request.
test('duplicate tokens and duplicate executions are violations', async (t) => {
  for (const [fault, kind] of [
    ['double-tokens', 'duplicate-token'],
    ['double-calls', 'ran-twice'],
  ] as const) {
    const { cluster, close } = await startCluster(fault);
    const result = await runLoad(parseSmallScenario(), cluster, {
      policy: { kind: 'round-robin' },
    });
    await close();
    t.true(result.violations.length > 0);
    t.true(result.violations.every((violation) => violation.kind === kind));
  }
});
