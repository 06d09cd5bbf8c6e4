import { Args, Command, Flags } from '@oclif/core';
import { JSON_FLAG } from '../flags.js';
import { printOutcome } from '../output.js';

export default class Load extends Command {
  static override summary = 'Run a load scenario against a cluster of processes on this machine.';
  static override description =
    'Starts a fresh cluster for each placement policy of the scenario, sends each request at its scheduled time, checks every answer, and prints the measurements of callers and engines. With --output it writes the result as JSON and one SVG file for each metric.';
  static override args = {
    scenario: Args.string({ description: 'Scenario file, JSON with comments.', required: true }),
  };
  static override flags = {
    output: Flags.string({ summary: 'Directory for the result and the plots.' }),
    policy: Flags.string({ summary: 'Run only this policy of the scenario.' }),
    seed: Flags.integer({
      summary: 'Seed of arrivals and lengths; overrides that of the scenario.',
    }),
    'duration-ms': Flags.integer({
      summary:
        'Time during which requests arrive, in milliseconds; overrides that of the scenario.',
      min: 1,
    }),
    json: JSON_FLAG,
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Load);
    const { seed, policy, output, json } = flags;
    const { runScenario } = await import('../loadOutcome.js');
    const overrides = { seed, policy, durationMs: flags['duration-ms'] };
    printOutcome(await runScenario(args.scenario, overrides, output), json);
  }
}
