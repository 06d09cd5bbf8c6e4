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
  /** Rank of the most urgent route to each service. */
  readonly topRanks: ReadonlyMap<ServiceName, number>;
}

/** Route and customer of a request, or why it is refused before it reaches an endpoint. */
export type RoutingResult =
  | { readonly kind: 'routed'; readonly route: Route; readonly customer: Customer | null }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'unknown-key' };

const sortRoutesByHost = (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> => {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  }
  for (const hostRoutes of byHost.values()) {
    hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  return byHost;
};

const findTopRanks = (routes: readonly Route[]): ReadonlyMap<ServiceName, number> => {
  const ranks = new Map<ServiceName, number>();
  for (const { rank, targets } of routes) {
    for (const { service } of targets)
      ranks.set(service, Math.min(rank, ranks.get(service) ?? Infinity));
  }
  return ranks;
};

/**
 * Builds the lookup tables of a configuration.
 *
 * @param configuration - validated configuration
 * @returns its lookup tables
 */
export const buildRoutingTable = (configuration: ForwardingConfiguration): RoutingTable => ({
  version: configuration.version,
  configuration,
  byHost: sortRoutesByHost(configuration.routes),
  byKey: new Map(
    (configuration.customers ?? []).flatMap((customer) =>
      customer.keys.map((key) => [key, customer] as const),
    ),
  ),
  services: new Map(configuration.services.map((service) => [service.name, service])),
  topRanks: findTopRanks(configuration.routes),
});

const toHostName = (host: string): string => {
  const lower = host.toLowerCase();
  const port = lower.lastIndexOf(':');
  return port === -1 || lower.endsWith(']') ? lower : lower.slice(0, port);
};

/**
 * Finds the route and the customer of a request.
 *
 * @param table - lookup tables of the current configuration
 * @param request - host, path and API key
 * @returns the route and customer, or the reason for a refusal
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
 * Chooses the service of one request at random by the weights of its route's targets.
 *
 * @param route - route of the request
 * @param random - source of randomness
 * @returns the service, or null when all weights are zero
 */
export const chooseService = (route: Route, random: RandomSource): ServiceName | null => {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainder = random.next() * total;
  for (const { service, weight } of route.targets) {
    remainder -= weight;
    if (weight > 0 && remainder <= 0) return service;
  }
  return route.targets.findLast(({ weight }) => weight > 0)?.service ?? null;
};
