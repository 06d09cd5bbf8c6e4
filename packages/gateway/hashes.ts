import { createHash } from 'node:crypto';
import type { ForwardRequest } from '../decisions/forwarding/types.js';
import type { StringHash } from '../decisions/membership/rendezvous.js';

const HASH_ALGORITHM = 'sha256';
const FINGERPRINT_DIGITS = 24;

/**
 * Hashes what a request asks for, so that the same one is recognised when its caller repeats it.
 *
 * @param request - request
 * @returns the fingerprint
 */
export const hashContent = ({ body, credential, host, path }: ForwardRequest): string => {
  const hash = createHash(HASH_ALGORITHM).update(`${host}\n${path}\n${credential ?? ''}\n`);
  for (const part of body) hash.update(part);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
};

/** Limit of the remembered hashes: one for each pair of a limited endpoint and a daemon. */
const MAX_REMEMBERED_HASHES = 20_000;

/**
 * Creates a hash function that remembers its results, since placements hash the same names.
 *
 * @returns the function
 */
export const createStringHash = (): StringHash => {
  const known = new Map<string, number>();
  return (text) => {
    const remembered = known.get(text);
    if (remembered !== undefined) return remembered;
    if (known.size >= MAX_REMEMBERED_HASHES) known.clear();
    const hash = createHash(HASH_ALGORITHM).update(text).digest().readUInt32BE(0);
    known.set(text, hash);
    return hash;
  };
};
