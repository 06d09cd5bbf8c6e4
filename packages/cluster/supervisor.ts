import { createProcessesChild } from './processes/processesChild.js';
import type { ClusterEffect, ClusterEvent, ProcessTable } from './processes/types.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type { ChildSpec } from '../core/supervision/types.js';

/**
 * Lists the children of a cluster's loop. The processes themselves are not restarted by it: a test
 * or the platform decides what follows the end of a process.
 *
 * @param publish - receives the state of all processes
 * @returns the children in start order
 */
export const listClusterChildren = (
  publish: (table: ProcessTable) => void,
): readonly ChildSpec<ClusterEvent, ClusterEffect>[] => [
  buildRoutedChild('processes', {
    rebuildsFrom: 'nothing',
    createLogic: createProcessesChild,
    publish,
  }),
];
