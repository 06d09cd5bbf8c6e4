import { createProcessesChild } from './processes/processesChild.js';
import type { ClusterEffect, ClusterEvent, ProcessTable } from './processes/types.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type { ChildSpec } from '../core/supervision/types.js';

/**
 * Lists the children of a cluster's loop. The loop does not restart processes that exit: that is
 * left to the test or tool that started the cluster.
 *
 * @param publish - receives each new state of the process table
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
