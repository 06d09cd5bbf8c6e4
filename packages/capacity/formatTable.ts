import type { MeasureResult } from './types.js';

const SIGNIFICANT_DIGITS = 3;

/**
 * Formats a figure with three significant digits.
 *
 * @param value - any number
 * @returns text without an exponent
 */
export const formatFigure = (value: number): string =>
  Number(value.toPrecision(SIGNIFICANT_DIGITS)).toLocaleString('en', {
    maximumFractionDigits: 6,
    useGrouping: true,
  });

const formatRow = ({ measure, sizeUnit, valueUnit, points, line }: MeasureResult): string => {
  const cells = [
    `\`${measure}\``,
    `${valueUnit} by ${sizeUnit}`,
    formatFigure(line.slope),
    formatFigure(line.intercept),
    formatFigure(line.residual),
    points.map(({ size }) => size.toLocaleString('en')).join('; '),
  ];
  return `| ${cells.join(' | ')} |`;
};

/**
 * Formats measures as a Markdown table; the points themselves are in the JSON file.
 *
 * @param results - fitted measures
 * @returns the table, one row for each measure
 */
export const formatTable = (results: readonly MeasureResult[]): string =>
  [
    '| measure | unit | slope | intercept | residual | sizes |',
    '|---|---|---|---|---|---|',
    ...results.map(formatRow),
  ].join('\n');
