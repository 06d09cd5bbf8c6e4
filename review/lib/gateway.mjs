/** Starts the gateway with the command of the deploy file, and settings made from its template. */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { get } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

// The handlers of `exit` end the gateways, also when the script is ended early.
for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const findFreePort = (host) =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const readDeployFile = (name) =>
  new RegExp(`^${name} = "(.*)"$`, 'm').exec(
    readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
  )[1];

const fillTemplate = (fields) =>
  readFileSync(join(ROOT, readDeployFile('template')), 'utf8').replace(
    /\{\{([\w.]+)\|json\}\}/g,
    (_, path) =>
      JSON.stringify(path.split('.').reduce((value, name) => value?.[name], fields) ?? null),
  );

/** Bounds and limits of the sheet of clt-pool. */
const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 54,
  coldOvershoot: 1.5,
  evacuateMs: 5_000,
};

export const startGateway = async ({
  host,
  name,
  zone,
  storeAddress,
  seeds,
  internalPorts,
  dir,
}) => {
  const [front, ready, control] = await Promise.all([
    findFreePort(host),
    findFreePort(host),
    findFreePort(host),
  ]);
  const settings = fillTemplate({
    nodeName: name,
    zone,
    ip: host,
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
    internalPorts,
    seeds: seeds ?? [`${host}:${control}`],
    platform: { address: storeAddress },
    bounds: BOUNDS,
  });
  const settingsPath = join(dir, `${name}.jsonc`);
  writeFileSync(settingsPath, settings);
  const [program, ...args] = readDeployFile('run').split(' ');
  const child = spawn(program === 'node' ? process.execPath : program, args, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, CHESTNUTSPAN_CONFIG: settingsPath },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(join(dir, `${name}.log`));
  child.stdout.pipe(log);
  child.stderr.pipe(log);
  process.once('exit', () => child.kill('SIGKILL'));
  const isReady = () =>
    new Promise((resolve) => {
      get({ host, port: ready, path: '/-/readiness', agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      }).on('error', () => resolve(false));
    });
  return {
    host,
    front,
    child,
    isReady,
    waitUntilReady: async (timeoutMs = 10_000) => {
      const until = Date.now() + timeoutMs;
      while (Date.now() < until) {
        if (await isReady()) return true;
        await sleep(50);
      }
      return false;
    },
    stop: () => {
      child.kill('SIGKILL');
    },
  };
};

export const findInternalPorts = async (host) => [
  await findFreePort(host),
  await findFreePort(host),
];
