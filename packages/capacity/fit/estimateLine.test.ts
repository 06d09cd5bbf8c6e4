import test from 'ava';
import fc from 'fast-check';
import { estimateLine } from './estimateLine.js';

// Guards against a wrong slope or intercept for points that lie on a line.
test('points on a line give that line with a residual of zero', (t) => {
  const parameter = fc.double({ min: -1_000, max: 1_000, noNaN: true });
  const sizes = fc.uniqueArray(fc.integer({ min: 1, max: 50_000 }), {
    minLength: 3,
    maxLength: 6,
  });
  const property = fc.property(parameter, parameter, sizes, (slope, intercept, chosen) => {
    const points = chosen.map((size) => ({ size, value: intercept + slope * size }));
    const line = estimateLine(points);
    const scale = 1 + Math.abs(slope) * Math.max(...chosen) + Math.abs(intercept);
    return (
      Math.abs(line.slope - slope) * Math.max(...chosen) < 1e-6 * scale &&
      Math.abs(line.intercept - intercept) < 1e-6 * scale &&
      line.residual < 1e-6 * scale
    );
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 7, numRuns: 500 });
  });
});

// Guards against a residual that grows with the number of points or lacks the square root.
test('points off the line give the least-squares line and its residual', (t) => {
  const line = estimateLine([
    { size: 0, value: 0 },
    { size: 1, value: 2 },
    { size: 2, value: 1 },
  ]);
  t.is(line.slope, 0.5);
  t.is(line.intercept, 0.5);
  t.true(Math.abs(line.residual - Math.sqrt(0.5)) < 1e-12);
});

// Guards against a division by zero that would write NaN into the results.
test('points of a single size and no points are rejected', (t) => {
  const point = { size: 8, value: 1 };
  t.throws(() => estimateLine([point, point]), { instanceOf: RangeError });
  t.throws(() => estimateLine([]), { instanceOf: RangeError });
});
