import test from 'ava';
import { decideControl } from './control/controlChild.js';
import { buildPrompt, computeOutputTokens, hashPromptPrefix, renderToken } from './prompts.js';
import { EMPTY_CACHE_LOG, readCacheEvents, appendCacheEvents } from './scheduler/cacheLog.js';
import { computeConcurrencyLimit } from './scheduler/ramp.js';
import { CHAT_SCHEMA } from './schemas.js';
import { buildSubmission } from './submission.js';
import { DEFAULT_ENGINE_SETTINGS } from './constants.js';
import { createRandomSource } from '../../core/random.js';

// Guards against prefix hashes that differ for prompts with the same first 256 characters.
test('the prefix hash covers the first 256 characters of all contents', (t) => {
  const shared = 'x'.repeat(200);
  const build = (tail: string) =>
    buildPrompt([
      { role: 'system', content: shared },
      { role: 'user', content: [{ type: 'text', text: `${'y'.repeat(56)}${tail}` }] },
    ]);
  t.is(hashPromptPrefix(build('one')), hashPromptPrefix(build('two')));
  t.not(hashPromptPrefix(build('one')), hashPromptPrefix(shared));
});

// Guards against token strings that don't show a missing, reordered or foreign token.
test('the first token contains the generation id and the others their index', (t) => {
  t.deepEqual(
    [0, 1, 17].map((index) => renderToken('abc', index)),
    ['gabc ', 'w1 ', 'w17 '],
  );
});

// Guards against output lengths that differ between two runs of a prompt or lack a long tail.
test('output lengths are deterministic and long-tailed', (t) => {
  const lengths = Array.from({ length: 2_000 }, (_, index) =>
    computeOutputTokens(`prompt ${index.toString()}`, 1, 100),
  );
  t.is(lengths[5], computeOutputTokens('prompt 5', 1, 100));
  const mean = lengths.reduce((sum, length) => sum + length, 0) / lengths.length;
  t.true(mean > 85 && mean < 115, `mean ${mean.toString()}`);
  t.true(Math.max(...lengths) > 400);
});

// Guards against an output longer than the caller's limit.
test('max_tokens caps the output and sets the finish reason to length', (t) => {
  const build = (body: object) =>
    buildSubmission(
      's',
      CHAT_SCHEMA.parse({ messages: [{ role: 'user', content: 'hello' }], ...body }),
      { requestId: 'r', className: undefined },
      DEFAULT_ENGINE_SETTINGS,
    );
  const capped = build({ max_tokens: 5, metadata: { target_tokens: '9' } });
  t.deepEqual([capped.targetTokens, capped.finishReason], [5, 'length']);
  const whole = build({ max_tokens: 50, metadata: { target_tokens: '9' }, priority: 3 });
  t.deepEqual([whole.targetTokens, whole.finishReason, whole.priority], [9, 'stop', 3]);
});

// Guards against cache events that are published at once or never lost.
test('cache events are published after the lag and with gaps', (t) => {
  const changes = Array.from({ length: 200 }, (_, index) => ({
    kind: 'stored' as const,
    prefix: index.toString(),
  }));
  const log = appendCacheEvents(EMPTY_CACHE_LOG, changes, 0.1, createRandomSource(1).next, 1_000);
  t.is(log.nextSequence, 200);
  t.true(log.events.length < 200 && log.events.length > 150);
  t.deepEqual(readCacheEvents(log, 0, 500, 1_499), { events: [], next: 0 });
  const page = readCacheEvents(log, 100, 500, 1_500);
  t.true(page.events.every(({ sequence }) => sequence >= 100));
  t.is(page.next, (page.events.at(-1)?.sequence ?? 0) + 1);
});

// Guards against a ramp that starts too high or never ends.
test('the concurrency limit grows from the cold value until the engine is warm', (t) => {
  const ramp = { coldConcurrency: 2, warmConcurrency: 12, rampMs: 1_000 };
  t.deepEqual(computeConcurrencyLimit(500, ramp, 500), { kind: 'cold', concurrency: 2 });
  t.deepEqual(computeConcurrencyLimit(500, ramp, 1_000), { kind: 'cold', concurrency: 7 });
  t.deepEqual(computeConcurrencyLimit(500, ramp, 1_500), { kind: 'warm' });
});

// Guards against a stand-in that always refuses stale orders, although some engines accept them.
test('a stale fencing number is refused only when the engine checks it', (t) => {
  const order = { kind: 'load-version', fencing: 3, version: 'v2' } as const;
  const state = {
    newestFencing: 4,
    role: 'serve',
    adapters: [],
    accepted: 0,
    refused: 0,
    staleAccepted: 0,
  };
  const event = { kind: 'order', reply: 1, order } as const;
  const checked = decideControl(state, event, { fencing: 'checked', loadVersionMs: 10 });
  t.deepEqual(
    checked.effects.map(({ kind }) => kind),
    ['answer'],
  );
  t.is(checked.state.refused, 1);
  const ignored = decideControl(state, event, { fencing: 'ignored', loadVersionMs: 10 });
  t.deepEqual(
    ignored.effects.map(({ kind }) => kind),
    ['answer', 'schedule'],
  );
  t.is(ignored.state.staleAccepted, 1);
});
