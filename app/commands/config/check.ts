import { Args, Command, Flags } from '@oclif/core';
import { checkSettings } from '../../checkSettings.js';
import { JSON_FLAG } from '../../flags.js';
import { printOutcome } from '../../output.js';

export default class ConfigCheck extends Command {
  static override summary = 'Check a settings file without starting a daemon.';
  static override args = {
    file: Args.string({ description: 'Settings file, JSON with comments.', required: true }),
  };
  static override flags = {
    kind: Flags.option({
      options: ['entry', 'endpoint'] as const,
      summary: 'Daemon that the file is for; detected from its fields when not given.',
    })(),
    json: JSON_FLAG,
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ConfigCheck);
    printOutcome(checkSettings(args.file, flags.kind), flags.json);
  }
}
