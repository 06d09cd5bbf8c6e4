import { Args, Command } from '@oclif/core';
import { PUBLISH_FLAGS } from '../../flags.js';
import { publishDataCentre } from '../../operatorOutcomes.js';
import { printOutcome } from '../../output.js';

export default class DataCentreOut extends Command {
  static override summary = 'Take a data centre out of service; it receives no new work.';
  static override args = {
    name: Args.string({ description: 'Name of the data centre.', required: true }),
  };
  static override flags = PUBLISH_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(DataCentreOut);
    printOutcome(await publishDataCentre(flags, args.name, 'out'), flags.json);
  }
}
