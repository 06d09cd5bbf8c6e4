import type { RandomSource } from '../core/random.js';

/**
 * Picks an index below a count.
 *
 * @param random - source of the draw
 * @param count - number of items
 * @returns the index, from 0
 */
export const pickIndex = (random: RandomSource, count: number): number =>
  Math.min(count - 1, Math.floor(random.next() * count));

/**
 * Picks one of several items with equal probability.
 *
 * @param random - source of the draw
 * @param items - items to pick from
 * @returns the item
 */
export const pickOne = <Item>(random: RandomSource, items: readonly [Item, ...Item[]]): Item =>
  items[pickIndex(random, items.length)] ?? items[0];

/**
 * Picks a whole number in an interval.
 *
 * @param random - source of the draw
 * @param least - smallest number
 * @param most - largest number
 * @returns the number
 */
export const pickBetween = (random: RandomSource, least: number, most: number): number =>
  Math.round(least + random.next() * (most - least));
