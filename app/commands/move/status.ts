import { Args, Command } from '@oclif/core';
import { OPERATOR_FLAGS } from '../../flags.js';
import { findMove } from '../../operatorOutcomes.js';
import { printOutcome } from '../../output.js';

export default class MoveStatus extends Command {
  static override summary = 'Show one version move.';
  static override args = {
    name: Args.string({ description: 'Name of the move.', required: true }),
  };
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(MoveStatus);
    printOutcome(await findMove(flags, args.name), flags.json);
  }
}
