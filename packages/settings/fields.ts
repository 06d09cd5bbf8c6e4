import { isIP } from 'node:net';
import { z } from 'zod';

const isIpAddressUrl = (text: string): boolean => {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  return ['http:', 'https:'].includes(url.protocol) && isIP(host) !== 0;
};

/**
 * Builds the schema of a name.
 *
 * @param description - description of the field in docs/SETTINGS.md
 * @returns a schema of non-empty strings
 */
export const buildNameSchema = (description: string) =>
  z.string().min(1, { error: 'expected a non-empty name' }).describe(description);

/**
 * Builds the schema of a duration.
 *
 * @param defaultMs - default value in milliseconds
 * @param description - meaning of the field
 * @returns a schema of positive integers, in milliseconds
 */
export const buildDurationSchema = (defaultMs: number, description: string) =>
  z.int().positive().default(defaultMs).describe(description);

/**
 * Builds the schema of a count or a size.
 *
 * @param defaultValue - default value
 * @param description - meaning of the field
 * @returns a schema of positive integers
 */
export const buildCountSchema = (defaultValue: number, description: string) =>
  z.int().positive().default(defaultValue).describe(description);

/**
 * Builds the schema of a share, such as a fraction or a probability.
 *
 * @param description - meaning of the field
 * @returns a schema of numbers from 0 to 1
 */
export const buildShareSchema = (description: string) =>
  z.number().min(0).max(1).describe(description);

/**
 * Builds the schema of a URL. Hosts are IP addresses, because the daemons use no DNS.
 *
 * @param description - meaning of the field
 * @returns a schema of http or https URLs whose host is an IP address
 */
export const buildUrlSchema = (description: string) =>
  z
    .string()
    .refine(isIpAddressUrl, { error: 'expected an http URL whose host is an IP address' })
    .describe(description);

/**
 * Builds the schema of the hash of a bearer key.
 *
 * @param description - meaning of the field
 * @returns a schema of SHA-256 hashes in lower-case hexadecimal
 */
export const buildKeyHashSchema = (description: string) =>
  z
    .string()
    .regex(/^[0-9a-f]{64}$/, { error: 'expected the SHA-256 of the key, 64 hexadecimal digits' })
    .describe(description);

/**
 * Builds the schema of an address to listen on.
 *
 * @param interfaceName - name of the interface that is served there
 * @returns a strict schema of an IP address and a port; port 0 selects a free port
 */
export const buildAddressSchema = (interfaceName: string) =>
  z.strictObject({
    host: z
      .string()
      .refine((host) => isIP(host) !== 0, { error: 'expected an IP address, not a host name' })
      .describe(`IP address of ${interfaceName}.`),
    port: z.int().min(0).max(65_535).describe(`Port of ${interfaceName}; 0 selects a free port.`),
  });

/** Schema of the log output, the same for both daemons. */
export const LOG_SCHEMA = z
  .strictObject({
    format: z
      .enum(['json', 'text'])
      .default('json')
      .describe('One JSON line per event, or a short human-readable line.'),
  })
  .prefault({});
