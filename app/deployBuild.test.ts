import { statSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import { createBuildTree } from './deployBuild.fixture.js';

const PROGRAM = 'target/platform/start.cjs';

/** Permission bits with which everyone can read a file. */
const READABLE = 0o444;

// Guards against a build that needs more than a checkout, or leaves parts of the program out.
test('a clean checkout is installed and compiled', async (t) => {
  const tree = createBuildTree(t);
  const { code, output } = await tree.build();
  t.is(code, 0, output);
  t.is(tree.read(PROGRAM), 'main 1');
  t.is(tree.read('target/packages/part.js'), 'part 1');
});

// Guards against a slow start of each run, and against a build that installs over libraries in use.
test('a second build installs nothing', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  const { code, output } = await tree.build();
  t.is(code, 0, output);
  t.is(tree.countInstalls(), 1);
  t.is(tree.read(PROGRAM), 'main 1');
});

// Guards against programs of an earlier checkout.
test('changed sources are compiled again', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  tree.write('packages/part.ts', 'part 2');
  t.is((await tree.build()).code, 0);
  t.is(tree.read('target/packages/part.js'), 'part 2');
  t.is(tree.countInstalls(), 1);
});

// Guards against half an installation that is newer than the lock file: the program would miss a
// library when it starts.
test('half an installation is replaced', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  tree.remove('node_modules/library');
  t.is((await tree.build()).code, 0);
  t.true(tree.has('node_modules/library/index.js'));
});

// Guards against a copy of an installation that broke off within a library.
test('an installation with a file that was cut short is replaced', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  tree.write('node_modules/library/index.js', '');
  t.is((await tree.build()).code, 0);
  t.is(tree.read('node_modules/library/index.js'), '1');
});

// Guards against an installation that nobody has seen complete, such as one that was interrupted.
test('an installation of unknown origin is replaced', async (t) => {
  const tree = createBuildTree(t);
  tree.write('node_modules/library/package.json', '{"name":"library","version":"1.0.0"}');
  const { code, output } = await tree.build();
  t.is(code, 0, output);
  t.is(tree.read(PROGRAM), 'main 1');
});

// Guards against native libraries of the kind of machine on which the folder was installed.
test('an installation of another kind of machine is replaced', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  const record = 'node_modules/.build.json';
  tree.write(record, tree.read(record).replace(process.arch, 'other'));
  t.is((await tree.build()).code, 0);
  t.is(tree.countInstalls(), 2);
});

// Guards against a build without the compiler, in place of which npx takes a package of that name.
for (const [name, env] of [
  ['NODE_ENV=production', { NODE_ENV: 'production' }],
  ['omit=dev', { npm_config_omit: 'dev' }],
] as const)
  test(`the compiler is installed with ${name}`, async (t) => {
    const tree = createBuildTree(t);
    const { code, output } = await tree.build(env);
    t.is(code, 0, output);
    t.is(tree.read(PROGRAM), 'main 1');
  });

// Guards against a build that goes on after a failed installation and looks done.
test('a failed installation fails the build, and the next build repeats it', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  tree.write('package-lock.json', `${tree.read('package-lock.json')} `);
  tree.write('npm-fault.txt', '');
  const { code, output } = await tree.build();
  t.not(code, 0);
  t.regex(output, /npm ci/);
  t.false(tree.has(PROGRAM));
  tree.remove('npm-fault.txt');
  t.is((await tree.build()).code, 0);
  t.true(tree.has('node_modules/typescript/bin/tsc'));
});

// Guards against a program whose parts come from two checkouts.
test('a failed compilation fails the build and leaves no program', async (t) => {
  const tree = createBuildTree(t);
  await tree.build();
  tree.write('packages/part.ts', 'SYNTAX ERROR');
  t.not((await tree.build()).code, 0);
  t.false(tree.has(PROGRAM));
});

// Guards against outputs that are lost or cut short: the compiler looks only at the sources, and
// ends well without writing them again.
for (const text of [null, ''])
  test(`an output that is ${text === null ? 'missing' : 'empty'} is written again`, async (t) => {
    const tree = createBuildTree(t);
    await tree.build();
    if (text === null) tree.remove(PROGRAM);
    else tree.write(PROGRAM, text);
    t.is((await tree.build()).code, 0);
    t.is(tree.read(PROGRAM), 'main 1');
  });

// Guards against programs that the user under whom they run cannot read.
test('the result can be read by every user', async (t) => {
  const tree = createBuildTree(t);
  const { code, output } = await tree.build({}, 'umask 077; ');
  t.is(code, 0, output);
  for (const file of [PROGRAM, 'node_modules/library/index.js'])
    t.is(statSync(join(tree.path, file)).mode & READABLE, READABLE, file);
});

// Guards against a build that removes what others keep in the target: the bench holds its lock there.
test('other entries of the target stay', async (t) => {
  const tree = createBuildTree(t);
  tree.write('target/bench/lock', 'held');
  await tree.build();
  tree.write('target/bench/built', '1');
  tree.write('packages/part.ts', 'part 2');
  t.is((await tree.build()).code, 0);
  t.is(tree.read('target/bench/lock'), 'held');
  t.is(tree.read('target/bench/built'), '1');
});
