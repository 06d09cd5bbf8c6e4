import { readFileSync } from 'node:fs';
import { Config, settings } from '@oclif/core';
import test from 'ava';
import { renderCommandPage } from './commandPage.js';
import { runProgram, runServing } from './testing.js';

// Guards against a COMMANDS.md that was not regenerated after a change of the commands.
test('docs/COMMANDS.md lists exactly the commands', async (t) => {
  settings.enableAutoTranspile = false;
  const config = await Config.load(process.cwd());
  t.is(readFileSync('docs/COMMANDS.md', 'utf8'), renderCommandPage(config));
});

// Guards against usage errors that a script cannot distinguish from a failure of the system.
test('usage errors exit with code 64', async (t) => {
  const wrong = [
    ['no-such-command'],
    ['config', 'check'],
    ['config', 'check', 'a', 'b'],
    ['config', 'check', '--no-such-flag', 'a'],
    ['config', 'check', '--kind', 'other', 'a'],
    ['no-such-command', '--help'],
  ];
  const results = await Promise.all(wrong.map((argv) => runProgram(argv)));
  t.deepEqual(
    results.map(({ code }) => code),
    wrong.map(() => 64),
  );
});

// Guards against `config check` accepting settings that the daemon would refuse at startup.
test('config check exits with 78 for invalid settings and 0 for valid ones', async (t) => {
  const good = await runProgram(['config', 'check', 'app/settings/entry.jsonc', '--json']);
  t.is(good.code, 0);
  t.like(JSON.parse(good.stdout), { valid: 'yes', kind: 'entry' });
  const bad = await runProgram([
    'config',
    'check',
    'app/settings/entry.jsonc',
    '--kind',
    'endpoint',
  ]);
  t.is(bad.code, 78);
  t.regex(bad.stderr, /entry\.jsonc:\d+:\d+: callers: expected no such field/);
  t.is(bad.stdout, '');
});

// Guards against exit codes that the help texts do not document.
test('help shows the exit codes', async (t) => {
  for (const argv of [['--help'], ['config', 'check', '--help']]) {
    const help = await runProgram(argv);
    t.is(help.code, 0);
    t.regex(help.stdout, /EXIT CODES\n[^]*75 {2}A retry can succeed/);
  }
});

// Guards against a stand-in that keeps running after SIGTERM or that does not print its address.
test('a stand-in serves on the printed address until SIGTERM', async (t) => {
  const code = await runServing(['standin', 'platform', '--json'], async (line) => {
    const { urls } = JSON.parse(line) as { urls: { platform: string } };
    const answer = await fetch(`${urls.platform}/instances`);
    t.deepEqual(await answer.json(), { instances: [] });
  });
  t.is(code, 0);
});
