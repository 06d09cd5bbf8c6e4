import { Command, Flags } from '@oclif/core';
import { JSON_FLAG, PORT_FLAG } from '../../flags.js';
import { serveUntilSignal } from '../../serving.js';
import { startEngineStandin } from '../../../packages/standins/engine/startEngineStandin.js';

export default class StandinEngine extends Command {
  static override summary = 'Run the stand-in of a model engine until SIGINT or SIGTERM.';
  static override flags = {
    port: PORT_FLAG,
    model: Flags.string({ summary: 'Model that the engine serves.' }),
    version: Flags.string({ summary: 'Version of the model.' }),
    fencing: Flags.option({
      options: ['checked', 'ignored'] as const,
      summary: 'Whether control orders with an old fencing number are refused.',
    })(),
    seed: Flags.integer({ summary: 'Seed of the output lengths.' }),
    'memory-tokens': Flags.integer({ summary: 'Memory in tokens.', min: 1 }),
    'warm-up-ms': Flags.integer({ summary: 'Time until the engine is ready.', min: 0 }),
    json: JSON_FLAG,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(StandinEngine);
    const { port, model, version, fencing, seed, json } = flags;
    const memoryTokens = flags['memory-tokens'];
    const warmUpMs = flags['warm-up-ms'];
    const standin = await startEngineStandin({
      port,
      ...(model === undefined ? {} : { model }),
      ...(version === undefined ? {} : { version }),
      ...(fencing === undefined ? {} : { fencing }),
      ...(seed === undefined ? {} : { seed }),
      ...(memoryTokens === undefined ? {} : { memoryTokens }),
      ...(warmUpMs === undefined ? {} : { warmUpMs }),
    });
    const serving = { urls: { engine: standin.url }, stop: standin.close };
    await serveUntilSignal('engine stand-in', serving, json);
  }
}
