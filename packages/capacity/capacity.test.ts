import { readFileSync } from 'node:fs';
import test from 'ava';
import { MEASURES } from './measures/catalogue.js';
import type { MeasureName } from './measures/catalogue.js';
import { listExperiments, PARTS, runExperiments, toResults } from './runCapacity.js';

const PAGE_URL = new URL('../../../docs/CAPACITY.md', import.meta.url);
const SLOPES_TABLE_PATTERN = /<!-- slopes -->([\s\S]*?)<!-- \/slopes -->/;
const ROW_PATTERN = /^\| `([^`]+)` \|/gm;
const CITED_MEASURE_PATTERN = /`([a-z]+\.[a-z-]+)`/g;

const page = readFileSync(PAGE_URL, 'utf8');
const measureNames: readonly string[] = MEASURES.map(({ name }) => name);
const table = SLOPES_TABLE_PATTERN.exec(page)?.[1] ?? '';
const listedMeasures = [...table.matchAll(ROW_PATTERN)].map(([, name]) => name ?? '');

// Guards against a figure of the page that no run of the bench can reproduce.
test('the table of slopes lists exactly the measures of the bench', (t) => {
  t.deepEqual([...listedMeasures].sort(), [...measureNames].sort());
});

// Guards against a line of the page that is derived from a renamed or removed measure.
test('every measure that the page cites is a measure of the bench', (t) => {
  const prefixes = new Set(measureNames.map((name) => name.split('.')[0]));
  const citedMeasures = [...page.matchAll(CITED_MEASURE_PATTERN)]
    .map(([, name]) => name ?? '')
    .filter((name) => prefixes.has(name.split('.')[0]));
  t.true(citedMeasures.length > measureNames.length);
  t.deepEqual(
    citedMeasures.filter((name) => !measureNames.includes(name)),
    [],
  );
});

// Guards against a line through two points, whose residual is always zero.
test('every experiment measures at three sizes or more', (t) => {
  for (const { name, sizes } of PARTS.flatMap(listExperiments))
    t.true(new Set(sizes).size >= 3, name);
});

// Guards against a measure that is left out of the results, or fitted to the points of another one.
test('results hold one line for each measure, fitted to its own points', async (t) => {
  const measure = (size: number) =>
    ({ 'list.answer': 5 + 2 * size, 'survival.state': 7 * size }) satisfies Partial<
      Record<MeasureName, number>
    >;
  const started: string[] = [];
  const results = await runExperiments([{ name: 'fake', sizes: [1, 2, 4], measure }], (name) => {
    started.push(name);
  });
  t.deepEqual(started, ['fake']);
  t.deepEqual(
    results.map((result) => [
      result.measure,
      Number(result.line.slope.toFixed(9)),
      result.points.length,
    ]),
    [
      ['survival.state', 7, 3],
      ['list.answer', 2, 3],
    ],
  );
  t.deepEqual(toResults([]), []);
});
