// Fails when the committed generated code differs from code newly generated from the schema.
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const GENERATED_FILE = 'chestnutspan/v1/chestnutspan_pb.ts';
const root = new URL('..', import.meta.url).pathname;
const outputDirectory = mkdtempSync(join(tmpdir(), 'chestnutspan-gen-'));
const template = JSON.stringify({
  version: 'v2',
  plugins: [
    { local: 'protoc-gen-es', out: outputDirectory, opt: ['target=ts', 'import_extension=js'] },
  ],
});
try {
  execFileSync('npx', ['--no-install', 'buf', 'generate', '--template', template], {
    cwd: root,
    stdio: 'inherit',
  });
  const generated = readFileSync(join(outputDirectory, GENERATED_FILE), 'utf8');
  const committed = readFileSync(join(root, 'packages/wire/gen', GENERATED_FILE), 'utf8');
  if (generated !== committed) {
    console.error('generated code is stale: run "npm run generate" and commit the result');
    process.exitCode = 1;
  }
} finally {
  rmSync(outputDirectory, { recursive: true, force: true });
}
