import { decideNonce } from '../nonces.js';
import type { DispatchResult, FenceResult, NoncePlacement } from '../types.js';
import type { EndpointModel, Fault, Simulation } from './types.js';
import { addTask, recordExecution } from './simulation.js';
import { createFailure } from '../../../core/verdict.js';

const LOST: DispatchResult = {
  kind: 'unknown',
  failure: createFailure('may-have-run', 'endpoint-failed', 'connection lost'),
};

const buildAnswer = (placement: NoncePlacement) => ({
  status: 200,
  headers: [],
  body: new TextEncoder().encode(placement.nonce),
  bodyDigest: placement.nonce,
});

const REFUSED: DispatchResult = {
  kind: 'refused',
  failure: createFailure('not-run', 'overloaded', 'the engine has no free capacity'),
};

/**
 * Runs a call, then stores and sends its answer; a restart in between loses the answer. Faults make
 * the endpoint refuse the call, break the connection to the entry daemon while the call runs, as in
 * mid-stream, or make the answer too large to be stored.
 */
const runCall = (
  simulation: Simulation,
  endpoint: EndpointModel,
  placement: NoncePlacement,
  key: string,
  reply: (result: DispatchResult) => void,
): void => {
  const { table } = endpoint;
  const { nonce } = placement;
  addTask(simulation, (atStart) => {
    if (endpoint.table !== table) {
      reply(LOST);
      return;
    }
    if (atStart === 'lose-request') {
      decideNonce(table, { kind: 'release', nonce });
      reply(REFUSED);
      return;
    }
    recordExecution(simulation, nonce, key);
    // The entry daemon handles only the first reply.
    if (atStart === 'lose-answer') reply(LOST);
    addTask(simulation, (fault) => {
      const answer = buildAnswer(placement);
      const { status, bodyDigest } = answer;
      decideNonce(
        table,
        fault === 'late'
          ? { kind: 'finish-without-answer', nonce, status, bodyDigest }
          : { kind: 'finish', nonce, answer, now: simulation.now },
      );
      const lost = endpoint.table !== table || fault === 'lose-answer';
      reply(lost ? LOST : { kind: 'answered', answer });
    });
  });
};

const receiveDispatch = (
  simulation: Simulation,
  endpoint: EndpointModel,
  placement: NoncePlacement,
  key: string,
  reply: (result: DispatchResult) => void,
): void => {
  if (endpoint.accepting === 'draining') {
    reply({
      kind: 'refused',
      failure: createFailure('not-run', 'draining', 'the endpoint is draining'),
    });
    return;
  }
  const { nonce, incarnation } = placement;
  const decision = decideNonce(endpoint.table, {
    kind: 'start',
    nonce,
    incarnation,
    now: simulation.now,
  });
  if (decision.kind === 'run') {
    runCall(simulation, endpoint, placement, key, reply);
    return;
  }
  if (decision.kind !== 'refuse') return;
  const { failure } = decision;
  reply(
    failure.verdict === 'not-run' ? { kind: 'refused', failure } : { kind: 'unknown', failure },
  );
};

/** Sends a dispatch over a network that can lose or delay the request and its reply. */
export const sendDispatch = (
  simulation: Simulation,
  endpoint: EndpointModel,
  placement: NoncePlacement,
  key: string,
  fault: Fault,
  reply: (result: DispatchResult) => void,
): void => {
  if (fault === 'none') {
    addTask(simulation, () => {
      receiveDispatch(simulation, endpoint, placement, key, reply);
    });
    return;
  }
  if (fault !== 'lose-request') {
    // The sender times out while the message is still in transit.
    addTask(simulation, () => {
      receiveDispatch(simulation, endpoint, placement, key, () => undefined);
    });
  }
  reply(LOST);
};

const performFence = (
  simulation: Simulation,
  endpoint: EndpointModel,
  placement: NoncePlacement,
): FenceResult => {
  const { nonce, incarnation } = placement;
  const { table } = endpoint;
  const isFenceNotStored = simulation.mechanisms.fence === 'disabled' && !table.entries.has(nonce);
  if (isFenceNotStored && table.incarnation === incarnation) return { kind: 'fenced' };
  const decision = decideNonce(table, { kind: 'fence', nonce, incarnation, now: simulation.now });
  return decision.kind === 'fence' ? decision.result : { kind: 'unreachable' };
};

/** Sends a fence request over the same network. */
export const sendFence = (
  simulation: Simulation,
  endpoint: EndpointModel,
  placement: NoncePlacement,
  fault: Fault,
  reply: (result: FenceResult) => void,
): void => {
  if (fault === 'lose-request') {
    reply({ kind: 'unreachable' });
    return;
  }
  addTask(simulation, (later) => {
    const result = performFence(simulation, endpoint, placement);
    reply(fault === 'none' && later === 'none' ? result : { kind: 'unreachable' });
  });
};
