import { createHash, randomBytes } from 'node:crypto';

const KEY_BYTES = 24;

/**
 * Creates a random bearer key or secret.
 *
 * @returns 32 characters that are safe in a header
 */
export const createKey = (): string => randomBytes(KEY_BYTES).toString('base64url');

/**
 * Hashes a bearer key as the settings hold it.
 *
 * @param key - bearer key
 * @returns SHA-256 in hexadecimal
 */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');
