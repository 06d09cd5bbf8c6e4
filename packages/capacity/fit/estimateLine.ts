import type { Line, Point } from '../types.js';

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Fits a straight line to points by least squares.
 *
 * @param points - measured points of at least two different sizes
 * @returns slope, intercept and the root mean square of the residuals
 * @throws RangeError when the points do not determine a line
 */
export const estimateLine = (points: readonly Point[]): Line => {
  const meanSize = computeMean(points.map(({ size }) => size));
  const meanValue = computeMean(points.map(({ value }) => value));
  let sizeVariation = 0;
  let covariance = 0;
  for (const { size, value } of points) {
    sizeVariation += (size - meanSize) ** 2;
    covariance += (size - meanSize) * (value - meanValue);
  }
  if (!(sizeVariation > 0)) throw new RangeError('a line needs points of two different sizes');
  const slope = covariance / sizeVariation;
  const intercept = meanValue - slope * meanSize;
  const squaredResiduals = points.map(({ size, value }) => (value - intercept - slope * size) ** 2);
  return { slope, intercept, residual: Math.sqrt(computeMean(squaredResiduals)) };
};
