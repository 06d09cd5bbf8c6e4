// Writes what was sent, answered and run to the record of a case, in the order of time.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

export const createRecord = (folder) => {
  const startedAt = Date.now();
  const lines = [];
  return {
    startedAt,
    /** Adds a line; `at` is a time of day in ms, that of now if not given. */
    add: (text, at = Date.now()) => {
      lines.push({ at, text });
    },
    save: () => {
      lines.sort((left, right) => left.at - right.at);
      const text = lines.map((line) => `${((line.at - startedAt) / 1000).toFixed(3)} ${line.text}`);
      writeFileSync(join(folder, 'record.txt'), `${text.join('\n')}\n`);
    },
  };
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
