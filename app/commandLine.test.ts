import { readFileSync } from 'node:fs';
import { Config, settings } from '@oclif/core';
import test from 'ava';
import { renderCommandPage } from './commandPage.js';
import { runProgram, runServing } from './testing.js';

// Guards against a page of commands that no longer matches the code.
test('docs/COMMANDS.md lists exactly the commands', async (t) => {
  settings.enableAutoTranspile = false;
  const config = await Config.load(process.cwd());
  t.is(readFileSync('docs/COMMANDS.md', 'utf8'), renderCommandPage(config));
});

// Guards against scripts that take a wrong command line for a fault of the system.
test('usage errors end with code 64', async (t) => {
  const wrong = [
    ['no-such-command'],
    ['config', 'check'],
    ['config', 'check', 'a', 'b'],
    ['config', 'check', '--no-such-flag', 'a'],
    ['config', 'check', '--kind', 'other', 'a'],
    ['no-such-command', '--help'],
  ];
  const ended = await Promise.all(wrong.map((argv) => runProgram(argv)));
  t.deepEqual(
    ended.map(({ code }) => code),
    wrong.map(() => 64),
  );
});

// Guards against a daemon that is started with settings that the check did not refuse.
test('config check ends with 78 for bad settings and 0 for good ones', async (t) => {
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

// Guards against exit codes that operators cannot look up.
test('help shows the exit codes', async (t) => {
  for (const argv of [['--help'], ['config', 'check', '--help']]) {
    const help = await runProgram(argv);
    t.is(help.code, 0);
    t.regex(help.stdout, /EXIT CODES\n[^]*75 {2}A later try can succeed/);
  }
});

// Guards against a stand-in that outlives its user or that prints no address.
test('a stand-in serves on the printed address until SIGTERM', async (t) => {
  const code = await runServing(['standin', 'platform', '--json'], async (line) => {
    const { urls } = JSON.parse(line) as { urls: { platform: string } };
    const answer = await fetch(`${urls.platform}/instances`);
    t.deepEqual(await answer.json(), { instances: [] });
  });
  t.is(code, 0);
});
