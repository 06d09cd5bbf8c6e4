import { assertNever } from '../../core/assertNever.js';
import type { EventLog } from '../../core/events/eventLog.js';
import type { EndpointIncarnation } from '../../decisions/forwarding/types.js';
import { handleResult } from '../effectResults.js';
import type { GatewayEffect } from '../effects.js';
import type { GatewayEvent } from '../events.js';
import { findRun } from '../requests/runState.js';
import type { ControlAnswer, EngineControl, ReportAnswer, TransferResult } from '../types.js';

/** Adapters that perform the control calls to engines. */
export interface EngineAdapters {
  readonly engines: EngineControl;
  readonly events: EventLog;
  readonly loop: () => { readonly post: (event: GatewayEvent) => void };
}

/** Effects that call an engine beside the requests that it serves. */
export type ControlEffect = Extract<
  GatewayEffect,
  { kind: 'read-report' | 'start-transfer' | 'stop-run' | 'release-copy' | 'check-run' }
>;

/** Handles the answer to a control call, after what the endpoint says of itself in it. */
const handleAnswer = <Value>(
  kind: GatewayEffect['kind'],
  endpoint: EndpointIncarnation,
  pending: Promise<ControlAnswer<Value>>,
  adapters: EngineAdapters,
  toFailure: (message: string) => Value,
  handle: (value: Value) => void,
): void => {
  handleResult<ControlAnswer<Value>>(
    kind,
    pending,
    adapters.events,
    (message) => ({ value: toFailure(message), statements: [] }),
    ({ statements, value }) => {
      if (statements.length > 0)
        adapters.loop().post({
          to: 'statements',
          kind: 'endpoint-answered',
          endpoint,
          request: null,
          statements,
        });
      handle(value);
    },
  );
};

const toUnanswered = (): ReportAnswer => ({ kind: 'unanswered' });

const readReport = (
  { endpoint, kind }: Extract<GatewayEffect, { kind: 'read-report' }>,
  adapters: EngineAdapters,
): void => {
  handleAnswer<ReportAnswer>(
    kind,
    endpoint,
    adapters.engines.readReport(endpoint.address),
    adapters,
    toUnanswered,
    (answer) => {
      if (answer.kind !== 'reported') return;
      const { id } = endpoint;
      const { report } = answer;
      adapters.loop().post({ to: 'membership', kind: 'report-read', endpoint: id, report });
    },
  );
};

const toFailedTransfer = (message: string): TransferResult => ({ kind: 'failed', message });

const startTransfer = (
  { attempt, key, kind, order, source }: Extract<GatewayEffect, { kind: 'start-transfer' }>,
  adapters: EngineAdapters,
): void => {
  const pending = adapters.engines.transfer(order);
  handleAnswer<TransferResult>(kind, source, pending, adapters, toFailedTransfer, (result) => {
    adapters.loop().post({ to: 'requests', kind: 'transfer-ended', key, attempt, source, result });
  });
};

const stopRun = (
  { attempt, key, kind, order, source }: Extract<GatewayEffect, { kind: 'stop-run' }>,
  adapters: EngineAdapters,
): void => {
  const pending = adapters.engines.stopRun(order);
  handleAnswer<TransferResult>(kind, source, pending, adapters, toFailedTransfer, (result) => {
    const event = { to: 'requests', kind: 'run-stop-answered', key, attempt } as const;
    adapters.loop().post({ ...event, source, result });
  });
};

/** Nothing waits for the result: a copy that is not released expires. */
const releaseCopy = (
  { handle, kind, source }: Extract<GatewayEffect, { kind: 'release-copy' }>,
  adapters: EngineAdapters,
): void => {
  handleAnswer<null>(
    kind,
    source,
    adapters.engines.releaseCopy(source.address, handle),
    adapters,
    () => null,
    () => undefined,
  );
};

const checkRun = (
  { attempt, endpoint, key, kind, requestId }: Extract<GatewayEffect, { kind: 'check-run' }>,
  adapters: EngineAdapters,
): void => {
  handleAnswer<ReportAnswer>(
    kind,
    endpoint,
    adapters.engines.readReport(endpoint.address),
    adapters,
    toUnanswered,
    (answer) => {
      const run = findRun(answer, requestId);
      adapters.loop().post({ to: 'requests', kind: 'run-checked', key, attempt, run });
    },
  );
};

/**
 * Performs a control call to an engine.
 *
 * @param effect - effect of a decision
 * @param adapters - adapters of the daemon
 */
export const performControlEffect = (effect: ControlEffect, adapters: EngineAdapters): void => {
  switch (effect.kind) {
    case 'read-report':
      readReport(effect, adapters);
      return;
    case 'start-transfer':
      startTransfer(effect, adapters);
      return;
    case 'stop-run':
      stopRun(effect, adapters);
      return;
    case 'release-copy':
      releaseCopy(effect, adapters);
      return;
    case 'check-run':
      checkRun(effect, adapters);
      return;
    default:
      assertNever(effect);
  }
};
