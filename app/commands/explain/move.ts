import { Args, Command } from '@oclif/core';
import { JSON_FLAG, SOURCE_FLAGS } from '../../flags.js';
import { printOutcome } from '../../output.js';
import { fetchMoveExplanation } from '../../timelineOutcomes.js';

export default class ExplainMove extends Command {
  static override summary = 'Explain what happened to one version move and why.';
  static override args = {
    name: Args.string({ description: 'Name of the move.', required: true }),
  };
  static override flags = { ...SOURCE_FLAGS, json: JSON_FLAG };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ExplainMove);
    printOutcome(await fetchMoveExplanation(flags, args.name), flags.json);
  }
}
