import type {
  EntryEffect,
  EntryEvent,
  FrontendEvent,
  MembershipEvent,
  MovesEvent,
  OperatorEvent,
  RequestsEvent,
} from './events.js';
import type { GateState } from './frontend/gate.js';
import type { MembershipState } from './membership/types.js';
import type { MovesState } from './moves/moves.js';
import type { OperatorState } from './operator/operator.js';
import { createPlatformSupervisor } from './platform/supervisor.js';
import type { PlatformLogics, PlatformStates } from './platform/supervisor.js';
import type { RequestsState } from './requests/types.js';
import { assertNever } from '../core/assertNever.js';
import type { Clock } from '../core/clock.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import { startSupervisor } from '../core/supervision/supervisor.js';
import type { ChildFailure, ChildLogic, SupervisorSpec } from '../core/supervision/types.js';

/** Latest state of each child, published after each of its steps. Readers must not modify it. */
export interface EntryStates extends PlatformStates {
  membership: MembershipState;
  requests: RequestsState;
  moves: MovesState;
  operator: OperatorState;
  frontend: GateState;
}

/** Decision logic of each child. */
export interface EntryLogics extends PlatformLogics {
  readonly membership: ChildLogic<MembershipState, MembershipEvent, EntryEffect>;
  readonly requests: ChildLogic<RequestsState, RequestsEvent, EntryEffect>;
  readonly moves: ChildLogic<MovesState, MovesEvent, EntryEffect>;
  readonly operator: ChildLogic<OperatorState, OperatorEvent, EntryEffect>;
  readonly frontend: ChildLogic<GateState, FrontendEvent, EntryEffect>;
}

type RootChild = 'platform' | 'membership' | 'requests' | 'moves' | 'operator' | 'frontend';

const routeEvent = (event: EntryEvent): RootChild => {
  switch (event.to) {
    case 'list':
    case 'appends':
    case 'intents':
    case 'control':
      return 'platform';
    case 'membership':
    case 'requests':
    case 'operator':
    case 'moves':
    case 'frontend':
      return event.to;
    default:
      return assertNever(event);
  }
};

/**
 * Describes the root supervisor of an entry daemon.
 *
 * `platform` and `membership` start before `requests`, which reads their states. `frontend` starts
 * last, so that no request is admitted before the other children run.
 *
 * @param logics - decision logic of the children
 * @param states - receives each new state
 * @param clock - clock that timestamps the restarts
 * @param onFailure - receives failures of children at any depth
 * @returns the supervisor's specification
 */
export const createEntrySupervisor = (
  logics: EntryLogics,
  states: EntryStates,
  clock: Clock,
  onFailure: (failure: ChildFailure) => void,
): SupervisorSpec<EntryEvent, EntryEffect> => ({
  name: 'entry',
  strategy: 'one-for-one',
  intensity: { restarts: 5, withinMs: 60_000 },
  children: [
    {
      name: 'platform',
      restart: 'permanent',
      rebuildsFrom: 'log',
      start: () => startSupervisor(createPlatformSupervisor(logics, states), clock, onFailure),
    },
    buildRoutedChild<EntryEvent, 'membership', MembershipState, EntryEffect>('membership', {
      rebuildsFrom: 'heartbeats',
      createLogic: () => logics.membership,
      publish: (state) => {
        states.membership = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'moves', MovesState, EntryEffect>('moves', {
      rebuildsFrom: 'heartbeats',
      createLogic: () => logics.moves,
      publish: (state) => {
        states.moves = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'requests', RequestsState, EntryEffect>('requests', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.requests,
      publish: (state) => {
        states.requests = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'operator', OperatorState, EntryEffect>('operator', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.operator,
      publish: (state) => {
        states.operator = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'frontend', GateState, EntryEffect>('frontend', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.frontend,
      publish: (state) => {
        states.frontend = state;
      },
    }),
  ],
  route: routeEvent,
});
