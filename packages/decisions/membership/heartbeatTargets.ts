import type { EndpointId, InstanceId } from '../../core/ids.js';

/** Hash function of strings with evenly distributed results. */
export type StringHash = (text: string) => number;

/**
 * Chooses the entry daemons that an endpoint daemon sends heartbeats to, by rendezvous hashing:
 * when an instance joins or leaves, only the choices that include it change.
 *
 * @param endpoint - endpoint that chooses
 * @param entryInstances - entry instances known to it, in any order
 * @param subsetSize - number of instances to choose
 * @param hash - hash function
 * @returns at most `subsetSize` instances, the highest score first
 */
export const chooseHeartbeatTargets = (
  endpoint: EndpointId,
  entryInstances: readonly InstanceId[],
  subsetSize: number,
  hash: StringHash,
): readonly InstanceId[] =>
  entryInstances
    .map((instance) => ({ instance, score: hash(`${endpoint}\n${instance}`) }))
    .sort((left, right) => right.score - left.score || (left.instance < right.instance ? -1 : 1))
    .slice(0, subsetSize)
    .map(({ instance }) => instance);
