import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { z } from 'zod';
import type { HttpResponse, RequestError } from './httpClient.js';
import { parseJsonBytes } from '../../core/jsonText.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, FailureCode } from '../../core/verdict.js';

/** A service of the platform: its name in messages and the failure code of its outage. */
export interface PlatformService {
  readonly name: string;
  readonly code: FailureCode;
}

/**
 * Converts the response of a failed read to a failure. A read changes nothing, so the verdict is
 * `not-run`.
 *
 * @param service - name and code of the service
 * @param response - response without success status
 * @returns the failure, with the retry delay that the service sent
 */
export const toStatusFailure = (service: PlatformService, response: HttpResponse): Failure =>
  createFailure(
    'not-run',
    response.status === 429 ? 'overloaded' : service.code,
    `${service.name} answered with status ${response.status.toString()}`,
    response.retryAfterMs,
  );

/**
 * Resolves the body of a read.
 *
 * @param service - name and code of the service
 * @param result - response or error of the request
 * @returns the body, or a failure with the verdict `not-run`
 */
export const resolveBody = (
  service: PlatformService,
  result: Result<HttpResponse, RequestError>,
): Result<Uint8Array, Failure> => {
  if (result.isErr()) {
    const message = `${service.name} does not answer: ${result.error.message}`;
    return Err(createFailure('not-run', service.code, message));
  }
  const { status, body } = result.value;
  return status === 200 ? Ok(body) : Err(toStatusFailure(service, result.value));
};

/**
 * Decodes and validates a JSON body.
 *
 * @param service - name and code of the service
 * @param body - encoded JSON
 * @param schema - schema of the value
 * @returns the value, or a failure that names the invalid field or the offset of the syntax error
 */
export const decodeJson = <Value>(
  service: PlatformService,
  body: Uint8Array,
  schema: z.ZodType<Value>,
): Result<Value, Failure> => {
  const json = parseJsonBytes(body);
  if (json.isErr()) {
    return Err(createFailure('not-run', service.code, `${service.name}: ${json.error}`));
  }
  const parsed = schema.safeParse(json.value);
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  const message = `${service.name}: field "${field}": ${issue?.message ?? 'invalid'}`;
  return Err(createFailure('not-run', service.code, message));
};
