import { Args, Command } from '@oclif/core';
import { SERVING_FLAGS } from '../../flags.js';
import { runDaemon } from '../../runDaemon.js';

export default class RunEntry extends Command {
  static override summary = 'Run an entry daemon until SIGINT or SIGTERM.';
  static override args = {
    file: Args.string({ description: 'Settings file, JSON with comments.', required: true }),
  };
  static override flags = SERVING_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RunEntry);
    const { startEntryDaemon } = await import('../../../packages/entry/main.js');
    await runDaemon('entry', args.file, startEntryDaemon, flags);
  }
}
