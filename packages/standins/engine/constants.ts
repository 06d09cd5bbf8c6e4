import type { EngineSettings } from './types.js';

/** Values of the options that a caller leaves out: one engine of a few dozen sequences. */
export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  model: 'standin',
  version: 'v1',
  fencing: 'checked',
  seed: 1,
  stepBaseMs: 8,
  stepPerSequenceMs: 0.2,
  prefillMsPerToken: 0.02,
  prefillTokensPerStep: 1_024,
  cachedPrefixTokens: 256,
  memoryTokens: 32_768,
  maxRunning: 64,
  warmUpMs: 500,
  coldConcurrency: 2,
  warmConcurrency: 64,
  rampMs: 5_000,
  collapseFactor: 8,
  collapseMs: 2_000,
  meanOutputTokens: 64,
  maxOutputTokens: 32_768,
  loadLagMs: 200,
  cacheEventLagMs: 500,
  cacheEventLossShare: 0.02,
  loadVersionMs: 500,
};

/** Part of a prompt that names its prefix. */
export const PREFIX_CHARACTERS = 256;

/** Usual ratio of English text; the stand-in has no tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Cache events that the engine keeps for late readers. */
export const MAX_CACHE_EVENTS = 4_096;

/** Requests whose executions are counted one by one in the statistics. */
export const MAX_COUNTED_REQUESTS = 100_000;

/** Lateness of a timer that the next step makes up for. */
export const MAX_TIMER_LAG_MS = 20;
