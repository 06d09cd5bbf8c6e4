import type { EngineSettings } from './types.js';

/** Defaults of the options: an engine that runs a few dozen sequences at once. */
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

/** Length of the part of a prompt that the prefix hash covers. */
export const PREFIX_CHARACTERS = 256;

/** Typical ratio of English text; estimates token counts, as the stand-in has no tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Number of cache events that the engine keeps for readers that fall behind. */
export const MAX_CACHE_EVENTS = 4_096;

/** Number of request ids whose executions the statistics count separately. */
export const MAX_COUNTED_REQUESTS = 100_000;

/** Delay of a timer up to which the next step starts earlier to compensate for it. */
export const MAX_TIMER_LAG_MS = 20;
