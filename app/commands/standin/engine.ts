import { Command, Flags } from '@oclif/core';
import { PORT_FLAG, SERVING_FLAGS } from '../../flags.js';
import { selectPresent } from '../../optionalFields.js';
import { serveUntilSignal } from '../../serving.js';
import type { EngineOptions } from '../../../packages/standins/engine/types.js';

/** Integer flags with their minimum; each sets one option of the engine. */
const NUMBER_FLAGS = {
  'memory-tokens': Flags.integer({
    summary: 'Memory for sequences and cached prefixes, in tokens.',
    min: 1,
  }),
  'warm-up-ms': Flags.integer({
    summary: 'Time from the start of the engine until it is ready.',
    min: 0,
  }),
  'step-base-ms': Flags.integer({ summary: 'Duration of a step of an empty batch.', min: 1 }),
  'max-running': Flags.integer({ summary: 'Largest number of sequences in the batch.', min: 1 }),
  'cold-concurrency': Flags.integer({
    summary: 'Sequences that the engine sustains when it becomes ready.',
    min: 1,
  }),
  'warm-concurrency': Flags.integer({
    summary: 'Sequences that the engine sustains at the end of the ramp.',
    min: 1,
  }),
  'ramp-ms': Flags.integer({
    summary: 'Time after the warm-up during which the concurrency limit grows.',
    min: 0,
  }),
  'mean-output-tokens': Flags.integer({
    summary: 'Mean output length of requests without a length.',
    min: 1,
  }),
  'load-lag-ms': Flags.integer({
    summary: 'Interval at which the load figures are updated.',
    min: 0,
  }),
};

type NumberFlags = Readonly<Partial<Record<keyof typeof NUMBER_FLAGS, number | undefined>>>;

const toEngineOptions = (flags: NumberFlags): EngineOptions =>
  selectPresent({
    memoryTokens: flags['memory-tokens'],
    warmUpMs: flags['warm-up-ms'],
    stepBaseMs: flags['step-base-ms'],
    maxRunning: flags['max-running'],
    coldConcurrency: flags['cold-concurrency'],
    warmConcurrency: flags['warm-concurrency'],
    rampMs: flags['ramp-ms'],
    meanOutputTokens: flags['mean-output-tokens'],
    loadLagMs: flags['load-lag-ms'],
  });

export default class StandinEngine extends Command {
  static override summary = 'Run a stand-in for a model engine until SIGINT or SIGTERM.';
  static override flags = {
    port: PORT_FLAG,
    model: Flags.string({ summary: 'Model that the engine serves.' }),
    version: Flags.string({ summary: 'Version of the model.' }),
    fencing: Flags.option({
      options: ['checked', 'ignored'] as const,
      summary: 'Whether control orders with a stale fencing number are refused.',
    })(),
    seed: Flags.integer({ summary: 'Seed of the output lengths.' }),
    ...NUMBER_FLAGS,
    ...SERVING_FLAGS,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(StandinEngine);
    const { port, model, version, fencing, seed } = flags;
    const { startEngineStandin } =
      await import('../../../packages/standins/engine/startEngineStandin.js');
    const standin = await startEngineStandin({
      port,
      ...selectPresent({ model, version, fencing, seed }),
      ...toEngineOptions(flags),
    });
    const server = { urls: { engine: standin.url }, stop: standin.close };
    await serveUntilSignal('engine stand-in', server, flags);
  }
}
