import type { Command, Config } from '@oclif/core';
import { listExitCodes } from './exitCodes.js';

const renderName = (command: Command.Loadable): string => command.id.replaceAll(':', ' ');

const renderUsage = (command: Command.Loadable): string => {
  const args = Object.values(command.args).map(({ name, required }) =>
    required === true ? name.toUpperCase() : `[${name.toUpperCase()}]`,
  );
  return ['chestnutspan', renderName(command), ...args].join(' ');
};

const renderFlag = (flag: Command.Flag.Cached): string => {
  const options = flag.type === 'option' ? flag.options : undefined;
  const value = flag.type === 'option' ? ` ${options?.join('\\|') ?? 'VALUE'}` : '';
  const notes = [
    flag.type === 'option' && flag.multiple === true ? 'repeatable' : '',
    flag.required === true ? 'required' : '',
    flag.type === 'option' && flag.default !== undefined ? `default ${String(flag.default)}` : '',
  ].filter((note) => note !== '');
  const note = notes.length === 0 ? '' : ` (${notes.join(', ')})`;
  return `| \`--${flag.name}${value}\` | ${flag.summary ?? ''}${note} |`;
};

const renderCommand = (command: Command.Loadable): readonly string[] => [
  `## ${renderName(command)}`,
  '',
  `\`${renderUsage(command)}\``,
  '',
  command.summary ?? '',
  ...(command.description === undefined ? [] : ['', command.description]),
  '',
  '| argument or flag | meaning |',
  '|---|---|',
  ...Object.values(command.args).map(
    ({ name, description }) => `| \`${name.toUpperCase()}\` | ${description ?? ''} |`,
  ),
  ...Object.values(command.flags).map(renderFlag),
  '',
];

/**
 * Renders docs/COMMANDS.md from the loaded commands.
 *
 * @param config - loaded command line
 * @returns the page as Markdown
 */
export const renderCommandPage = (config: Config): string => {
  const commands = [...config.commands].sort((left, right) => (left.id < right.id ? -1 : 1));
  return [
    '# Commands',
    '',
    'Data goes to standard output, messages to standard error. `npm run docs` writes this page from the commands in the code.',
    '',
    '## Exit codes',
    '',
    '| code | meaning |',
    '|---|---|',
    ...listExitCodes().map(({ code, text }) => `| ${code.toString()} | ${text} |`),
    '',
    ...commands.flatMap(renderCommand),
  ].join('\n');
};
