import { Flags } from '@oclif/core';

/** Flag of every command that prints data. */
export const JSON_FLAG = Flags.boolean({
  summary: 'Print one JSON document in place of text.',
  default: false,
});
