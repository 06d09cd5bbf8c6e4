// Starts gateways with the command of the deploy file, each with a settings file that is rendered from
// the template of the deploy file with the fields of a small deployment.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { findFreePort } from './ports.mjs';
import { sleep } from './record.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const readDeployValue = (name) => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const found = new RegExp(`^${name} = "(.*)"$`, 'm').exec(text);
  if (found === null) throw new Error(`the deploy file has no ${name}`);
  return found[1];
};

/** Bounds of the deployment of Caroni Ledger & Trust, as SYSTEM.md states them. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  failClosed: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 54,
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5000,
  coldOvershoot: 1.5,
  coldSlack: 5,
  evacuateMs: 5000,
  recoveryS: 12,
  passMs: 120,
  reuseWindowS: 5.9,
};

const render = (template, fields) =>
  template.replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => {
    const value = path.split('.').reduce((found, name) => found?.[name], fields);
    return value === undefined ? 'null' : JSON.stringify(value);
  });

const isReady = async (url) => {
  try {
    return (await fetch(url)).status === 200;
  } catch {
    return false;
  }
};

/** Starts one gateway for each data centre of `zones`, and waits until all are ready. */
export const startGateways = async (zones, storeAddress, record) => {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const hosts = zones.map((_, index) => `127.0.1.${10 + index}`);
  const [front, ready, internal, metrics] = await Promise.all(
    Array.from({ length: 4 }, () => findFreePort(hosts[0])),
  );
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${front}`);
  const template = readFileSync(join(ROOT, readDeployValue('template')), 'utf8');
  const [command, ...args] = readDeployValue('run').split(' ');
  const gateways = zones.map((zone, index) => {
    const host = hosts[index];
    const name = `edge-${zone}-${index + 1}`;
    const path = join(directory, `${name}.jsonc`);
    const fields = {
      nodeName: name,
      zone,
      ip: host,
      listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
      internalPorts: [internal, metrics],
      seeds,
      platform: { address: storeAddress },
      bounds: BOUNDS,
      limits: { memoryMb: 200, maxFds: 4100 },
    };
    writeFileSync(path, render(template, fields));
    const { PATH, HOME } = process.env;
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: { PATH, HOME, CHESTNUTSPAN_CONFIG: path },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const log = [];
    let rest = '';
    child.stdout.on('data', (bytes) => {
      const lines = (rest + bytes.toString()).split('\n');
      rest = lines.pop();
      log.push(...lines);
    });
    child.on('exit', (code, signal) => record.add(`${name} ended (${signal ?? code})`));
    return { name, host, port: front, child, log, readyUrl: `http://${host}:${ready}/-/readiness` };
  });
  const stop = () => {
    for (const { child } of gateways) child.kill('SIGKILL');
    rmSync(directory, { recursive: true, force: true });
  };
  const giveUpAt = Date.now() + 15_000;
  for (const { name, readyUrl } of gateways) {
    while (!(await isReady(readyUrl))) {
      if (Date.now() > giveUpAt) {
        stop();
        throw new Error(`${name} is not ready`);
      }
      await sleep(50);
    }
    record.add(`${name} is ready`);
  }
  return { gateways, stop };
};
