import { Args, Command } from '@oclif/core';
import { JSON_FLAG, SOURCE_FLAGS } from '../../flags.js';
import { printOutcome } from '../../output.js';
import { fetchRequestExplanation } from '../../timelineOutcomes.js';

export default class ExplainRequest extends Command {
  static override summary = 'Explain what happened to one request and why.';
  static override args = {
    request: Args.string({ description: 'Request id.', required: true }),
  };
  static override flags = { ...SOURCE_FLAGS, json: JSON_FLAG };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ExplainRequest);
    printOutcome(await fetchRequestExplanation(flags, args.request), flags.json);
  }
}
