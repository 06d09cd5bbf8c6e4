// Fails when the committed generated code differs from what the schema generates.
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const GENERATED = 'chestnutspan/v1/chestnutspan_pb.ts';
const root = new URL('..', import.meta.url).pathname;
const out = mkdtempSync(join(tmpdir(), 'chestnutspan-gen-'));
const template = JSON.stringify({
  version: 'v2',
  plugins: [{ local: 'protoc-gen-es', out, opt: ['target=ts', 'import_extension=js'] }],
});
try {
  execFileSync('npx', ['--no-install', 'buf', 'generate', '--template', template], {
    cwd: root,
    stdio: 'inherit',
  });
  const fresh = readFileSync(join(out, GENERATED), 'utf8');
  const committed = readFileSync(join(root, 'packages/wire/gen', GENERATED), 'utf8');
  if (fresh !== committed) {
    console.error('generated code is stale: run "npm run generate" and commit the result');
    process.exitCode = 1;
  }
} finally {
  rmSync(out, { recursive: true, force: true });
}
