import { Flags } from '@oclif/core';

/** Flag of every command that prints data. */
export const JSON_FLAG = Flags.boolean({
  summary: 'Print one JSON document instead of text.',
  default: false,
});

/** Flags of the commands that read events from daemons; at least one is required. */
export const SOURCE_FLAGS = {
  url: Flags.string({
    summary: 'Base URL of a daemon to read events from.',
    multiple: true,
    atLeastOne: ['url', 'list-url'],
  }),
  'list-url': Flags.string({
    summary: "Base URL of the platform's instance list; reads the events of all listed daemons.",
    atLeastOne: ['url', 'list-url'],
  }),
};

/** Flags of every operator command. */
export const OPERATOR_FLAGS = {
  'operator-url': Flags.string({
    summary:
      'Base URL of an entry daemon. The operator key is read from CHESTNUTSPAN_OPERATOR_KEY.',
    required: true,
  }),
  json: JSON_FLAG,
};

/** Flags of the operator commands that publish a record. */
export const PUBLISH_FLAGS = {
  ...OPERATOR_FLAGS,
  'dry-run': Flags.boolean({ summary: 'Show the change and publish nothing.', default: false }),
  'based-on': Flags.integer({
    summary: 'Offset on which the change is based; defaults to the offset in force.',
    min: 0,
  }),
};

/** Flag of the commands that run a stand-in. */
export const PORT_FLAG = Flags.integer({
  summary: 'Port on 127.0.0.1; 0 picks a free one.',
  default: 0,
  min: 0,
  max: 65_535,
});

/** Flags of every command that serves until SIGINT or SIGTERM. */
export const SERVING_FLAGS = {
  'stop-with-input': Flags.boolean({
    summary: 'Also stop when standard input ends, such as when the parent process dies.',
    default: false,
  }),
  json: JSON_FLAG,
};
