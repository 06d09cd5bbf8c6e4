import { Command } from '@oclif/core';
import { OPERATOR_FLAGS } from '../../flags.js';
import { listMoves } from '../../operatorOutcomes.js';
import { printOutcome } from '../../output.js';

export default class MoveList extends Command {
  static override summary = 'List the version moves with their shares and states.';
  static override flags = OPERATOR_FLAGS;

  async run(): Promise<void> {
    const { flags } = await this.parse(MoveList);
    printOutcome(await listMoves(flags), flags.json);
  }
}
