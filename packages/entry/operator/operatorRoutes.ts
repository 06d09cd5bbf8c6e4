import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { assertNever } from '../../core/assertNever.js';
import { createId } from '../../core/ids.js';
import { parseJsonBytes } from '../../core/jsonText.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { ConfigurationState } from '../../decisions/configuration/types.js';
import type { EntrySettings } from '../../settings/types.js';
import { toProblem } from '../../wire/problem.js';
import type { EntryEvent, OperatorOutcome } from '../events.js';
import { createKeyTable } from '../frontend/authentication.js';
import { readCallerRequestId } from '../frontend/requestId.js';

type Operator = EntrySettings['operators'][number];

/** Move in the answers of the operator API. */
export interface MoveRow {
  readonly name: string;
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly deadline: number;
  /** Share of the new version, from 0 to 1. */
  readonly share: number;
  readonly state: string;
  readonly reason?: string;
}

/** Dependencies of the operator API. */
export interface OperatorRoutesOptions {
  readonly operators: readonly Operator[];
  readonly getConfiguration: () => ConfigurationState;
  readonly listMoves: () => readonly MoveRow[];
  readonly post: (event: EntryEvent) => 'queued' | 'shed';
}

/** Sends outcomes of the loop to the operators that wait for them. */
export interface OperatorReplies {
  readonly send: (operationId: string, outcome: OperatorOutcome) => void;
}

const UNPROCESSABLE = 422;

const sendFailure = (reply: FastifyReply, failure: Failure, extraFields: object = {}): void => {
  const requestId = readCallerRequestId(reply.request) ?? createId();
  const problem = toProblem(failure, requestId);
  const status = failure.code === 'bad-request' ? UNPROCESSABLE : problem.status;
  void reply
    .code(status)
    .header('x-request-id', requestId)
    .type('application/problem+json')
    .send({ ...problem, status, ...extraFields });
};

const sendOutcome = (reply: FastifyReply, outcome: OperatorOutcome): void => {
  switch (outcome.kind) {
    case 'in-force':
      void reply.send({ result: 'in-force', offset: outcome.offset });
      return;
    case 'dry-run':
      void reply.send({ result: 'dry-run', change: outcome.change });
      return;
    case 'lost': {
      const { winner } = outcome;
      const message = `${winner.author} changed it at offset ${winner.offset.toString()}`;
      sendFailure(reply, createFailure('not-run', 'lost-race', message), { winner });
      return;
    }
    case 'failed':
      sendFailure(reply, outcome.failure);
      return;
    default:
      assertNever(outcome);
  }
};

/**
 * Registers the routes of the operator API, which accepts only declarative records.
 *
 * @param server - HTTP server of the daemon
 * @param options - operators, configuration and a function that posts to the loop
 * @returns the sender of replies
 */
export const registerOperatorRoutes = (
  server: FastifyInstance,
  options: OperatorRoutesOptions,
): OperatorReplies => {
  const operators = createKeyTable<Operator>(options.operators);
  const pendingReplies = new Map<string, FastifyReply>();

  const findOperator = (request: FastifyRequest, reply: FastifyReply): Operator | undefined => {
    const operator = operators.findHolder(request.headers.authorization);
    if (operator === undefined) {
      const message = 'Authorization: the operator key is missing or unknown';
      sendFailure(reply, createFailure('not-run', 'unauthorized', message));
    }
    return operator;
  };

  server.get('/operator/configuration', (request, reply) => {
    if (findOperator(request, reply) === undefined) return reply;
    const { nextOffset, entities } = options.getConfiguration();
    return reply.send({ offset: nextOffset, entities: [...entities.values()] });
  });

  server.get('/operator/moves', (request, reply) => {
    if (findOperator(request, reply) === undefined) return reply;
    return reply.send({ moves: options.listMoves() });
  });

  server.post<{ Querystring: { dryRun?: string } }>('/operator/records', (request, reply) => {
    const operator = findOperator(request, reply);
    if (operator === undefined) return reply;
    const parsed = parseJsonBytes(request.body instanceof Buffer ? request.body : new Uint8Array());
    if (parsed.isErr()) {
      sendFailure(reply, createFailure('not-run', 'bad-request', `body: ${parsed.error}`));
      return reply;
    }
    const body = parsed.value;
    const operationId = createId();
    pendingReplies.set(operationId, reply);
    const run = request.query.dryRun === 'true' ? 'dry' : 'real';
    const author = operator.name;
    options.post({ to: 'operator', kind: 'record-posted', operationId, author, body, run });
    return reply;
  });

  return {
    send: (operationId, outcome) => {
      const reply = pendingReplies.get(operationId);
      pendingReplies.delete(operationId);
      if (reply !== undefined) sendOutcome(reply, outcome);
    },
  };
};
