import { Command, Flags } from '@oclif/core';
import { PORT_FLAG, SERVING_FLAGS } from '../../flags.js';
import { serveUntilSignal } from '../../serving.js';

export default class StandinService extends Command {
  static override summary = 'Run a stand-in for a plain service until SIGINT or SIGTERM.';
  static override flags = {
    port: PORT_FLAG,
    'inspection-port': Flags.integer({
      summary: 'Port of the inspection routes, which no fault affects; 0 picks a free one.',
      default: 0,
      min: 0,
      max: 65_535,
    }),
    'call-ms': Flags.integer({ summary: 'Duration of a call without faults.', min: 0 }),
    ...SERVING_FLAGS,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(StandinService);
    const callMs = flags['call-ms'];
    const { startLedgerStandin } =
      await import('../../../packages/standins/ledger/startLedgerStandin.js');
    const standin = await startLedgerStandin({
      port: flags.port,
      inspectionPort: flags['inspection-port'],
      ...(callMs === undefined ? {} : { callMs }),
    });
    const urls = { service: standin.url, inspection: standin.inspectionUrl };
    await serveUntilSignal('service stand-in', { urls, stop: standin.close }, flags);
  }
}
