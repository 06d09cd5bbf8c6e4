import type { Millis } from '../../core/clock.js';

/** Time after which an earlier use counts half. */
const HALF_LIFE_MS = 4_000;

/** Customers that are remembered; the one with the least use is forgotten first. */
const MAX_CUSTOMERS = 1_000;

interface Use {
  readonly tokens: number;
  readonly at: Millis;
}

/** Tokens that customers have used lately. Only its owner updates it, in place. */
export type RecentUse = Map<string, Use>;

const computeTokensLeft = ({ at, tokens }: Use, now: Millis): number =>
  tokens * 0.5 ** ((now - at) / HALF_LIFE_MS);

/** Forgets the customer with the least use. */
const pruneUse = (uses: RecentUse, now: Millis): void => {
  let least: string | null = null;
  let leastTokens = Infinity;
  for (const [customer, use] of uses) {
    const tokens = computeTokensLeft(use, now);
    if (tokens < leastTokens) {
      least = customer;
      leastTokens = tokens;
    }
  }
  if (least !== null) uses.delete(least);
};

/**
 * Adds the use of a customer.
 *
 * @param uses - uses, updated in place
 * @param customer - name of the customer
 * @param tokens - tokens of the new request
 * @param now - current instant
 */
export const addUse = (uses: RecentUse, customer: string, tokens: number, now: Millis): void => {
  const known = uses.get(customer);
  const before = known === undefined ? 0 : computeTokensLeft(known, now);
  uses.set(customer, { tokens: before + tokens, at: now });
  if (uses.size > MAX_CUSTOMERS) pruneUse(uses, now);
};

/**
 * Computes the share of a customer in what all have used lately.
 *
 * @param uses - uses
 * @param customer - name of the customer
 * @param now - current instant
 * @returns from 0 to 1; 0 for a customer without use
 */
export const computeUseShare = (uses: RecentUse, customer: string, now: Millis): number => {
  const own = uses.get(customer);
  if (own === undefined) return 0;
  let sum = 0;
  for (const use of uses.values()) sum += computeTokensLeft(use, now);
  return sum === 0 ? 0 : computeTokensLeft(own, now) / sum;
};
