import type { AppendsState } from './appends/appends.js';
import type { ControlState } from './control/control.js';
import type { IntentsState } from './intents/intents.js';
import type { ListState } from './list/list.js';
import { buildRoutedChild } from '../../core/supervision/routedChild.js';
import type { ChildLogic, SupervisorSpec } from '../../core/supervision/types.js';
import type {
  AppendsEvent,
  ControlEvent,
  EntryEffect,
  EntryEvent,
  IntentsEvent,
  ListEvent,
} from '../events.js';

/** Latest states of the children of the `platform` supervisor. */
export interface PlatformStates {
  list: ListState;
  appends: AppendsState;
  intents: IntentsState;
  control: ControlState;
}

/** Decision logic of the children of the `platform` supervisor. */
export interface PlatformLogics {
  readonly list: ChildLogic<ListState, ListEvent, EntryEffect>;
  readonly appends: ChildLogic<AppendsState, AppendsEvent, EntryEffect>;
  readonly intents: ChildLogic<IntentsState, IntentsEvent, EntryEffect>;
  readonly control: ChildLogic<ControlState, ControlEvent, EntryEffect>;
}

/**
 * Describes the supervisor of the children that read from and append to the platform.
 *
 * @param logics - decision logic of the children
 * @param states - receives each new state
 * @returns the supervisor's specification
 */
export const createPlatformSupervisor = (
  logics: PlatformLogics,
  states: PlatformStates,
): SupervisorSpec<EntryEvent, EntryEffect> => ({
  name: 'platform',
  strategy: 'one-for-one',
  intensity: { restarts: 5, withinMs: 60_000 },
  children: [
    buildRoutedChild<EntryEvent, 'list', ListState, EntryEffect>('list', {
      rebuildsFrom: 'settings',
      createLogic: () => logics.list,
      publish: (state) => {
        states.list = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'appends', AppendsState, EntryEffect>('appends', {
      rebuildsFrom: 'nothing',
      createLogic: () => logics.appends,
      publish: (state) => {
        states.appends = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'intents', IntentsState, EntryEffect>('intents', {
      rebuildsFrom: 'log',
      createLogic: () => logics.intents,
      publish: (state) => {
        states.intents = state;
      },
    }),
    buildRoutedChild<EntryEvent, 'control', ControlState, EntryEffect>('control', {
      rebuildsFrom: 'log',
      createLogic: () => logics.control,
      publish: (state) => {
        states.control = state;
      },
    }),
  ],
  route: (event) => event.to,
});
