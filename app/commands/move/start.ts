import { Args, Command, Flags } from '@oclif/core';
import { PUBLISH_FLAGS } from '../../flags.js';
import { publishMove } from '../../operatorOutcomes.js';
import { printOutcome } from '../../output.js';

const DEADLINE_FLAGS = ['deadline', 'finish-in-ms'];

export default class MoveStart extends Command {
  static override summary = 'Start moving traffic from one version of a model to another.';
  static override args = {
    name: Args.string({ description: 'Name of the move.', required: true }),
  };
  static override flags = {
    ...PUBLISH_FLAGS,
    model: Flags.string({ summary: 'Model whose version changes.', required: true }),
    from: Flags.string({ summary: 'Current version.', required: true }),
    to: Flags.string({ summary: 'New version.', required: true }),
    deadline: Flags.string({
      summary: 'Time by which all traffic has moved, as an ISO date.',
      exactlyOne: DEADLINE_FLAGS,
    }),
    'finish-in-ms': Flags.integer({
      summary: 'Milliseconds from now by which all traffic has moved.',
      exactlyOne: DEADLINE_FLAGS,
      min: 1,
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(MoveStart);
    printOutcome(await publishMove(flags, args.name, Date.now()), flags.json);
  }
}
