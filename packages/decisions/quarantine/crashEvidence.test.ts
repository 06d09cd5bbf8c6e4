import test from 'ava';
import fc from 'fast-check';
import {
  CORRELATED_CRASH_MS,
  CRASH_RETENTION_MS,
  MAX_CRASH_FINGERPRINTS,
  MAX_CRASH_REPORTS,
  MAX_PROVEN_FINGERPRINTS,
} from './constants.js';
import {
  addCrash,
  addSurvival,
  checkContent,
  createCrashEvidence,
  listCrashes,
  listQuarantineCrashes,
  listSurvivals,
  selectSuspects,
} from './crashEvidence.js';
import type { CrashEvidence } from './crashEvidence.js';
import type { CrashProgress } from './types.js';
import type { ContentFingerprints, Fingerprint } from './types.js';

const SEED = 731;
const RUNS = 400;

/** Time between two crashes that do not count as one. */
const STEP_MS = CORRELATED_CRASH_MS;

const toParts = (parts: string | readonly string[]): ContentFingerprints => ({
  whole: null,
  parts: [parts].flat(),
});

const recordCrash = (
  evidence: CrashEvidence,
  parts: string | readonly string[],
  endpoint: string,
  at: number,
  progress: CrashProgress = 'beginning',
) => addCrash(evidence, { content: toParts(parts), endpoint, progress, at }, at);

// Guards against a content that crashes one endpoint after the other.
test('a content on which three endpoints crashed while it waited is refused until it expires', (t) => {
  const evidence = createCrashEvidence();
  recordCrash(evidence, 'f', 'e-1', 0, 'waiting');
  recordCrash(evidence, 'f', 'e-2', STEP_MS, 'waiting');
  recordCrash(evidence, 'f', 'e-2', 2 * STEP_MS, 'waiting');
  t.is(checkContent(evidence, toParts(['f']), 3 * STEP_MS).kind, 'accepted');
  const at = 4 * STEP_MS;
  t.deepEqual(recordCrash(evidence, 'f', 'e-3', at, 'waiting'), ['f']);
  t.deepEqual(checkContent(evidence, toParts(['g', 'f']), at + 1), {
    kind: 'quarantined',
    fingerprint: 'f',
    leftMs: CRASH_RETENTION_MS - 1,
  });
  t.is(checkContent(evidence, toParts(['g']), at + 1).kind, 'accepted');
  t.is(checkContent(evidence, toParts(['f']), at + CRASH_RETENTION_MS).kind, 'accepted');
});

// Guards against more crashes than needed when the answer of the suspect was beginning.
test('two crashes as the answer began are enough', (t) => {
  const evidence = createCrashEvidence();
  t.deepEqual(recordCrash(evidence, 'f', 'e-1', 0), []);
  t.deepEqual(recordCrash(evidence, 'f', 'e-1', STEP_MS), []);
  t.deepEqual(recordCrash(evidence, 'f', 'e-2', STEP_MS), ['f']);
});

// Guards against refusing a whole route after many endpoints end together, as at a power failure.
test('crashes at the same time count as one', (t) => {
  const evidence = createCrashEvidence();
  for (let number = 0; number < 20; number += 1) {
    recordCrash(evidence, 'f', `e-${number.toString()}`, number);
  }
  t.is(checkContent(evidence, toParts(['f']), 30).kind, 'accepted');
});

// Guards against refusing sound requests that share a prompt part with those that crash endpoints.
test('a survival clears the crashes before it, also when their reports arrive late', (t) => {
  const evidence = createCrashEvidence();
  recordCrash(evidence, 'f', 'e-1', 0);
  addSurvival(evidence, { fingerprint: 'f', at: 2 * STEP_MS });
  const late = {
    endpoint: 'e-2',
    progress: 'beginning',
    at: STEP_MS,
    content: toParts('f'),
  } as const;
  addCrash(evidence, late, 3 * STEP_MS);
  recordCrash(evidence, 'f', 'e-3', 4 * STEP_MS);
  t.is(checkContent(evidence, toParts(['f']), 5 * STEP_MS).kind, 'accepted');
  t.deepEqual(listSurvivals(evidence, 0, 9), [{ fingerprint: 'f', at: 2 * STEP_MS }]);
});

// Guards against a part that all requests of a route share and that is blamed between two survivals.
test('a fingerprint that survived before is quarantined after four crashes', (t) => {
  const evidence = createCrashEvidence();
  addSurvival(evidence, { fingerprint: 'f', at: 0 });
  for (const number of [1, 2, 3]) {
    recordCrash(evidence, 'f', `e-${number.toString()}`, number * STEP_MS);
  }
  t.is(checkContent(evidence, toParts(['f']), 3 * STEP_MS).kind, 'accepted');
  t.deepEqual(recordCrash(evidence, 'f', 'e-4', 4 * STEP_MS), ['f']);
});

