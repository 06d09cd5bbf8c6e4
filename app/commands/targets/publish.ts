import { Args, Command, Flags } from '@oclif/core';
import { describeProblems } from '../../checkSettings.js';
import { PUBLISH_FLAGS } from '../../flags.js';
import { publishChange } from '../../operatorOutcomes.js';
import { printOutcome } from '../../output.js';
import { loadJson } from '../../../packages/settings/load.js';

export default class TargetsPublish extends Command {
  static override summary = 'Publish the targets of the classes of work.';
  static override args = {
    file: Args.string({ description: 'Targets file, JSON with comments.', required: true }),
  };
  static override flags = {
    ...PUBLISH_FLAGS,
    entity: Flags.string({
      summary: 'Entity of the record in the control stream.',
      default: 'targets',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(TargetsPublish);
    const body = loadJson(args.file);
    const outcome = body.isErr()
      ? describeProblems(args.file, body.error)
      : await publishChange(flags, { kind: 'targets', entity: flags.entity, body: body.value });
    printOutcome(outcome, flags.json);
  }
}
