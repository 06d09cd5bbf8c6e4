import { View, parse } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';

/**
 * Renders a plot as SVG.
 *
 * @param spec - vega-lite specification
 * @returns the SVG document
 */
export const renderPlot = async (spec: TopLevelSpec): Promise<string> => {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
};
