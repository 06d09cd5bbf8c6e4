import type {
  LeaseAppendResult,
  LeaseLog,
  LeaseLoad,
  UsageReportResult,
  UsageService,
} from './types.js';
import { assertNever } from '../../core/assertNever.js';
import type { GatewayEffect } from '../effects.js';
import type { UsageEvent } from '../events.js';
import type { PeerSocket } from '../peers/peerSocket.js';

/** Adapters that perform the effects of the `usage` child. */
export interface UsageAdapters {
  readonly leases: LeaseLog;
  readonly usage: UsageService;
  readonly peers: PeerSocket;
  readonly loop: () => { readonly post: (event: UsageEvent) => void };
}

type UsageEffect = Extract<
  GatewayEffect,
  { kind: 'load-lease' | 'append-lease' | 'report-usage' | 'send-usage' }
>;

/** Waits for the result of a call, and makes a rejection a failure. */
type HandleResult = <Value>(
  pending: Promise<Value>,
  toFailure: (message: string) => Value,
  handle: (result: Value) => void,
) => void;

/**
 * Performs an effect of the `usage` child.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 * @param handleResult - waits for the result of a call
 */
export const performUsageEffect = (
  effect: UsageEffect,
  { leases, loop, peers, usage }: UsageAdapters,
  handleResult: HandleResult,
): void => {
  const toUnknown = (message: string) => ({ kind: 'unknown', message }) as const;
  switch (effect.kind) {
    case 'load-lease':
      handleResult<LeaseLoad>(
        leases.load(),
        (message) => ({ kind: 'failed', message }),
        (result) => {
          loop().post({ to: 'usage', kind: 'lease-loaded', result });
        },
      );
      return;
    case 'append-lease':
      handleResult<LeaseAppendResult>(leases.append(effect.append), toUnknown, (result) => {
        loop().post({ to: 'usage', kind: 'lease-appended', result });
      });
      return;
    case 'report-usage': {
      const { window } = effect.report;
      handleResult<UsageReportResult>(usage.report(effect.report), toUnknown, (result) => {
        loop().post({ to: 'usage', kind: 'usage-report-ended', window, result });
      });
      return;
    }
    case 'send-usage':
      peers.sendUsage(effect.hosts, effect.message);
      return;
    default:
      assertNever(effect);
  }
};
