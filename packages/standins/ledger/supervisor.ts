import { createBookChild } from './book/bookChild.js';
import type { BookEnvironment, BookState } from './book/bookChild.js';
import type { LedgerEffect, LedgerEvent } from './types.js';
import { buildRoutedChild } from '../common/routedChild.js';
import type { Clock } from '../../core/clock.js';
import { startSupervisor } from '../../core/supervision/supervisor.js';
import type { ChildFailure, RunningChild } from '../../core/supervision/types.js';

/**
 * Starts the tree of the ledger stand-in.
 *
 * @param environment - executions, usual time of a call and start identities
 * @param clock - time of restarts
 * @param publish - receives the state of the service
 * @param onFailure - receives each failure of a child
 * @returns the root supervisor
 */
export const startLedgerSupervisor = (
  environment: BookEnvironment,
  clock: Clock,
  publish: (state: BookState) => void,
  onFailure: (failure: ChildFailure) => void,
): RunningChild<LedgerEvent, LedgerEffect> =>
  startSupervisor<LedgerEvent, LedgerEffect>(
    {
      name: 'ledger-standin',
      strategy: 'one-for-one',
      intensity: { restarts: 3, withinMs: 5_000 },
      children: [buildRoutedChild('book', () => createBookChild(environment), publish)],
      route: (event) => event.to,
    },
    clock,
    onFailure,
  );
