import { createHash, timingSafeEqual } from 'node:crypto';

/** Who may call, by the hash of the bearer key. */
export interface KeyHolder {
  readonly keyHash: string;
}

/** Finds the holder of a bearer key. */
export interface KeyTable<Holder> {
  /** Returns the holder named by an `Authorization` header, or undefined. */
  readonly findHolder: (authorization: string | undefined) => Holder | undefined;
}

const BEARER = /^Bearer\s+(\S+)$/i;

/**
 * Creates a table of bearer keys. Only hashes are kept, and a hash is compared in constant time, so
 * that neither the settings nor the duration of an answer tell a key.
 *
 * @param holders - holders with the SHA-256 of their key in hexadecimal
 * @returns the table
 */
export const createKeyTable = <Holder extends KeyHolder>(
  holders: readonly Holder[],
): KeyTable<Holder> => {
  const byHash = new Map(holders.map((holder) => [holder.keyHash.toLowerCase(), holder]));
  return {
    findHolder: (authorization) => {
      const key = BEARER.exec(authorization ?? '')?.[1];
      if (key === undefined) return undefined;
      const digest = createHash('sha256').update(key).digest();
      const holder = byHash.get(digest.toString('hex'));
      if (holder === undefined) return undefined;
      return timingSafeEqual(digest, Buffer.from(holder.keyHash, 'hex')) ? holder : undefined;
    },
  };
};
