import { createHash, timingSafeEqual } from 'node:crypto';

/** Principal that is identified by the hash of its bearer key. */
export interface KeyHolder {
  /** SHA-256 of the bearer key in hexadecimal. */
  readonly keyHash: string;
}

/** Table of bearer keys. */
export interface KeyTable<Holder> {
  /** Returns the holder of the key in an `Authorization` header, or undefined. */
  readonly findHolder: (authorization: string | undefined) => Holder | undefined;
}

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;

/**
 * Creates a table of bearer keys. It stores only hashes and compares them in constant time, so that
 * neither the settings nor the response time reveal a key.
 *
 * @param holders - holders of the keys
 * @returns the table
 */
export const createKeyTable = <Holder extends KeyHolder>(
  holders: readonly Holder[],
): KeyTable<Holder> => {
  const byHash = new Map(holders.map((holder) => [holder.keyHash.toLowerCase(), holder]));
  return {
    findHolder: (authorization) => {
      const key = BEARER_PATTERN.exec(authorization ?? '')?.[1];
      if (key === undefined) return undefined;
      const digest = createHash('sha256').update(key).digest();
      const holder = byHash.get(digest.toString('hex'));
      if (holder === undefined) return undefined;
      return timingSafeEqual(digest, Buffer.from(holder.keyHash, 'hex')) ? holder : undefined;
    },
  };
};
