import { createServer } from 'node:http';
import { startOnLoopback } from './loopback.js';
import { getProcessorTime } from '../sampling/duration.js';
import type { Experiment } from '../types.js';
import { createListClient } from '../../platform/client/listClient.js';
import type { Instance } from '../../platform/client/types.js';

const MEASURED_READS = 10;

const buildInstance = (index: number): Instance => {
  const role = index % 16 === 0 ? 'entry' : 'endpoint';
  const id = `instance-${index.toString().padStart(5, '0')}`;
  const base = {
    id,
    role,
    dataCentre: `region-${(index % 8).toString()}-dc-${(index % 17).toString()}`,
    state: 'live',
    rpcUrl: 'http://10.120.130.140:45100',
    httpUrl: 'http://10.120.130.140:45200',
  } as const;
  return role === 'entry' ? base : { ...base, model: 'draft', version: 'v2026-12-01' };
};

const measureReads = async (baseUrl: string, expected: number): Promise<number> => {
  const client = createListClient({ baseUrl, timeoutMs: 10_000 });
  const read = async (): Promise<void> => {
    const result = await client.fetchInstances();
    if (result.isErr()) throw new Error(result.error.message);
    if (result.value.length !== expected) throw new Error('an instance is missing');
  };
  await read();
  const startedAt = getProcessorTime();
  for (let count = 0; count < MEASURED_READS; count += 1) await read();
  const processorTime = getProcessorTime() - startedAt;
  await client.close();
  return processorTime / MEASURED_READS;
};

/**
 * Measures reads of the list. The response body is built in advance, so that the server, which runs
 * in this process, adds little more than the write to the socket.
 */
const measureList = async (instances: number) => {
  const list = Array.from({ length: instances }, (_, index) => buildInstance(index));
  const body = Buffer.from(JSON.stringify({ instances: list }));
  const server = createServer((_, response) => {
    response.writeHead(200, { 'content-type': 'application/json' }).end(body);
  });
  const readTime = await measureReads(await startOnLoopback(server), instances);
  await new Promise((resolve) => server.close(resolve));
  return { 'list.answer': body.length, 'list.read-time': readTime };
};

/** One read of the platform's instance list over loopback. */
export const LIST_EXPERIMENTS: readonly Experiment[] = [
  { name: 'instance list', sizes: [800, 3_200, 12_800], measure: measureList },
];
