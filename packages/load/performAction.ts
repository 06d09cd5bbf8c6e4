import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { ScheduledAction } from './scenario/types.js';
import type { Cluster } from './types.js';
import { assertNever } from '../core/assertNever.js';

const postFault = async (
  base: string | undefined,
  fault: unknown,
  dispatcher: Dispatcher,
): Promise<void> => {
  if (base === undefined) throw new Error('the cluster has no stand-in of this id');
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
 * Carries out a scheduled action: faults of stand-ins over their own interface, the rest through
 * the cluster.
 *
 * @param action - what to do
 * @param cluster - addresses and process control
 * @param dispatcher - connections
 * @throws Error when the action could not be carried out
 */
export const performAction = async (
  action: ScheduledAction,
  cluster: Cluster,
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
      return cluster.operate(action.action);
    default:
      return assertNever(action);
  }
};
