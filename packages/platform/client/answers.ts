import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { z } from 'zod';
import type { Exchange, ExchangeError } from './exchange.js';
import { parseJsonBytes } from '../../core/jsonText.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure, FailureCode } from '../../core/verdict.js';

/** Name of a service in messages, and the code of its outage. */
export interface ServiceName {
  readonly name: string;
  readonly code: FailureCode;
}

/**
 * Describes an answer that is no success. Reading changes nothing, so the verdict is `not-run`.
 *
 * @param service - name and code of the service
 * @param exchange - the answer
 * @returns the failure, with the service's time of retry
 */
export const toStatusFailure = (service: ServiceName, exchange: Exchange): Failure =>
  createFailure(
    'not-run',
    exchange.status === 429 ? 'overloaded' : service.code,
    `${service.name} answered with status ${exchange.status.toString()}`,
    exchange.retryAfterMs,
  );

/**
 * Takes the body of a successful read.
 *
 * @param service - name and code of the service
 * @param result - the exchange or its error
 * @returns the body, or a failure with verdict `not-run`
 */
export const resolveBody = (
  service: ServiceName,
  result: Result<Exchange, ExchangeError>,
): Result<Uint8Array, Failure> => {
  if (result.isErr()) {
    const message = `${service.name} does not answer: ${result.error.message}`;
    return Err(createFailure('not-run', service.code, message));
  }
  const { status, body } = result.value;
  return status === 200 ? Ok(body) : Err(toStatusFailure(service, result.value));
};

/**
 * Decodes and checks a JSON body.
 *
 * @param service - name and code of the service
 * @param body - the bytes
 * @param schema - form of the value
 * @returns the value, or a failure that names the bad field or the offset
 */
export const decodeJson = <Value>(
  service: ServiceName,
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