// Guards against refusing sound requests when the first requests of a route are those that crash
// endpoints, so that no part has survived yet.
test('a request is refused only if it has all parts that may be the cause', (t) => {
  const evidence = createCrashEvidence();
  recordCrash(evidence, ['first', 'a', 'deadly'], 'e-1', 0);
  recordCrash(evidence, ['first', 'b', 'deadly'], 'e-2', STEP_MS);
  const now = 2 * STEP_MS;
  t.is(checkContent(evidence, toParts(['first', 'a']), now).kind, 'accepted');
  t.is(checkContent(evidence, toParts(['other', 'deadly']), now).kind, 'accepted');
  t.is(checkContent(evidence, toParts(['first', 'c', 'deadly']), now).kind, 'quarantined');
  addSurvival(evidence, { fingerprint: 'first', at: now });
  t.is(checkContent(evidence, toParts(['other', 'deadly']), now).kind, 'quarantined');
});

// Guards against a caller that repeats one request, after which requests with the same parts and
// another content still crash endpoints.
test('two crashes on the same content quarantine its parts, too', (t) => {
  const evidence = createCrashEvidence();
  addSurvival(evidence, { fingerprint: 'first', at: 0 });
  const content = { whole: 'w', parts: ['first', 'deadly'] };
  for (const [endpoint, at] of [
    ['e-1', STEP_MS],
    ['e-2', 2 * STEP_MS],
  ] as const) {
    addCrash(evidence, { content, endpoint, progress: 'beginning', at }, at);
  }
  const now = 3 * STEP_MS;
  t.is(checkContent(evidence, { whole: 'w', parts: [] }, now).kind, 'quarantined');
  const other = { whole: 'v', parts: ['first', 'deadly', 'x'] };
  t.is(checkContent(evidence, other, now).kind, 'quarantined');
  t.is(checkContent(evidence, { whole: 'v', parts: ['first', 'x'] }, now).kind, 'accepted');
});

// Guards against blaming the other parts of a prompt for crashes that a quarantined part explains.
test('a quarantined fingerprint is the only suspect of a crash', (t) => {
  const evidence = createCrashEvidence();
  const content = { whole: 'w', parts: ['f', 'g'] };
  t.deepEqual(selectSuspects(evidence, content, 0), content);
  recordCrash(evidence, 'f', 'e-1', 0);
  recordCrash(evidence, 'f', 'e-2', STEP_MS);
  t.deepEqual(selectSuspects(evidence, content, 2 * STEP_MS), { whole: null, parts: ['f'] });
});

// Guards against another two crashes each time that a quarantine ends.
test('one crash after the end of a quarantine renews it', (t) => {
  const evidence = createCrashEvidence();
  recordCrash(evidence, 'f', 'e-1', 0);
  recordCrash(evidence, 'f', 'e-2', STEP_MS);
  const ended = STEP_MS + CRASH_RETENTION_MS;
  t.is(checkContent(evidence, toParts(['f']), ended).kind, 'accepted');
  t.deepEqual(recordCrash(evidence, 'f', 'e-3', ended), ['f']);
});

// Guards against tables that grow without bound, and against a quarantine that is lost in a wave of
// unrelated crashes.
test('the tables are bounded and a quarantine is not evicted', (t) => {
  const evidence = createCrashEvidence();
  recordCrash(evidence, 'f', 'e-1', 0);
  recordCrash(evidence, 'f', 'e-2', STEP_MS);
  for (let number = 0; number <= MAX_CRASH_REPORTS; number += 1) {
    recordCrash(evidence, `g-${number.toString()}`, 'e-1', STEP_MS + number, 'waiting');
  }
  t.is(evidence.reports.size, MAX_CRASH_REPORTS);
  t.true(evidence.byFingerprint.size <= MAX_CRASH_REPORTS);
  const now = 10 * STEP_MS;
  t.is(checkContent(evidence, toParts(['f']), now).kind, 'quarantined');
  t.deepEqual(
    listQuarantineCrashes(evidence, now, 9).map(({ endpoint }) => endpoint),
    ['e-2', 'e-1'],
  );
  t.is(listCrashes(evidence, 0, 24).length, 24);
  for (let at = 0; at <= MAX_PROVEN_FINGERPRINTS; at += 1) {
    addSurvival(evidence, { fingerprint: `s-${at.toString()}`, at });
  }
  t.is(evidence.survivals.size, MAX_PROVEN_FINGERPRINTS);
});

