import { Command, Flags } from '@oclif/core';
import { PORT_FLAG, SERVING_FLAGS } from '../../flags.js';
import { selectPresent } from '../../optionalFields.js';
import { serveUntilSignal } from '../../serving.js';

export default class StandinPlatform extends Command {
  static override summary =
    'Run a stand-in for the platform (log, instance list, weight store) until SIGINT or SIGTERM.';
  static override flags = {
    port: PORT_FLAG,
    'appends-per-second': Flags.integer({
      summary: 'Append requests that the log admits per second.',
      min: 1,
    }),
    'retention-records': Flags.integer({ summary: 'Records that each stream keeps.', min: 1 }),
    'list-lag-ms': Flags.integer({ summary: 'Age of the instance list that callers see.', min: 0 }),
    ...SERVING_FLAGS,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(StandinPlatform);
    const { startPlatformStandin } =
      await import('../../../packages/standins/platform/startPlatformStandin.js');
    const standin = await startPlatformStandin({
      port: flags.port,
      ...selectPresent({
        appendsPerSecond: flags['appends-per-second'],
        retentionRecords: flags['retention-records'],
        listLagMs: flags['list-lag-ms'],
      }),
    });
    const server = { urls: { platform: standin.url }, stop: standin.close };
    await serveUntilSignal('platform stand-in', server, flags);
  }
}
