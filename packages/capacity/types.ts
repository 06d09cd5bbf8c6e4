import type { MeasureName } from './measures/catalogue.js';

/** One measured value at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** Straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the distances of the points from the line, in the unit of the values. */
  readonly residual: number;
}

/** Values of one run of an experiment at one size, by measure. */
export type MeasuredValues = Readonly<Partial<Record<MeasureName, number>>>;

/** Experiment that takes one or more measures together, at the same sizes. */
export interface Experiment {
  readonly name: string;
  readonly sizes: readonly number[];
  /** Runs the experiment at one size. */
  readonly measure: (size: number) => Promise<MeasuredValues> | MeasuredValues;
}

/** Points of one measure, with the line that was fitted to them. */
export interface MeasureResult {
  readonly measure: MeasureName;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly Point[];
  readonly line: Line;
}

/** Time, commit and machine of a run. */
export interface RunOrigin {
  readonly startedAt: string;
  readonly commit: string;
  readonly cores: number;
  readonly memoryBytes: number;
  readonly processor: string;
  readonly node: string;
}
