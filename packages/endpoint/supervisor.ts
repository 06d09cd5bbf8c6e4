import type { CallsState } from './calls/types.js';
import type { EngineState } from './engine/types.js';
import type { HeartbeatsState } from './heartbeats/types.js';
import type { PlatformState } from './platform/platform.js';
import type { GateState } from './rpc/gate.js';
import type { StreamsState } from './streams/types.js';
import type { EndpointEffect, EndpointEvent } from './types.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type {
  ChildLogic,
  ChildSpec,
  StateSource,
  SupervisorSpec,
} from '../core/supervision/types.js';

/** Latest state of each child, published after each of its steps. Readers must not modify it. */
export interface EndpointStates {
  platform: PlatformState;
  engine: EngineState;
  streams: StreamsState;
  calls: CallsState;
  heartbeats: HeartbeatsState;
  rpc: GateState;
}

type ChildName = keyof EndpointStates;

/** Decision logic of each child. */
export type EndpointLogics = {
  readonly [Name in ChildName]: ChildLogic<
    EndpointStates[Name],
    Extract<EndpointEvent, { readonly to: Name }>,
    EndpointEffect
  >;
};

/**
 * Describes the root supervisor of an endpoint daemon.
 *
 * The `engine` child starts before the children whose work it admits. The `rpc` child starts last,
 * so that no work is accepted before the other children run. Each child can be restarted without
 * the others, since they only read its state.
 *
 * @param logics - decision logic of the children
 * @param states - receives each new state
 * @returns the supervisor's specification
 */
export const createEndpointSupervisor = (
  logics: EndpointLogics,
  states: EndpointStates,
): SupervisorSpec<EndpointEvent, EndpointEffect> => {
  const build = <Name extends ChildName>(
    name: Name,
    rebuildsFrom: StateSource,
  ): ChildSpec<EndpointEvent, EndpointEffect> =>
    buildRoutedChild<EndpointEvent, Name, EndpointStates[Name], EndpointEffect>(name, {
      rebuildsFrom,
      createLogic: () => logics[name],
      publish: (state) => {
        states[name] = state;
      },
    });
  return {
    name: 'endpoint',
    strategy: 'one-for-one',
    intensity: { restarts: 5, withinMs: 60_000 },
    children: [
      build('platform', 'settings'),
      build('engine', 'endpoint'),
      build('streams', 'nothing'),
      build('calls', 'nothing'),
      build('heartbeats', 'heartbeats'),
      build('rpc', 'nothing'),
    ],
    route: (event) => event.to,
  };
};
