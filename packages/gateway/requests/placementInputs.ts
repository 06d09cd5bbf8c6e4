import { applyRequestLimits } from './requestLimits.js';
import type { Forwarding, RequestsContext, RequestsInputs } from './types.js';
import type { Candidate, PlacementCriteria } from '../../decisions/forwarding/placeAttempt.js';

/**
 * Lists the endpoints of the service of a request, with what this daemon may still send to each.
 *
 * @param forwarding - request
 * @param context - state and inputs
 * @returns the endpoints
 */
export const listCandidates = (
  forwarding: Forwarding,
  { state, inputs }: RequestsContext,
): readonly Candidate[] =>
  applyRequestLimits(
    state,
    inputs.listEndpoints(forwarding.service.name),
    forwarding.service,
    inputs,
    inputs.clock.now(),
  );

/**
 * Builds the requirements of a request for its placement.
 *
 * @param forwarding - request
 * @param inputs - clock and data centre of this daemon
 * @returns the criteria
 */
export const buildCriteria = (
  { request, route, service, tried }: Forwarding,
  { clock, dataCentre }: RequestsInputs,
): PlacementCriteria => ({
  service,
  demand: request.demand,
  targetMs: route.targetMs,
  homeDataCentre: dataCentre,
  tried,
  now: clock.now(),
});
