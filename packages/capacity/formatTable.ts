import type { MeasureResult } from './types.js';

const SIGNIFICANT_DIGITS = 3;

/**
 * Formats a number with three significant digits.
 *
 * @param value - number to format
 * @returns decimal notation with grouping, without an exponent
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
 * Formats results as a Markdown table. It lists the sizes only; the values are in the JSON file.
 *
 * @param results - measures with their fitted lines
 * @returns the table with one row for each measure
 */
export const formatTable = (results: readonly MeasureResult[]): string =>
  [
    '| measure | unit | slope | intercept | residual | sizes |',
    '|---|---|---|---|---|---|',
    ...results.map(formatRow),
  ].join('\n');
