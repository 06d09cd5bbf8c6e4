import { EVENT_CATALOGUE } from './catalogue.js';

/**
 * Renders docs/EVENTS.md from the event catalogue.
 *
 * @returns the page as Markdown
 */
export const renderEventPage = (): string => {
  const rows = Object.entries(EVENT_CATALOGUE)
    .sort(([, left], [, right]) => left.number - right.number)
    .map(
      ([name, { number, level, text }]) =>
        `| ${number.toString()} | \`${name}\` | ${level} | ${text} |`,
    );
  return [
    '# Log events',
    '',
    'Every line that a daemon logs is one of these events. `npm run docs` writes this page from the catalogue in the code.',
    '',
    '| number | name | level | logged when |',
    '|---|---|---|---|',
    ...rows,
    '',
  ].join('\n');
};