// Guards against a part that is never found, or a sound part that is refused, when sound requests
// with the same first part run beside those that crash endpoints.
test('of the parts of random prompts only those of crashing requests are quarantined', (t) => {
  const anyRequest = fc.record({
    document: fc.nat(20),
    kind: fc.constantFrom('sound' as const, 'sound' as const, 'deadly' as const),
  });
  const property = fc.property(
    fc.array(anyRequest, { maxLength: 120, size: 'max' }),
    (requests) => {
      const evidence = createCrashEvidence();
      let crashes = 0;
      requests.forEach(({ document, kind }, index) => {
        const at = index * STEP_MS;
        const parts = ['first', `document-${document.toString()}`];
        const all = kind === 'deadly' ? [...parts, 'deadly'] : parts;
        const check = checkContent(evidence, toParts(all), at);
        if (kind === 'sound') {
          if (check.kind === 'quarantined') throw new Error('a sound request is refused');
          for (const fingerprint of all) addSurvival(evidence, { fingerprint, at });
          return;
        }
        if (check.kind === 'quarantined') return;
        crashes += 1;
        recordCrash(
          evidence,
          selectSuspects(evidence, toParts(all), at).parts,
          `e-${index.toString()}`,
          at,
        );
      });
      if (crashes > 3) throw new Error(`${crashes.toString()} crashes`);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});

/** A crash, or a survival, of a request with some of a few parts. */
interface HistoryStep {
  readonly kind: 'crash' | 'survival';
  readonly parts: readonly Fingerprint[];
}

const PARTS = ['a', 'b', 'c', 'd', 'e'];

/**
 * Checks parts as the quarantine is defined, against the whole history: a part is quarantined by enough
 * crashes since its last survival, and its cause may be any part of all of these crashes that has never
 * survived. A request is dangerous if it has all of them.
 */
const isDangerous = (history: readonly HistoryStep[], parts: readonly Fingerprint[]): boolean => {
  const listCrashesOf = (part: Fingerprint): readonly HistoryStep[] => {
    const last = history.findLastIndex(
      (step) => step.kind === 'survival' && step.parts.includes(part),
    );
    return history
      .slice(last + 1)
      .filter((step) => step.kind === 'crash' && step.parts.includes(part));
  };
  const hasSurvived = (part: Fingerprint): boolean =>
    history.some((step) => step.kind === 'survival' && step.parts.includes(part));
  return parts.some((part) => {
    const crashes = listCrashesOf(part);
    if (crashes.length < (hasSurvived(part) ? 4 : 2)) return false;
    return PARTS.filter(
      (other) => !hasSurvived(other) && crashes.every((crash) => crash.parts.includes(other)),
    ).every((other) => parts.includes(other));
  });
};

// Guards against classes of parts that refuse another request than the crashes of its parts do.
test('a request is refused as the history of its parts says', (t) => {
  const anyParts = fc.subarray(PARTS, { minLength: 1 });
  const anyStep = fc.record({
    kind: fc.constantFrom('crash' as const, 'crash' as const, 'survival' as const),
    parts: anyParts,
  });
  const property = fc.property(fc.array(anyStep, { maxLength: 14 }), anyParts, (history, parts) => {
    const evidence = createCrashEvidence();
    history.forEach((step, index) => {
      const at = index * STEP_MS;
      if (step.kind === 'crash') recordCrash(evidence, step.parts, `e-${index.toString()}`, at);
      else for (const fingerprint of step.parts) addSurvival(evidence, { fingerprint, at });
    });
    const { kind } = checkContent(evidence, toParts(parts), history.length * STEP_MS);
    return (kind === 'quarantined') === isDangerous(history, parts);
  });
  fc.assert(property, { seed: SEED, numRuns: 10 * RUNS });
  t.pass();
});

// Guards against evidence that fills the memory of a daemon with the parts of long prompts.
test('the parts of all crashes together are bounded, and the newest crash stays', (t) => {
  const evidence = createCrashEvidence();
  const count = MAX_CRASH_FINGERPRINTS / 4;
  for (let index = 0; index < 12; index += 1) {
    const parts = Array.from(
      { length: count },
      (_, part) => `${index.toString()}/${part.toString()}`,
    );
    // Each quarantine is of two crashes.
    for (const endpoint of ['e-1', 'e-2'])
      recordCrash(evidence, parts, `${endpoint}/${index.toString()}`, index * 2 * STEP_MS);
    t.true(evidence.fingerprintCount <= MAX_CRASH_FINGERPRINTS);
    t.true(evidence.byFingerprint.has(`${index.toString()}/0`));
  }
  t.true(evidence.byFingerprint.size <= MAX_CRASH_FINGERPRINTS);
  t.true(evidence.classes.byMember.size <= MAX_CRASH_FINGERPRINTS);
});
