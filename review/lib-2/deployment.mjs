// The configuration of a small deployment, like that of Caroni Ledger & Trust in SYSTEM.md.
export const HOST_NAME = 'ficu95.example';
export const KEYS = ['xd9dnn2ctnfzs989anu6', 'wsjnbanfqasnmgkcuyj8', 'q0m2kd81hs72jfa9dk3l'];
export const DRAFTER = 'huvo11a';
export const POOL_CORE = 'wuno96b';

export const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-px5pa2y',
      host: HOST_NAME,
      pathPrefix: '/lohu930/',
      kind: 'streaming',
      timeoutMs: 39000,
      targetLatencyMs: 1800,
      priority: 1,
      service: DRAFTER,
      maxAttempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      gapTargetMs: 180,
    },
    {
      name: 'r-pule252',
      host: HOST_NAME,
      pathPrefix: '/pule252/',
      kind: 'unsafe',
      timeoutMs: 600,
      targetLatencyMs: 121,
      priority: 2,
      service: POOL_CORE,
      maxAttempts: 1,
      public: false,
      sticky: false,
    },
  ],
  services: [
    {
      name: DRAFTER,
      healthPath: '/health',
      maxConnections: 302,
      protocol: 'h1',
      tls: false,
      coldStartS: 1,
      coldPerS: 35,
      engine: {
        slots: 32,
        kvCapacityTokens: 34323,
        kvTokenBytes: 163840,
        linkMbps: 24000,
        moves: true,
        backups: true,
        stride: 4,
        most: 12,
        pinMs: 4000,
        holdMs: 2000,
        handleS: 5,
        models: [{ name: 'm' }],
      },
    },
    {
      name: POOL_CORE,
      healthPath: '/health',
      maxConnections: 100,
      protocol: 'h1',
      tls: false,
      coldStartS: 0,
      coldPerS: 0,
    },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: KEYS.map((key, index) => ({
    name: `huka27${index}`,
    apiKeys: [key],
    priority: 1,
  })),
};

/** Builds the request for a memo, which may run once only. */
export const buildMemo = ({ body, key, id, own, tokens = [600, 480] }) => ({
  path: '/lohu930/2f',
  body,
  headers: {
    Host: HOST_NAME,
    'Request-Id': id,
    Model: 'm',
    'Token-Count': tokens.join(','),
    'Prefix-Hash': `5c1e07a2:79,${own}:${tokens[0] - 79}`,
    'Length-Hint': String(tokens[1]),
    'Deadline-Ms': '39000',
    Credential: key,
  },
});

/** Builds the request for a sweep, which may run once only. */
export const buildSweep = ({ body, key, id }) => ({
  path: '/pule252/2f',
  body,
  headers: { Host: HOST_NAME, 'Request-Id': id, 'Deadline-Ms': '600', Credential: key },
});
