import type { ConfigurationState } from './configuration/configuration.js';
import type { GatewayEffect } from './effects.js';
import type {
  ConfigurationEvent,
  FeedsEvent,
  FrontendEvent,
  GatewayEvent,
  MembershipEvent,
  MovesEvent,
  PeersEvent,
  QuarantineEvent,
  RequestsEvent,
  StatementsEvent,
  UsageEvent,
} from './events.js';
import type { FeedsState } from './feeds/feedState.js';
import type { GateState } from './frontend/gate.js';
import type { MembershipState } from './membership/membership.js';
import type { MovesState } from './moves/moves.js';
import type { PeersState } from './peers/fleet.js';
import type { QuarantineState } from './quarantine/quarantine.js';
import type { RequestsState } from './requests/types.js';
import type { StatementsState } from './statements/statements.js';
import type { UsageState } from './usage/usageState.js';
import { buildRoutedChild } from '../core/supervision/routedChild.js';
import type { ChildLogic, SupervisorSpec } from '../core/supervision/types.js';

/** Newest state of each child, published after each of its steps for the other children to read. */
export interface GatewayStates {
  configuration: ConfigurationState;
  membership: MembershipState;
  peers: PeersState;
  quarantine: QuarantineState;
  moves: MovesState;
  requests: RequestsState;
  feeds: FeedsState;
  frontend: GateState;
  statements: StatementsState;
  usage: UsageState;
}

/** Decision logic of each child. */
export interface GatewayLogics {
  readonly configuration: ChildLogic<ConfigurationState, ConfigurationEvent, GatewayEffect>;
  readonly membership: ChildLogic<MembershipState, MembershipEvent, GatewayEffect>;
  readonly peers: ChildLogic<PeersState, PeersEvent, GatewayEffect>;
  readonly quarantine: ChildLogic<QuarantineState, QuarantineEvent, GatewayEffect>;
  readonly moves: ChildLogic<MovesState, MovesEvent, GatewayEffect>;
  readonly requests: ChildLogic<RequestsState, RequestsEvent, GatewayEffect>;
  readonly feeds: ChildLogic<FeedsState, FeedsEvent, GatewayEffect>;
  readonly frontend: ChildLogic<GateState, FrontendEvent, GatewayEffect>;
  readonly statements: ChildLogic<StatementsState, StatementsEvent, GatewayEffect>;
  readonly usage: ChildLogic<UsageState, UsageEvent, GatewayEffect>;
}

/**
 * Describes the root supervisor of a gateway daemon.
 *
 * When a child whose state comes from the feeds fails, `rest-for-one` also restarts the `feeds`
 * child, which then loads all records again. The `requests` child comes first, so that failures of
 * other children do not restart it.
 *
 * @param logics - decision logic of the children
 * @param states - receives each new state
 * @returns the supervisor's specification
 */
export const createGatewaySupervisor = (
  logics: GatewayLogics,
  states: GatewayStates,
): SupervisorSpec<GatewayEvent, GatewayEffect> => ({
  name: 'gateway',
  strategy: 'rest-for-one',
  intensity: { restarts: 5, withinMs: 60_000 },
  children: [
    buildRoutedChild<GatewayEvent, 'requests', RequestsState, GatewayEffect>('requests', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.requests,
      publish: (state) => {
        states.requests = state;
      },
    }),
    buildRoutedChild<GatewayEvent, 'quarantine', QuarantineState, GatewayEffect>('quarantine', {
      rebuildsFrom: 'log',
      createLogic: () => logics.quarantine,
      publish: (state) => {
        states.quarantine = state;
      },
    }),
    buildRoutedChild<GatewayEvent, 'peers', PeersState, GatewayEffect>('peers', {
      rebuildsFrom: 'peers',
      createLogic: () => logics.peers,
      publish: (state) => {
        states.peers = state;
      },
    }),
    buildRoutedChild<GatewayEvent, 'configuration', ConfigurationState, GatewayEffect>(
      'configuration',
      {
        rebuildsFrom: 'log',
        createLogic: () => logics.configuration,
        publish: (state) => {
          states.configuration = state;
        },
      },
    ),
    buildRoutedChild<GatewayEvent, 'membership', MembershipState, GatewayEffect>('membership', {
      rebuildsFrom: 'log',
      createLogic: () => logics.membership,
      publish: (state) => {
        states.membership = state;
      },
    }),
    buildRoutedChild<GatewayEvent, 'moves', MovesState, GatewayEffect>('moves', {
      rebuildsFrom: 'log',
      createLogic: () => logics.moves,
      publish: (state) => {
        states.moves = state;
      },
    }),
    buildRoutedChild<GatewayEvent, 'feeds', FeedsState, GatewayEffect>('feeds', {
      rebuildsFrom: 'log',
      createLogic: () => logics.feeds,
      publish: (state) => {
        states.feeds = state;
      },
    }),
    buildRoutedChild<GatewayEvent, 'frontend', GateState, GatewayEffect>('frontend', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.frontend,
      publish: (state) => {
        states.frontend = state;
      },
    }),
    // Its state outlives it, so a restart of all children before it loses none of the statements.
    buildRoutedChild<GatewayEvent, 'statements', StatementsState, GatewayEffect>('statements', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.statements,
      publish: (state) => {
        states.statements = state;
      },
    }),
    // Its counts outlive it; what it knew of the lease is read from the log again.
    buildRoutedChild<GatewayEvent, 'usage', UsageState, GatewayEffect>('usage', {
      rebuildsFrom: 'log',
      createLogic: () => logics.usage,
      publish: (state) => {
        states.usage = state;
      },
    }),
  ],
  route: (event) => event.to,
});
