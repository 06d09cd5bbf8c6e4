import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { createKey } from './keys.js';
import { planCluster } from './plan.js';
import { writeEndpointSettings, writeEntrySettings } from './settingsFiles.js';
import { startCluster } from './startCluster.js';
import { loadSettings } from '../settings/load.js';

/** Temporary directory of this test file, so that leftover files are found. */
const TEST_DIRECTORY = mkdtempSync(join(tmpdir(), 'chestnutspan-cluster-test-'));
process.env['TMPDIR'] = TEST_DIRECTORY;

test.after.always(() => {
  rmSync(TEST_DIRECTORY, { recursive: true, force: true });
});

// Guards against settings that a daemon rejects, and against bearer keys in files.
test.serial('the settings files are valid and hold only hashes of keys', (t) => {
  const directory = mkdtempSync(join(tmpdir(), 'chestnutspan-settings-'));
  const key = createKey();
  const keys = { customers: [{ id: 'c', key }], operatorKey: createKey(), ticketKey: createKey() };
  const options = { policy: { kind: 'least-requests' }, limits: { maxBodyBytes: 2_048 } } as const;
  const platformUrl = 'http://127.0.0.1:1';
  const plan = planCluster(options);
  const context = { directory, platformUrl, keys, models: plan.models, options };
  const urls = { engine: 'http://127.0.0.1:2', service: 'http://127.0.0.1:3' };
  for (const planned of plan.endpoints) writeEndpointSettings(planned, urls, context);
  for (const entry of plan.entries) writeEntrySettings(entry, context);
  const files = readdirSync(directory).sort();
  t.deepEqual(
    files,
    ['endpoint-1', 'endpoint-2', 'endpoint-3', 'entry-1', 'entry-2'].map((name) => `${name}.json`),
  );
  for (const name of files) {
    const file = join(directory, name);
    const settings = loadSettings(file, name.startsWith('entry') ? 'entry' : 'endpoint');
    t.true(settings.isOk(), JSON.stringify(settings));
    const text = readFileSync(file, 'utf8');
    t.false(text.includes(key) || text.includes(keys.operatorKey));
  }
  rmSync(directory, { recursive: true });
});

// Guards against processes and files that outlive a cluster.
test.serial(
  'a stand-in restarts on its port, and a stopped cluster leaves no process or file',
  async (t) => {
    const cluster = await startCluster({ entryDaemons: 0, engines: [], ledgers: 0 });
    const platform = cluster.findProcess('platform-1');
    const [pid, url] = [platform.pid, cluster.standinUrls.platform];
    await platform.restart();
    t.not(platform.pid, pid);
    t.is(cluster.standinUrls.platform, url);
    t.deepEqual(await (await fetch(`${url}/instances`)).json(), { instances: [] });
    platform.freeze();
    await cluster.stop();
    t.deepEqual(await platform.waitForExit(), { code: 0, signal: null });
    t.false(existsSync(cluster.directory));
    t.throws(() => process.kill(platform.pid, 0), { code: 'ESRCH' });
  },
);

// Guards against a failed start that hides its cause and leaves processes running.
test.serial('a failed start reports its cause and stops the started processes', async (t) => {
  const options = { entryDaemons: 0, ledgers: 0, engines: [{ standin: { memoryTokens: 0 } }] };
  await t.throwsAsync(startCluster(options), {
    message: /engine-1 did not start: it ended with code 64[^]*memory-tokens/,
  });
  t.deepEqual(readdirSync(TEST_DIRECTORY), []);
});
