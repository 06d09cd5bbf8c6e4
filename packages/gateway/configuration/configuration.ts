import { toStep } from '../../core/step.js';
import type { ChildLogic } from '../../core/supervision/types.js';
import { buildRoutingTable } from '../../decisions/forwarding/routing.js';
import type { RoutingTable } from '../../decisions/forwarding/routing.js';
import type { ForwardingConfiguration } from '../../decisions/forwarding/types.js';
import type { GatewayEffect } from '../effects.js';
import type { ConfigurationEvent } from '../events.js';

/** Routing table of the newest configuration; null until the first configuration is loaded. */
export interface ConfigurationState {
  readonly table: RoutingTable | null;
}

/**
 * Newest configuration that this process applied. It outlives the state of the child: after a
 * restart the store may return an older one, because it was restored from an older copy.
 */
export interface NewestConfiguration {
  current: ForwardingConfiguration | null;
}

/**
 * Creates the decision logic of the `configuration` child, which keeps the newest configuration. A
 * lower version never replaces a higher one while the process lives, in whatever order the records
 * arrive.
 *
 * @param newest - newest configuration, updated by this child only
 * @returns the decision logic
 */
export const createConfigurationLogic = (
  newest: NewestConfiguration,
): ChildLogic<ConfigurationState, ConfigurationEvent, GatewayEffect> => ({
  init: () =>
    toStep<ConfigurationState, GatewayEffect>({
      table: newest.current === null ? null : buildRoutingTable(newest.current),
    }),
  decide: (state, { configuration, epoch }) => {
    if (state.table !== null && state.table.version >= configuration.version) return toStep(state);
    const { limits, routes, services, version } = configuration;
    const table = buildRoutingTable(configuration);
    // Set after its table was built, so that a configuration that makes this fail is not kept.
    newest.current = configuration;
    return toStep<ConfigurationState, GatewayEffect>(
      { table },
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
