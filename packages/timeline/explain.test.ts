import test from 'ava';
import { explainMove } from './explainMove.js';
import { explainRequest } from './explainRequest.js';
import { mergeTimelines } from './merge.js';
import { renderExplanationText, renderMoveText } from './renderExplanation.js';
import { buildEvent, buildLog } from './events.fixture.js';
import type { EventDetails, LoggedEvent } from '../core/events/types.js';

type Line = readonly [name: LoggedEvent['name'], details: EventDetails];

const mergeLines = (process: string, lines: readonly Line[]) =>
  mergeTimelines([
    buildLog(
      process,
      lines.map(([name, details], sequence) =>
        buildEvent(process, sequence, sequence * 10, details, name),
      ),
    ),
  ]);

const REQUEST_LINES: readonly Line[] = [
  ['request-received', { requestId: 'r1' }],
  ['request-queued', { requestId: 'r1', data: { reason: 'no endpoint has free capacity' } }],
  ['request-received', { requestId: 'other' }],
  [
    'request-placed',
    {
      requestId: 'r1',
      data: {
        candidates: ['e1 score=0.2', 'e2 score=0.7'],
        chosen: 'e2',
        reason: 'most predicted headroom',
      },
    },
  ],
  ['attempt-started', { requestId: 'r1', endpoint: 'e2', sent: 'm1' }],
  ['attempt-started', { requestId: 'other', endpoint: 'e2', sent: 'm2' }],
  [
    'attempt-ended',
    { requestId: 'r1', data: { endpoint: 'e2', verdict: 'not-run', code: 'overloaded' } },
  ],
  ['attempt-started', { requestId: 'r1', endpoint: 'e1', sent: 'm3' }],
  ['stream-stalled', { requestId: 'r1', data: { stallMs: 450, cause: 'engine preempted' } }],
  [
    'request-failed',
    {
      requestId: 'r1',
      data: { verdict: 'may-have-run', code: 'stream-lost', reason: 'endpoint e1 died' },
    },
  ],
];

// Guards against an explanation that mixes requests or matches an attempt with the end of another.
test('a request is explained only from its own events', (t) => {
  const explanation = explainRequest(mergeLines('entry', REQUEST_LINES), 'r1');
  t.is(explanation.end, 'failed');
  t.deepEqual(explanation.placements[0]?.candidates, ['e1 score=0.2', 'e2 score=0.7']);
  t.deepEqual(explanation.attempts, [
    {
      process: 'entry',
      endpoint: 'e2',
      sent: 'm1',
      verdict: 'not-run',
      code: 'overloaded',
      durationMs: 20,
    },
    { process: 'entry', endpoint: 'e1', sent: 'm3', verdict: 'in-progress' },
  ]);
  t.deepEqual(
    explanation.waits.map(({ kind, durationMs }) => [kind, durationMs]),
    [
      ['queued', 20],
      ['stalled', 450],
    ],
  );
  t.is(explanation.refusals[0]?.code, 'stream-lost');
});

// Guards against a text without the reason why an endpoint was chosen or a request refused.
test('the text contains candidates, reasons, verdicts, causes and refusals', (t) => {
  const text = renderExplanationText(explainRequest(mergeLines('entry', REQUEST_LINES), 'r1'));
  for (const part of [
    'request r1: failed, 8 events',
    'entry chose e2: most predicted headroom',
    'candidate e1 score=0.2',
    'entry to e2: not-run (overloaded) for 20.0 ms, message m1',
    'stalled for 450.0 ms: engine preempted',
    'request-failed: stream-lost, may-have-run; endpoint e1 died',
  ]) {
    t.true(text.includes(part), part);
  }
});

// Guards against a request without any event that is reported as in progress.
test('a request without events is unknown', (t) => {
  t.is(explainRequest(mergeLines('entry', REQUEST_LINES), 'missing').end, 'unknown');
});

// Guards against a later terminal record, which has no effect, overriding the first one.
test('a move ends with the terminal record that has the lowest offset', (t) => {
  const position = (offset: number) => ({ stream: 'control', offset });
  const merged = mergeLines('entry', [
    ['move-started', { entity: 'm', position: position(3) }],
    ['move-share-changed', { entity: 'm', data: { share: 0.05, evidence: '40 of 40 good' } }],
    ['move-started', { entity: 'other' }],
    ['move-done', { entity: 'm', position: position(9) }],
    ['move-taken-back', { entity: 'm', position: position(8), data: { reason: '3 failures' } }],
  ]);
  const explanation = explainMove(merged, 'm');
  t.is(explanation.state, 'taken-back');
  t.is(explanation.endedAt, 8);
  t.is(explanation.lastShare, 0.05);
  t.is(explanation.steps.length, 4);
  const text = renderMoveText(explanation);
  t.regex(text, /^move m: taken-back by the record at offset 8\n/);
  t.regex(text, /move-share-changed: share 5\.0%, evidence: 40 of 40 good/);
});
