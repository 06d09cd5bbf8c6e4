import type { Effects, RequestsContext, RunStop, RunStopPhase } from './types.js';
import type { GatewayEffect } from '../effects.js';

/** What an order to stop a run has come to. */
export type StopStep =
  | RunStopPhase
  | 'ordered'
  /** The engine has stopped the run and handed over its memory. */
  | 'stopped'
  /** The engine does not have the request any more. */
  | 'ended'
  /** Nothing listens at the address of the engine. */
  | 'refused'
  /** The stream goes on before the engine has confirmed the order. */
  | 'withdrawn'
  /** The engine may not work on the request any more, since its deadline has passed. */
  | 'expired'
  /** The request fails, since its engine can be reached and does not prove that the run has ended. */
  | 'given-up';

const describeStop = (
  stop: RunStop,
  step: StopStep,
  { inputs }: RequestsContext,
  message: string,
): GatewayEffect => ({
  kind: 'log',
  name: 'run-stop',
  details: {
    requestId: stop.requestId,
    endpoint: stop.endpoint.id,
    entity: stop.route,
    data: {
      attempt: stop.attempt,
      step,
      target: stop.target?.id ?? '',
      events: stop.events,
      orders: stop.orders,
      waitedMs: Math.round(inputs.clock.now() - stop.since),
      report: stop.report,
      message,
    },
  },
});

const countStep = (stop: RunStop, step: StopStep): GatewayEffect => ({
  kind: 'count',
  name: 'gateway_run_stops_total',
  labels: { route: stop.route, step },
});

/**
 * Describes and counts a step of an order to stop a run.
 *
 * @param stop - order
 * @param step - what it has come to
 * @param context - inputs
 * @param message - answer of the engine, if it says nothing of the run
 * @returns a log line and a count
 */
export const recordStep = (
  stop: RunStop,
  step: StopStep,
  context: RequestsContext,
  message = '',
): Effects => [describeStop(stop, step, context, message), countStep(stop, step)];
