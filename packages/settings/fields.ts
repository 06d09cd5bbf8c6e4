import { isIP } from 'node:net';
import { z } from 'zod';

const isNumericUrl = (text: string): boolean => {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  return ['http:', 'https:'].includes(url.protocol) && isIP(host) !== 0;
};

/**
 * Builds the schema of a name.
 *
 * @param text - meaning of the field for docs/SETTINGS.md
 * @returns a schema of non-empty text
 */
export const buildName = (text: string) =>
  z.string().min(1, { error: 'expected a non-empty name' }).describe(text);

/**
 * Builds the schema of a duration.
 *
 * @param value - default in milliseconds
 * @param text - meaning of the field
 * @returns a schema of whole milliseconds above 0
 */
export const buildDuration = (value: number, text: string) =>
  z.int().positive().default(value).describe(text);

/**
 * Builds the schema of a count or a size.
 *
 * @param value - default
 * @param text - meaning of the field
 * @returns a schema of whole numbers above 0
 */
export const buildCount = (value: number, text: string) =>
  z.int().positive().default(value).describe(text);

/**
 * Builds the schema of a share.
 *
 * @param text - meaning of the field
 * @returns a schema of numbers from 0 to 1
 */
export const buildShare = (text: string) => z.number().min(0).max(1).describe(text);

/**
 * Builds the schema of a URL. Hosts are IP numbers, because the daemons use no name service.
 *
 * @param text - meaning of the field
 * @returns a schema of http or https URLs whose host is an IP number
 */
export const buildUrl = (text: string) =>
  z
    .string()
    .refine(isNumericUrl, { error: 'expected an http URL whose host is an IP number' })
    .describe(text);

/**
 * Builds the schema of the hash of a bearer key.
 *
 * @param text - meaning of the field
 * @returns a schema of SHA-256 hashes in lower-case hexadecimal
 */
export const buildKeyHash = (text: string) =>
  z
    .string()
    .regex(/^[0-9a-f]{64}$/, { error: 'expected the SHA-256 of the key, 64 hexadecimal digits' })
    .describe(text);

/**
 * Builds the schema of an address to listen on.
 *
 * @param text - what is served there
 * @returns a strict schema of an IP number and a port; port 0 takes a free one
 */
export const buildAddress = (text: string) =>
  z.strictObject({
    host: z
      .string()
      .refine((host) => isIP(host) !== 0, { error: 'expected an IP number, not a host name' })
      .describe(`IP number of ${text}.`),
    port: z.int().min(0).max(65_535).describe(`Port of ${text}; 0 takes a free port.`),
  });

/** Schema of the log output, the same for both daemons. */
export const LOG_SCHEMA = z
  .strictObject({
    format: z
      .enum(['json', 'text'])
      .default('json')
      .describe('One JSON line for each event, or a short line for people.'),
  })
  .prefault({});
