import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { buildRoutingTable } from '../../decisions/forwarding/routing.js';
import type { RoutingTable } from '../../decisions/forwarding/routing.js';
import type { ConfigurationEvent, GatewayEffect } from '../events.js';

/** Routing table of the newest configuration; null until the first configuration is loaded. */
export interface ConfigurationState {
  readonly table: RoutingTable | null;
}

/**
 * Creates the decision logic of the `configuration` child, which keeps the newest configuration. A
 * lower version never replaces a higher one, in whatever order the records arrive.
 *
 * @returns the decision logic
 */
export const createConfigurationLogic = (): ChildLogic<
  ConfigurationState,
  ConfigurationEvent,
  GatewayEffect
> => ({
  init: () => toStep<ConfigurationState, GatewayEffect>({ table: null }),
  decide: (state, { configuration, epoch }) => {
    if (state.table !== null && state.table.version >= configuration.version) return toStep(state);
    const { limits, routes, services, version } = configuration;
    return toStep<ConfigurationState, GatewayEffect>(
      { table: buildRoutingTable(configuration) },
      {
        kind: 'apply-limits',
        idleTimeoutMs: limits.idleTimeoutMs,
        headerTimeoutMs: limits.headerTimeoutMs,
        maxBodyBytes: limits.maxBodyBytes,
      },
      {
        kind: 'log',
        name: 'configuration-applied',
        details: {
          data: {
            version,
            before: state.table?.version ?? 0,
            epoch: epoch ?? 'none',
            routes: routes.length,
            services: services.length,
          },
        },
      },
    );
  },
});
