import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { ScheduledAction } from './scenario/types.js';
import type { TargetCluster } from './types.js';
import { assertNever } from '../core/assertNever.js';

const postFault = async (
  base: string | undefined,
  fault: unknown,
  dispatcher: Dispatcher,
): Promise<void> => {
  if (base === undefined) throw new Error('the cluster has no stand-in with this id');
  const { statusCode, body } = await request(`${base}/faults`, {
    dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(fault),
  });
  const text = await body.text();
  if (statusCode >= 300) throw new Error(`status ${statusCode.toString()}: ${text}`);
};

/**
 * Performs a scheduled action. Faults of stand-ins are posted to the stand-in; process faults and
 * operator actions go through the cluster.
 *
 * @param action - action to perform
 * @param cluster - addresses and process control
 * @param dispatcher - HTTP connections
 * @throws Error when the action could not be performed
 */
export const performAction = async (
  action: ScheduledAction,
  cluster: TargetCluster,
  dispatcher: Dispatcher,
): Promise<void> => {
  switch (action.kind) {
    case 'engine':
      return postFault(cluster.engineUrls[action.id], action.fault, dispatcher);
    case 'service':
      return postFault(cluster.ledgerUrls[action.id]?.inspectionUrl, action.fault, dispatcher);
    case 'platform':
      return postFault(cluster.platformUrl, action.faults, dispatcher);
    case 'process':
      return cluster.applyFault(action.id, action.fault);
    case 'operator':
      return cluster.performOperatorAction(action.action);
    default:
      return assertNever(action);
  }
};
