import { Help } from '@oclif/core';
import type { Command } from '@oclif/core';
import { listExitCodes } from './exitCodes.js';

/** Adds the exit codes to the help texts; oclif loads a subclass of its own help class. */
export default class HelpWithExitCodes extends Help {
  override formatRoot(): string {
    return `${super.formatRoot()}\n\n${this.formatExitCodes()}`;
  }

  override formatCommand(command: Command.Loadable): string {
    return `${super.formatCommand(command)}\n\n${this.formatExitCodes()}`;
  }

  private formatExitCodes(): string {
    const rows = listExitCodes().map(({ code, text }): [string, string] => [code.toString(), text]);
    const body = this.renderList(rows, { indentation: 2, stripAnsi: this.opts.stripAnsi });
    return this.section('EXIT CODES', body);
  }
}
