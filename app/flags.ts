import { Flags } from '@oclif/core';

/** Flag of every command that prints data. */
export const JSON_FLAG = Flags.boolean({
  summary: 'Print one JSON document in place of text.',
  default: false,
});

/** Flags of the commands that read the events of daemons; one of them must be given. */
export const SOURCE_FLAGS = {
  url: Flags.string({
    summary: 'Address of a daemon whose events are read.',
    multiple: true,
    atLeastOne: ['url', 'list-url'],
  }),
  'list-url': Flags.string({
    summary: "Address of the platform's instance list; all listed daemons are read.",
    atLeastOne: ['url', 'list-url'],
  }),
};

/** Flags of every operator command. */
export const OPERATOR_FLAGS = {
  'operator-url': Flags.string({
    summary: 'Address of an entry daemon. The operator key is in CHESTNUTSPAN_OPERATOR_KEY.',
    required: true,
  }),
  json: JSON_FLAG,
};

/** Flags of the operator commands that publish a record. */
export const PUBLISH_FLAGS = {
  ...OPERATOR_FLAGS,
  'dry-run': Flags.boolean({ summary: 'Show the change and publish nothing.', default: false }),
  'based-on': Flags.integer({
    summary: 'Offset on which the change is based; what is in force now when not given.',
    min: 0,
  }),
};

/** Flag of the commands that run a stand-in. */
export const PORT_FLAG = Flags.integer({
  summary: 'Port on 127.0.0.1; 0 takes a free one.',
  default: 0,
  min: 0,
  max: 65_535,
});

/** Flags of every command that serves until a signal. */
export const SERVING_FLAGS = {
  'stop-with-input': Flags.boolean({
    summary: 'Stop also when standard input ends, as when the tool that started the process dies.',
    default: false,
  }),
  json: JSON_FLAG,
};
