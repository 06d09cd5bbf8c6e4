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
  /** Root of the mean squared distance of the points from the line, in the unit of the values. */
  readonly residual: number;
}

/** Values of one run at one size, by measure. */
export type MeasuredValues = Readonly<Partial<Record<MeasureName, number>>>;

/** One or more measures that are taken together, each at the same sizes. */
export interface Experiment {
  readonly name: string;
  readonly sizes: readonly number[];
  /** Measures at one size. */
  readonly measure: (size: number) => Promise<MeasuredValues> | MeasuredValues;
}

/** Points of one measure with the line through them. */
export interface MeasureResult {
  readonly measure: MeasureName;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly Point[];
  readonly line: Line;
}

/** Where and when a run was made. */
export interface RunOrigin {
  readonly startedAt: string;
  readonly commit: string;
  readonly cores: number;
  readonly memoryBytes: number;
  readonly processor: string;
  readonly node: string;
}
