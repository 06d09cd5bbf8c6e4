import test from 'ava';
import OpenAI from 'openai';
import { startEngineStandin } from './startEngineStandin.js';
import type { EngineOptions } from './types.js';

const startClient = async (options: EngineOptions = {}) => {
  const engine = await startEngineStandin({ warmUpMs: 0, rampMs: 0, stepBaseMs: 1, ...options });
  const get = async (path: string): Promise<Record<string, unknown>> =>
    (await (await fetch(`${engine.url}${path}`)).json()) as Record<string, unknown>;
  const post = async (path: string, body: unknown): Promise<number> => {
    const headers = { 'content-type': 'application/json' };
    const request = { method: 'POST', headers, body: JSON.stringify(body) };
    return (await fetch(`${engine.url}${path}`, request)).status;
  };
  const openai = new OpenAI({ baseURL: `${engine.url}/v1`, apiKey: 'none', maxRetries: 0 });
  return { engine, get, post, openai };
};

const buildBody = (tokens: number) => ({
  model: 'standin',
  messages: [{ role: 'user' as const, content: 'Draft a memo.' }],
  metadata: { target_tokens: tokens.toString() },
});

// Guards against answers that a common client library cannot parse.
test('a chat completions client reads whole and streamed answers', async (t) => {
  const { engine, openai, get } = await startClient();
  t.teardown(engine.close);
  const whole = await openai.chat.completions.create(buildBody(4));
  t.regex(whole.choices[0]?.message.content ?? '', /^g[0-9a-f]+ w1 w2 w3 $/);
  t.is(whole.usage?.completion_tokens, 4);
  const stream = await openai.chat.completions.create({
    ...buildBody(3),
    stream: true,
    stream_options: { include_usage: true },
  });
  const texts: string[] = [];
  let completionTokens = 0;
  for await (const chunk of stream) {
    const content = chunk.choices[0]?.delta.content;
    if (content !== undefined && content !== null) texts.push(content);
    completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
  }
  t.deepEqual(texts.slice(1), ['w1 ', 'w2 ']);
  t.is(completionTokens, 3);
  t.is((await openai.models.list()).data[0]?.id, 'standin');
  t.is((await get('/health')).status, 'ready');
  t.is((await get('/standin/stats')).finished, 2);
});

// Guards against a generation that keeps running after its caller disconnected.
test('a closed connection cancels its sequence', async (t) => {
  const { engine, openai, get } = await startClient();
  t.teardown(engine.close);
  const stream = await openai.chat.completions.create({ ...buildBody(100_000), stream: true });
  for await (const chunk of stream) if (chunk.choices.length > 0) break;
  while ((await get('/standin/stats')).cancelled !== 1);
  t.is((await get('/standin/stats')).running, 0);
});

// Guards against a crash that leaves connections open or keeps the start identity.
test('a crash breaks streams and the engine returns with another start identity', async (t) => {
  const { engine, openai, get, post } = await startClient();
  t.teardown(engine.close);
  const before = (await get('/health')).startId;
  const stream = await openai.chat.completions.create({ ...buildBody(100_000), stream: true });
  await t.throwsAsync(async () => {
    for await (const chunk of stream) {
      if (chunk.choices.length > 0) await post('/faults', { kind: 'crash', downMs: 1 });
    }
  });
  while ((await get('/health').catch(() => ({ startId: before }))).startId === before);
  t.is((await get('/standin/stats')).lost, 1);
});

// Guards against a refused control order that is answered as if it was accepted.
test('control orders are accepted or refused over HTTP', async (t) => {
  const { engine, get, post } = await startClient({ loadVersionMs: 0 });
  t.teardown(engine.close);
  t.is(await post('/control/order', { kind: 'load-version', fencing: 2, version: 'v2' }), 200);
  t.is(await post('/control/order', { kind: 'load-version', fencing: 1, version: 'v1' }), 409);
  while ((await get('/health')).version !== 'v2');
  t.is(await post('/faults', { kind: 'unknown' }), 400);
});
