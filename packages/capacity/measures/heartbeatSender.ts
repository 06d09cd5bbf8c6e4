/** Process that stands for the endpoint daemons of `heartbeatCalls.ts`. */
import { buildHeartbeat } from './heartbeats.js';
import type { SenderOrder, SenderReport } from './heartbeatCalls.js';
import type { EndpointEvent, HeartbeatContent } from '../../endpoint/types.js';
import { createEntryClient } from '../../endpoint/heartbeats/entryClient.js';
import type { EntryClient } from '../../endpoint/heartbeats/entryClient.js';

const TIMEOUT_MS = 60_000;

/** Calls under way at once; a real fleet spreads its heartbeats over the interval. */
const MAX_IN_FLIGHT = 16;

interface Sender {
  readonly client: EntryClient;
  readonly content: HeartbeatContent;
}

const waiting = new Map<number, () => void>();
let sequence = 0;

const handleEvent = (event: EndpointEvent): void => {
  if (event.kind === 'beat-failed') throw new Error(event.reason);
  if (event.kind !== 'acknowledged') return;
  const resolve = waiting.get(event.sequence);
  waiting.delete(event.sequence);
  resolve?.();
};

const createSender = (index: number): Sender => {
  const { endpoint, instance, dataCentre, incarnation, model, version, rpcUrl, httpUrl, load } =
    buildHeartbeat(index);
  const { evidence, engineStart } = buildHeartbeat(index);
  const identity = { endpoint, instance, dataCentre, incarnation, version, rpcUrl, httpUrl };
  const { limit, prefixes, prefixAgeMs, prefixGaps, ...figures } = load;
  return {
    client: createEntryClient(
      () => ({ ...identity, model: model ?? '', service: '' }),
      TIMEOUT_MS,
      handleEvent,
    ),
    content: {
      sequence: 0,
      engineStart,
      phase: 'serving',
      limit,
      load: { ...figures, startId: engineStart },
      prefixes,
      prefixAgeMs,
      prefixGaps,
      evidence,
      configurationOffset: 0,
    },
  };
};

const sendOne = (sender: Sender, url: string): Promise<void> => {
  sequence += 1;
  const own = sequence;
  return new Promise((resolve) => {
    waiting.set(own, resolve);
    sender.client.sendHeartbeat('entry', url, { ...sender.content, sequence: own });
  });
};

const sendRound = async (senders: readonly Sender[], url: string): Promise<void> => {
  const rest = senders.values();
  const run = async (): Promise<void> => {
    for (const sender of rest) await sendOne(sender, url);
  };
  await Promise.all(Array.from({ length: MAX_IN_FLIGHT }, run));
};

const report = (message: SenderReport): void => {
  process.send?.(message);
};

let senders: readonly Sender[] = [];

const handleOrder = async (order: SenderOrder): Promise<void> => {
  switch (order.kind) {
    case 'connect':
      senders = Array.from({ length: order.endpoints }, (_, index) => createSender(index));
      break;
    case 'send-rounds':
      for (let round = 0; round < order.rounds; round += 1) await sendRound(senders, order.url);
      break;
    case 'close':
      for (const { client } of senders) client.close();
      process.disconnect();
      return;
  }
  report({ kind: 'done' });
};

process.on('message', (order: SenderOrder) => void handleOrder(order));
