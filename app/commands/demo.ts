import { Command, Flags } from '@oclif/core';
import { JSON_FLAG, PORT_FLAG } from '../flags.js';
import { printOutcome } from '../output.js';

export default class Demo extends Command {
  static override summary =
    'Start a complete system on the loopback interface and run example calls.';
  static override description =
    'Starts two entry daemons, three engines and a ledger service with their endpoint daemons as separate processes, streams a generation, looks up a balance, sends one sweep twice, and prints the timeline of the calls. With --keep it prints the addresses and keys and serves until SIGINT or SIGTERM.';
  static override flags = {
    keep: Flags.boolean({
      summary: 'Make no calls; serve until SIGINT or SIGTERM.',
      default: false,
    }),
    port: PORT_FLAG,
    json: JSON_FLAG,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Demo);
    const { runDemo, serveDemo } = await import('../demo/runDemo.js');
    if (flags.keep) await serveDemo(flags.port, flags.json ? 'json' : 'text');
    else printOutcome(await runDemo(flags.port), flags.json);
  }
}
