import type { RunningGeneration } from './transferTurns.js';
import type { EndpointIncarnation, EndpointRecord } from '../../decisions/forwarding/types.js';
import { toIncarnation } from '../statements/incarnations.js';
import type { TransferOrder } from '../types.js';

/** Order for the engine that runs an attempt. */
export interface AddressedTransfer {
  readonly key: number;
  readonly attempt: number;
  readonly source: EndpointIncarnation;
  readonly order: TransferOrder;
}

/**
 * Builds the order for the engine of a generation to hand over its memory.
 *
 * @param run - generation
 * @param target - endpoint that receives the memory
 * @param mode - whether the engine goes on with the generation
 * @returns the order
 */
export const buildTransfer = (
  { attempt, forwarding }: RunningGeneration,
  target: EndpointRecord,
  mode: TransferOrder['mode'],
): AddressedTransfer => {
  const { request } = forwarding;
  const source = toIncarnation(attempt.endpoint);
  return {
    key: request.key,
    attempt: attempt.number,
    source,
    order: { requestId: request.id, source: source.address, target: target.address, mode },
  };
};
