import type {
  Customer,
  ForwardingConfiguration,
  ForwardRequest,
  Route,
  Service,
  ServiceName,
} from './types.js';
import type { RandomSource } from '../../core/random.js';

/** Lookup tables of one configuration. */
export interface RoutingTable {
  readonly version: number;
  readonly configuration: ForwardingConfiguration;
  /** Routes of each host, longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  readonly byKey: ReadonlyMap<string, Customer>;
  readonly services: ReadonlyMap<ServiceName, Service>;
}

/** Where a request goes, or why it is refused before any endpoint saw it. */
export type RoutingResult =
  | { readonly kind: 'routed'; readonly route: Route; readonly customer: Customer | null }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'unknown-key' };

const sortByHost = (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> => {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  }
  for (const own of byHost.values()) {
    own.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return byHost;
};

/**
 * Builds the lookup tables of a configuration.
 *
 * @param configuration - checked configuration
 * @returns its tables
 */
export const buildRoutingTable = (configuration: ForwardingConfiguration): RoutingTable => ({
  version: configuration.version,
  configuration,
  byHost: sortByHost(configuration.routes),
  byKey: new Map(
    (configuration.customers ?? []).flatMap((customer) =>
      customer.keys.map((key) => [key, customer] as const),
    ),
  ),
  services: new Map(configuration.services.map((service) => [service.name, service])),
});

const toHostName = (host: string): string => {
  const lower = host.toLowerCase();
  const port = lower.lastIndexOf(':');
  return port === -1 || lower.endsWith(']') ? lower : lower.slice(0, port);
};

/**
 * Finds the route and the customer of a request.
 *
 * @param table - tables of the configuration in force
 * @param request - host, path and key
 * @returns the route, or the reason of a refusal
 */
export const findRoute = (
  table: RoutingTable,
  request: Pick<ForwardRequest, 'host' | 'path' | 'credential'>,
): RoutingResult => {
  const routes = table.byHost.get(toHostName(request.host)) ?? [];
  const route = routes.find(({ pathPrefix }) => request.path.startsWith(pathPrefix));
  if (route === undefined) return { kind: 'no-route' };
  const customer = request.credential === null ? undefined : table.byKey.get(request.credential);
  if (customer !== undefined) return { kind: 'routed', route, customer };
  const isOpen = route.access === 'public' || table.configuration.customers === null;
  return isOpen ? { kind: 'routed', route, customer: null } : { kind: 'unknown-key' };
};

/**
 * Chooses the service of one request by the weights of its route.
 *
 * @param route - route of the request
 * @param random - source of chance
 * @returns the service, or null when no target has weight
 */
export const chooseService = (route: Route, random: RandomSource): ServiceName | null => {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (weight > 0 && left <= 0) return service;
  }
  return route.targets.findLast(({ weight }) => weight > 0)?.service ?? null;
};
