import { createHash, randomBytes } from 'node:crypto';

const KEY_BYTES = 24;

/**
 * Creates a random bearer key or secret.
 *
 * @returns 32 characters of base64url, which are valid in an HTTP header
 */
export const createKey = (): string => randomBytes(KEY_BYTES).toString('base64url');

/**
 * Hashes a bearer key in the form that the settings store.
 *
 * @param key - bearer key
 * @returns SHA-256 hash in hexadecimal
 */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');
