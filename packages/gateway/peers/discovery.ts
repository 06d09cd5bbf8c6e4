import { MAX_REPORTED_HOSTS } from './constants.js';
import type { KnownDaemon, PeersState } from './fleet.js';
import type { RandomSource } from '../../core/random.js';
import type { FleetMember } from '../../decisions/membership/reportGroups.js';

/** Samples consecutive hosts from a random one on, so that all are named in turn. */
const sampleHosts = (
  daemons: readonly KnownDaemon[],
  count: number,
  random: RandomSource,
): readonly string[] => {
  const start = Math.floor(random.next() * daemons.length);
  return [...daemons.slice(start), ...daemons.slice(0, start)]
    .slice(0, count)
    .map(({ host }) => host);
};

/**
 * Samples hosts for a daemon: half of them from its data centre, where its group is.
 *
 * @param receiver - daemon that receives the hosts
 * @param state - known daemons
 * @param random - source of randomness
 * @returns at most `MAX_REPORTED_HOSTS` hosts
 */
export const listHostsFor = (
  { dataCentre }: FleetMember,
  { daemons }: PeersState,
  random: RandomSource,
): readonly string[] => {
  const all = [...daemons.values()];
  const near = all.filter((daemon) => daemon.dataCentre === dataCentre);
  const hosts = sampleHosts(near, MAX_REPORTED_HOSTS / 2, random);
  return [...new Set([...hosts, ...sampleHosts(all, MAX_REPORTED_HOSTS - hosts.length, random)])];
};
