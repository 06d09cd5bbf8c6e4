import type { ClassLookup, ClassPolicy } from './types.js';
import type { ClassName } from '../../core/ids.js';
import type { CallerRequest } from '../types.js';

/** Class of a request for which the caller, the route and the customer specify none. */
export const DEFAULT_CLASS: ClassPolicy = {
  className: 'standard',
  importance: 'standard',
  answerLength: 'long',
  firstTokenMs: 2_000,
  tokenGapMs: 200,
  stallMs: 1_000,
  deadlineMs: 300_000,
  repeat: 'allowed',
  delivery: 'stream',
};

/** Default class of calls to plain services, whose answers are short. */
export const DEFAULT_SERVICE_CLASS: ClassPolicy = {
  ...DEFAULT_CLASS,
  className: 'standard',
  answerLength: 'short',
  deadlineMs: 30_000,
};

const getDefaultPolicy = (request: CallerRequest): ClassPolicy =>
  request.kind === 'service' ? DEFAULT_SERVICE_CLASS : DEFAULT_CLASS;

/**
 * Finds the class of a request: the caller's, else the route's, else the customer's default class.
 *
 * @param request - request of a caller
 * @param customerDefault - default class of the customer, if any
 * @param published - classes that operators have published
 * @returns the policy of the class, or the name of a class that is not published
 */
export const findClass = (
  request: CallerRequest,
  customerDefault: ClassName | undefined,
  published: ReadonlyMap<ClassName, ClassPolicy>,
): ClassLookup => {
  const routeClass = request.kind === 'service' ? request.routeClass : null;
  const fallback = getDefaultPolicy(request);
  const name = request.className ?? routeClass ?? customerDefault ?? fallback.className;
  const policy = published.get(name);
  if (policy !== undefined) return { kind: 'found', policy };
  // A default class that is not published yet must not make every request fail.
  if (request.className === null)
    return { kind: 'found', policy: { ...fallback, className: name } };
  if (name === fallback.className) return { kind: 'found', policy: fallback };
  return { kind: 'unknown', className: name };
};
