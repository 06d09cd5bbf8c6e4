/** Small deployment: a store, workers that renew their registrations, and gateways as processes. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findInternalPorts, startGateway } from './gateway.mjs';
import { startStore } from './store.mjs';

const STORE_HOST = '127.0.0.1';

/** `heartbeatMs` of the settings. */
const HEARTBEAT_MS = 1_200;

export const HOST_NAME = 'review.example';
export const ZONES = ['pos-a', 'pos-b', 'pos-c'];

/** Limits of the configuration that `fleetbench wire` shows. */
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

export const ENGINE_SERVICE = {
  name: 'drafter',
  healthPath: '/health',
  maxConnections: 302,
  coldStartS: 1,
  coldPerS: 35,
  engine: { slots: 32, kvCapacityTokens: 34_323, stride: 4, backups: true, moves: true },
};

export const PLAIN_SERVICE = {
  name: 'pool-core',
  healthPath: '/health',
  maxConnections: 100,
  coldStartS: 0,
  coldPerS: 0,
};

/** Routes with the figures of the sheet of clt-pool. */
export const STREAM_ROUTE = {
  name: 'pool-memo',
  host: HOST_NAME,
  pathPrefix: '/memo/',
  kind: 'streaming',
  service: 'drafter',
  timeoutMs: 39_000,
  targetLatencyMs: 1_800,
  gapTargetMs: 180,
  priority: 1,
  maxAttempts: 1,
  resumable: false,
  sticky: true,
  public: false,
};

export const UNSAFE_ROUTE = {
  name: 'sweep-post',
  host: HOST_NAME,
  pathPrefix: '/sweep/',
  kind: 'unsafe',
  service: 'pool-core',
  timeoutMs: 600,
  targetLatencyMs: 100,
  priority: 2,
  maxAttempts: 1,
  public: false,
};

export const startPlatform = async () => {
  const dir = mkdtempSync(join(tmpdir(), 'review-'));
  const store = await startStore(STORE_HOST);
  const internalPorts = await findInternalPorts('127.0.0.1');
  const timers = [];
  const gateways = [];
  return {
    store,
    storeAddress: `${STORE_HOST}:${store.port}`,
    configure: (version, fields) => {
      store.put('keyed.op', 'config', { version, limits: LIMITS, ...fields });
    },
    /** Registers a worker and renews its entry. */
    register: ({ id, address }, service, zone, slots) => {
      const entry = { service, address, zone, version: 'v1', slots, state: 'ready' };
      const born = Date.now();
      let sequence = 0;
      const write = () => {
        sequence += 1;
        store.put('keyed.servers', id, { ...entry, coldRemainingMs: 0, born, sequence });
      };
      write();
      const timer = setInterval(write, HEARTBEAT_MS);
      timers.push(timer);
      return {
        /** Removes the entry of a worker that leaves without having reported it. */
        remove: () => {
          clearInterval(timer);
          store.remove('keyed.servers', id);
        },
      };
    },
    startGateways: async (specs) => {
      const seeds = specs.map(({ host }) => `${host}:8748`);
      const started = await Promise.all(
        specs.map(({ host, name, zone, storeAddress }) =>
          startGateway({
            host,
            name,
            zone,
            seeds,
            internalPorts,
            dir,
            storeAddress: storeAddress ?? `${STORE_HOST}:${store.port}`,
          }),
        ),
      );
      gateways.push(...started);
      const ready = await Promise.all(started.map((gateway) => gateway.waitUntilReady()));
      return { started, ready: ready.every(Boolean) };
    },
    close: () => {
      for (const timer of timers) clearInterval(timer);
      for (const gateway of gateways) gateway.stop();
      store.close();
      rmSync(dir, { recursive: true, force: true });
    },
  };
};
