import { Args, Command } from '@oclif/core';
import { PUBLISH_FLAGS } from '../../flags.js';
import { publishDataCentre } from '../../operatorOutcomes.js';
import { printOutcome } from '../../output.js';

export default class DataCentreBack extends Command {
  static override summary = 'Return a data centre to service; its share of traffic ramps up.';
  static override args = {
    name: Args.string({ description: 'Name of the data centre.', required: true }),
  };
  static override flags = PUBLISH_FLAGS;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(DataCentreBack);
    printOutcome(await publishDataCentre(flags, args.name, 'in'), flags.json);
  }
}
