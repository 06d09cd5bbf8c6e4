import { measureDuration } from '../sampling/duration.js';
import { measureMemory } from '../sampling/memory.js';
import type { Experiment } from '../types.js';
import { createId } from '../../core/ids.js';
import { createQueueState, decideQueue } from '../../decisions/fairness/decideQueue.js';
import type { QueueState, WaitingRequest } from '../../decisions/fairness/types.js';
import { createBudgetTable } from '../../decisions/retries/budgetTable.js';
import { createKeyTable } from '../../entry/frontend/authentication.js';

const NOW = 1_800_000_000_000;

const formatCustomer = (index: number): string => `customer-${index.toString().padStart(5, '0')}`;

const buildRequest = (customer: string): WaitingRequest => ({
  requestId: createId(),
  className: 'standard',
  importance: 'standard',
  resource: 'model draft',
  customer,
  weight: 1,
  predictedTokens: 900,
  enqueuedAt: NOW,
  latestStartAt: NOW + 30_000,
});

/** Creates a queue whose bounds exceed the number of customers, so that it sheds no request. */
const createEmptyQueue = (customers: number): QueueState =>
  createQueueState({
    maxWaiting: customers * 4,
    maxWaitingPerClass: customers * 4,
    retryAfterMs: 1_000,
  });

/**
 * Builds a queue with one waiting request of every customer. Fair shares are tracked for customers
 * with waiting requests, so this is their largest number.
 */
const buildQueue = (customers: number): QueueState => {
  const requests = Array.from({ length: customers }, (_, index) =>
    buildRequest(formatCustomer(index)),
  );
  const lane = {
    className: 'standard',
    importance: 'standard',
    resource: 'model draft',
    virtualTime: 0,
    count: customers,
    customers: new Map(
      requests.map((request) => [
        request.customer,
        { customer: request.customer, weight: 1, startTag: 0, waiting: [request] },
      ]),
    ),
  } as const;
  const key = 'standard\u0000model draft';
  return { ...createEmptyQueue(customers), lanes: new Map([[key, lane]]) };
};

const measureQueue = (customers: number) => {
  const { bytes, state } = measureMemory(() => buildQueue(customers));
  const request = buildRequest(formatCustomer(0));
  const enqueueAndTake = () => {
    const { requestId } = request;
    const queued = decideQueue(state, { kind: 'enqueue', request }).state;
    decideQueue(queued, { kind: 'dequeue', requestId });
  };
  return { 'fairness.state': bytes, 'fairness.event-time': measureDuration(enqueueAndTake) / 2 };
};

const measureCustomerTables = (customers: number) => {
  const budgets = measureMemory(() => {
    const table = createBudgetTable(NOW);
    for (let index = 0; index < customers; index += 1) {
      const customer = formatCustomer(index);
      table.update(customer, 'standard', table.get(customer, 'standard', NOW));
    }
    return table;
  });
  const keys = measureMemory(() =>
    createKeyTable(
      Array.from({ length: customers }, (_, index) => ({
        id: formatCustomer(index),
        keyHash: `${createId()}${createId()}`.replaceAll('-', ''),
        weight: 1,
        defaultClass: 'standard',
      })),
    ),
  );
  if (budgets.state.getSize() !== customers || keys.state.findHolder('Bearer x') !== undefined) {
    throw new Error('a table does not hold the entries that were added');
  }
  return { 'fairness.budgets': budgets.bytes, 'fairness.keys': keys.bytes };
};

/** State that an entry daemon can hold for each customer. */
export const FAIRNESS_EXPERIMENTS: readonly Experiment[] = [
  { name: 'fair queue', sizes: [1_000, 7_000, 28_000], measure: measureQueue },
  { name: 'customer tables', sizes: [1_000, 7_000, 28_000], measure: measureCustomerTables },
];
