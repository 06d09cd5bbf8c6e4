import type { z } from 'zod';
import type { ENDPOINT_SCHEMA } from './endpointSchema.js';
import type { ENTRY_SCHEMA } from './entrySchema.js';

/** Makes every field and list of a type read-only, recursively. */
type DeepReadonly<Value> = Value extends readonly (infer Item)[]
  ? readonly DeepReadonly<Item>[]
  : Value extends object
    ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> }
    : Value;

/** Settings of an entry daemon, with all defaults filled in. */
export type EntrySettings = DeepReadonly<z.output<typeof ENTRY_SCHEMA>>;

/** Settings of an endpoint daemon, with all defaults filled in. */
export type EndpointSettings = DeepReadonly<z.output<typeof ENDPOINT_SCHEMA>>;

/** Kind of daemon that a settings file is for. */
export type SettingsKind = 'entry' | 'endpoint';

/** Settings type of each kind of daemon. */
export interface SettingsByKind {
  readonly entry: EntrySettings;
  readonly endpoint: EndpointSettings;
}

/** One error in a settings file. */
export interface SettingsProblem {
  /** Path of the field such as `customers[0].keyHash`; empty for the file as a whole. */
  readonly path: string;
  /** Line from 1. */
  readonly line: number;
  /** Column from 1. */
  readonly column: number;
  /** Description of what was expected at this position. */
  readonly expected: string;
}
