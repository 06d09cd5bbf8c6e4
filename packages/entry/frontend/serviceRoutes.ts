import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { EntrySettings } from '../../settings/types.js';

type Service = EntrySettings['services'][number];
export type ServiceRoute = Service['routes'][number];

const isMatch = (pattern: string, path: string): boolean => {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  if (patternSegments.length !== pathSegments.length) return false;
  return patternSegments.every((segment, index) => {
    const value = pathSegments[index] ?? '';
    return segment.startsWith('{') ? value !== '' : segment === value;
  });
};

/**
 * Finds the route of a service call.
 *
 * @param services - configured services
 * @param name - name of the requested service
 * @param method - HTTP method
 * @param path - path relative to the service, without the query string
 * @returns the route, or a `not-run` failure
 */
export const findServiceRoute = (
  services: readonly Service[],
  name: string,
  method: string,
  path: string,
): Result<ServiceRoute, Failure> => {
  const service = services.find((candidate) => candidate.name === name);
  if (service === undefined) {
    return Err(createFailure('not-run', 'unknown-service', `no service is called ${name}`));
  }
  const route = service.routes.find(
    (candidate) => candidate.method === method && isMatch(candidate.path, path),
  );
  if (route === undefined) {
    const message = `service ${name} has no route ${method} ${path}`;
    return Err(createFailure('not-run', 'unknown-service', message));
  }
  return Ok(route);
};
