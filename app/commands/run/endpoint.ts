import { Args, Command } from '@oclif/core';
import { SERVING_FLAGS } from '../../flags.js';
import { runDaemon } from '../../runDaemon.js';

export default class RunEndpoint extends Command {
  static override summary = 'Run an endpoint daemon until SIGINT or SIGTERM.';
  static override args = {
    file: Args.string({ description: 'Settings file, JSON with comments.', required: true }),
  };
  static override flags = SERVING_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RunEndpoint);
    const { startEndpointDaemon } = await import('../../../packages/endpoint/main.js');
    await runDaemon('endpoint', args.file, startEndpointDaemon, flags);
  }
}
