import { Command, Flags } from '@oclif/core';
import { JSON_FLAG, SOURCE_FLAGS } from '../flags.js';
import { printOutcome } from '../output.js';
import { renderEvents } from '../timelineOutcomes.js';

export default class Timeline extends Command {
  static override summary = 'Merge the events of several daemons in causal order.';
  static override flags = {
    ...SOURCE_FLAGS,
    request: Flags.string({ summary: 'Show only events of this request.' }),
    endpoint: Flags.string({ summary: 'Show only events of this endpoint.' }),
    'data-centre': Flags.string({ summary: 'Show only events of this data centre.' }),
    move: Flags.string({ summary: 'Show only events of this version move.' }),
    format: Flags.option({
      options: ['text', 'json', 'html'] as const,
      default: 'text',
      summary: 'Format of the timeline; html is one self-contained page.',
    })(),
    output: Flags.string({ summary: 'File to write instead of standard output.' }),
    json: JSON_FLAG,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Timeline);
    const selection = {
      ...(flags.request === undefined ? {} : { requestId: flags.request }),
      ...(flags.endpoint === undefined ? {} : { endpoint: flags.endpoint }),
      ...(flags['data-centre'] === undefined ? {} : { dataCentre: flags['data-centre'] }),
      ...(flags.move === undefined ? {} : { entity: flags.move }),
    };
    const { format, output } = flags;
    printOutcome(await renderEvents(flags, selection, { format, output }), flags.json);
  }
}
