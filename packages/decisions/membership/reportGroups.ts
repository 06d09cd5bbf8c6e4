import { MAX_GROUP_SIZE } from './constants.js';
import type { StringHash } from './rendezvous.js';
import type { DataCentreId } from '../../core/ids.js';

export type GroupName = string;

/** A daemon of the fleet and the host at which it receives reports. */
export interface FleetMember {
  readonly host: string;
  readonly process: string;
  readonly dataCentre: DataCentreId;
}

/** Groups of a fleet as one daemon knows it. */
export interface ReportGroups {
  readonly own: GroupName;
  /** Hosts of the other daemons of the own group. */
  readonly peers: readonly string[];
  /** Hosts of the daemons of each other group. */
  readonly others: ReadonlyMap<GroupName, readonly string[]>;
}

const SINGLE_GROUP = 'all';

const countByDataCentre = (fleet: readonly FleetMember[]): ReadonlyMap<DataCentreId, number> => {
  const counts = new Map<DataCentreId, number>();
  for (const { dataCentre } of fleet) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  return counts;
};

/**
 * Divides a fleet into groups. The daemons of a group report to each other, and groups exchange
 * summaries, so that what a daemon sends does not grow with the fleet. A small fleet is one group.
 * Otherwise each data centre has groups of its own, as many as `MAX_GROUP_SIZE` requires.
 *
 * @param self - this daemon
 * @param others - the other daemons that it knows
 * @param hash - hash function, which places the daemons of a data centre in its groups
 * @returns the groups
 */
export const splitFleet = (
  self: FleetMember,
  others: readonly FleetMember[],
  hash: StringHash,
): ReportGroups => {
  const fleet = [self, ...others];
  const sizes = countByDataCentre(fleet);
  const toGroupName = ({ dataCentre, process }: FleetMember): GroupName => {
    if (fleet.length <= MAX_GROUP_SIZE) return SINGLE_GROUP;
    const count = Math.ceil((sizes.get(dataCentre) ?? 1) / MAX_GROUP_SIZE);
    const index = count === 1 ? 0 : hash(process) % count;
    return `${dataCentre}/${index.toString()}/${count.toString()}`;
  };
  const own = toGroupName(self);
  const peers: string[] = [];
  const groups = new Map<GroupName, string[]>();
  for (const member of others) {
    const name = toGroupName(member);
    if (name === own) {
      peers.push(member.host);
      continue;
    }
    const hosts = groups.get(name);
    if (hosts === undefined) groups.set(name, [member.host]);
    else hosts.push(member.host);
  }
  return { own, peers, others: groups };
};
