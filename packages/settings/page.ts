import { z } from 'zod';
import { ENDPOINT_SCHEMA } from './endpointSchema.js';
import { ENTRY_SCHEMA } from './entrySchema.js';

/** The part of a JSON schema that the page shows. */
interface Field {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, Field>>;
  readonly required?: readonly string[];
  readonly items?: Field;
  readonly oneOf?: readonly Field[];
}

type Presence = 'required' | 'optional';

const formatType = (field: Field): string => {
  if (field.const !== undefined) return `\`${JSON.stringify(field.const)}\``;
  if (field.enum !== undefined) {
    return field.enum.map((value) => `\`${JSON.stringify(value)}\``).join(' or ');
  }
  return field.type === 'integer' ? 'whole number' : (field.type ?? 'any');
};

const formatDefault = (field: Field, presence: Presence): string => {
  if (field.default !== undefined) return `\`${JSON.stringify(field.default)}\``;
  return presence;
};

const renderLeaf = (path: string, field: Field, presence: Presence): string =>
  `| \`${path}\` | ${formatType(field)} | ${formatDefault(field, presence)} | ${field.description ?? ''} |`;

const renderVariant = (path: string, variant: Field): readonly string[] => {
  const kind = String(variant.properties?.kind?.const);
  return renderRows(`${path}(${kind})`, variant, 'required');
};

const renderList = (
  path: string,
  field: Field,
  items: Field,
  presence: Presence,
): readonly string[] => [
  `| \`${path}\` | list | ${presence === 'required' ? 'required' : '`[]`'} | ${field.description ?? items.description ?? ''} |`,
  ...(items.properties === undefined ? [] : renderRows(`${path}[]`, items, 'required')),
];

const renderRows = (path: string, field: Field, presence: Presence): readonly string[] => {
  if (field.oneOf !== undefined) {
    return field.oneOf.flatMap((variant) => renderVariant(path, variant));
  }
  if (field.items !== undefined) return renderList(path, field, field.items, presence);
  if (field.properties === undefined) return [renderLeaf(path, field, presence)];
  const required = new Set(field.required ?? []);
  return Object.entries(field.properties).flatMap(([name, child]) =>
    renderRows(
      path === '' ? name : `${path}.${name}`,
      child,
      required.has(name) ? 'required' : 'optional',
    ),
  );
};

const renderTable = (schema: z.ZodType): readonly string[] => [
  '| field | type | default | meaning |',
  '|---|---|---|---|',
  ...renderRows('', z.toJSONSchema(schema, { io: 'input' }) as Field, 'required'),
];

/**
 * Renders docs/SETTINGS.md from the schemas.
 *
 * @returns the page as Markdown
 */
export const renderSettingsPage = (): string =>
  [
    '# Settings',
    '',
    'Settings are files of JSON with comments. Unknown fields are errors. Times are in milliseconds and their names end in `Ms`. Hosts are IP addresses, not names. `chestnutspan config check FILE` checks a file and starts nothing. A path such as `policy(round-robin).kind` belongs to one variant of a field that has several. `npm run docs` writes this page from the schema in the code.',
    '',
    '## Entry daemon',
    '',
    'Example: app/settings/entry.jsonc.',
    '',
    ...renderTable(ENTRY_SCHEMA),
    '',
    '## Endpoint daemon',
    '',
    'Example: app/settings/endpoint.jsonc.',
    '',
    ...renderTable(ENDPOINT_SCHEMA),
    '',
  ].join('\n');
