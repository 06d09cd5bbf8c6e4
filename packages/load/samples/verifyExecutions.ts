import type { Dispatcher } from 'undici';
import { fetchGenerationCounts, fetchExecutionCount } from './fetchPages.js';
import { formatRequestId } from '../client/requestId.js';
import { INSPECTION_CONCURRENCY } from '../constants.js';
import { checkExecutions, checkRefusedGeneration } from '../requests/executionCheck.js';
import type { RequestRecord, Violation } from '../requests/types.js';
import type { TargetCluster } from '../types.js';

type Decision = ReturnType<typeof checkExecutions>;

const toViolations = (
  record: RequestRecord,
  requestId: string,
  count: number,
  decision: Decision,
): readonly Violation[] => {
  if (decision === 'none') return [];
  const { className } = record.arrival;
  const detail = `${count.toString()} executions after ${JSON.stringify(record.outcome)}`;
  return [{ kind: decision, requestId, className, detail }];
};

/** Processes items in batches, so that the inspection does not overload the stand-ins. */
const collectInBatches = async <Item, Result>(
  items: readonly Item[],
  checkItem: (item: Item) => Promise<readonly Result[]>,
): Promise<readonly Result[]> => {
  const results: Result[] = [];
  for (let from = 0; from < items.length; from += INSPECTION_CONCURRENCY) {
    const batch = items.slice(from, from + INSPECTION_CONCURRENCY);
    for (const found of await Promise.all(batch.map(checkItem))) results.push(...found);
  }
  return results;
};

/**
 * Compares the outcomes that callers received with the executions that the stand-ins counted.
 *
 * @param run - id of the run
 * @param records - requests and their outcomes
 * @param cluster - addresses of the stand-ins
 * @param dispatcher - HTTP connections
 * @returns the violations
 */
export const verifyExecutions = async (
  run: string,
  records: readonly RequestRecord[],
  cluster: Pick<TargetCluster, 'engineUrls' | 'ledgerUrls'>,
  dispatcher: Dispatcher,
): Promise<readonly Violation[]> => {
  const inspectionUrls = Object.values(cluster.ledgerUrls).map((urls) => urls.inspectionUrl);
  const executionRecords = records.filter(({ arrival }) => arrival.work.kind === 'execution');
  const generationRecords = records.filter(({ arrival }) => arrival.work.kind === 'generation');
  const executionViolations = await collectInBatches(executionRecords, async (record) => {
    const requestId = formatRequestId(run, record.arrival.number);
    const count = await fetchExecutionCount(inspectionUrls, requestId, dispatcher);
    return toViolations(record, requestId, count, checkExecutions(record, count));
  });
  const generationCounts = await fetchGenerationCounts(cluster.engineUrls, dispatcher);
  const generationViolations = generationRecords.flatMap((record) => {
    const requestId = formatRequestId(run, record.arrival.number);
    const count = generationCounts.get(requestId) ?? 0;
    return toViolations(record, requestId, count, checkRefusedGeneration(record, count));
  });
  return [...executionViolations, ...generationViolations];
};
