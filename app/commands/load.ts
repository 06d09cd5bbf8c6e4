import { Args, Command, Flags } from '@oclif/core';
import { JSON_FLAG } from '../flags.js';
import { printOutcome } from '../output.js';

export default class Load extends Command {
  static override summary = 'Run a load scenario against a cluster of processes on this machine.';
  static override description =
    'Starts a fresh cluster for each placement policy of the scenario, sends its arrivals at their fixed times, checks every answer, and prints what callers and engines saw. With --output it writes the result as JSON and one SVG file for each measure.';
  static override args = {
    scenario: Args.string({ description: 'Scenario file, JSON with comments.', required: true }),
  };
  static override flags = {
    output: Flags.string({ summary: 'Folder for the result and the plots.' }),
    policy: Flags.string({ summary: 'Run this policy of the scenario only.' }),
    seed: Flags.integer({ summary: 'Seed of arrivals and lengths, in place of the scenario’s.' }),
    'duration-ms': Flags.integer({ summary: 'Time of arrivals in milliseconds.', min: 1 }),
    json: JSON_FLAG,
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Load);
    const { seed, policy, output, json } = flags;
    const { runScenario } = await import('../loadOutcome.js');
    const changes = { seed, policy, durationMs: flags['duration-ms'] };
    printOutcome(await runScenario(args.scenario, changes, output), json);
  }
}
