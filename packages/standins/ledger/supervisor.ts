import { createServiceChild } from './service/serviceChild.js';
import type { ServiceEnvironment, ServiceState } from './service/serviceChild.js';
import type { LedgerEffect, LedgerEvent } from './types.js';
import { buildRoutedChild } from '../../core/supervision/routedChild.js';
import type { ChildSpec } from '../../core/supervision/types.js';

/**
 * Lists the children of the ledger stand-in.
 *
 * @param environment - executions, duration of a call and start identities
 * @param publish - receives each new state of the service
 * @returns the children in start order
 */
export const listLedgerChildren = (
  environment: ServiceEnvironment,
  publish: (state: ServiceState) => void,
): readonly ChildSpec<LedgerEvent, LedgerEffect>[] => [
  buildRoutedChild('service', {
    rebuildsFrom: 'nothing',
    createLogic: () => createServiceChild(environment),
    publish,
  }),
];
