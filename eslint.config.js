import { readFileSync } from 'node:fs';
import tseslint from 'typescript-eslint';

const readVerbs = () => {
  const page = readFileSync(new URL('docs/VERBS.md', import.meta.url), 'utf8');
  const list = /<!-- verbs -->([\s\S]*?)<!-- \/verbs -->/.exec(page)?.[1] ?? '';
  return list.split(/[\s,]+/).filter(Boolean);
};

const verbPattern = `^(?:${readVerbs().join('|')})(?=[A-Z0-9]|$)`;

const encodingImports = [
  'node:*',
  'fastify',
  'undici',
  '@connectrpc/*',
  '@bufbuild/*',
  'consola',
  '@oclif/*',
  '**/wire/**',
  '**/platform/client*',
];

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'packages/wire/gen/', 'results/'] },
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    files: ['**/*.ts', '**/*.cts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'function',
          format: ['camelCase'],
          custom: { regex: verbPattern, match: true },
        },
        {
          selector: 'variable',
          types: ['function'],
          modifiers: ['const', 'global'],
          format: ['camelCase'],
          custom: { regex: verbPattern, match: true },
        },
      ],
      // The whole code base runs one loop on one thread and uses string unions.
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a string union in place of an enum.' },
        // Without a fixed seed and number of runs, CI would test other inputs each time. Random seeds
        // are for `npm run fuzz`.
        {
          selector:
            "CallExpression[callee.object.name='fc'][callee.property.name=/^(assert|check)$/][arguments.length<2]",
          message: 'Give seed and numRuns.',
        },
        {
          selector:
            "CallExpression[callee.object.name='fc'][callee.property.name=/^(assert|check)$/] > ObjectExpression:not(:has(SpreadElement)):not(:has(Property[key.name='seed']):has(Property[key.name='numRuns']))",
          message: 'Give seed and numRuns.',
        },
      ],
      'no-restricted-imports': [
        'error',
        {
          paths: [
            { name: 'node:worker_threads', message: 'A daemon has one loop on one thread.' },
            { name: 'worker_threads', message: 'A daemon has one loop on one thread.' },
            { name: 'node:cluster', message: 'A daemon has one loop on one thread.' },
            { name: 'cluster', message: 'A daemon has one loop on one thread.' },
          ],
        },
      ],
    },
  },
  {
    // Decisions are independent of the encoding of messages and of I/O.
    files: ['packages/decisions/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: [{ group: encodingImports, message: 'Decisions import no I/O or encoding.' }] },
      ],
      'no-restricted-globals': ['error', 'Date', 'setTimeout', 'setInterval', 'process', 'fetch'],
      'no-restricted-properties': [
        'error',
        { object: 'Math', property: 'random', message: 'Randomness is an input of a decision.' },
        { object: 'Date', property: 'now', message: 'Time is an input of a decision.' },
      ],
    },
  },
  {
    files: [
      'packages/{core,entry,endpoint,gateway,wire,platform,settings,timeline}/**/*.ts',
      'platform/**/*.ts',
    ],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: ['node:worker_threads', 'node:cluster', 'node:child_process'].map((name) => ({
            name,
            message: 'A daemon has one loop on one thread and starts no process.',
          })),
        },
      ],
    },
  },
);
