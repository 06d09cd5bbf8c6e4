/** Process that sends the heartbeats of all endpoint daemons for `heartbeatCalls.ts`. */
import { buildHeartbeat } from './heartbeats.js';
import type { SenderCommand, SenderReport } from './heartbeatCalls.js';
import type { EndpointEvent, HeartbeatContent } from '../../endpoint/types.js';
import { createEntryClient } from '../../endpoint/heartbeats/entryClient.js';
import type { EntryClient } from '../../endpoint/heartbeats/entryClient.js';

const HEARTBEAT_TIMEOUT_MS = 60_000;

/** Maximum number of concurrent calls; a real fleet spreads its heartbeats over the interval. */
const MAX_IN_FLIGHT = 16;

interface Sender {
  readonly client: EntryClient;
  readonly content: HeartbeatContent;
}

const pending = new Map<number, () => void>();
let lastSequence = 0;

const handleEvent = (event: EndpointEvent): void => {
  if (event.kind === 'heartbeat-failed') throw new Error(event.reason);
  if (event.kind !== 'acknowledged') return;
  const resolve = pending.get(event.sequence);
  pending.delete(event.sequence);
  resolve?.();
};

const createSender = (index: number): Sender => {
  const { endpoint, instance, dataCentre, incarnation, model, version, rpcUrl, httpUrl, load } =
    buildHeartbeat(index);
  const { evidence, engineStart } = buildHeartbeat(index);
  const identity = { endpoint, instance, dataCentre, incarnation, version, rpcUrl, httpUrl };
  const { limit, prefixes, prefixAgeMs, prefixGaps, ...loadFields } = load;
  return {
    client: createEntryClient(
      () => ({ ...identity, model: model ?? '', service: '' }),
      HEARTBEAT_TIMEOUT_MS,
      handleEvent,
    ),
    content: {
      sequence: 0,
      engineStart,
      phase: 'serving',
      limit,
      load: { ...loadFields, startId: engineStart },
      prefixes,
      prefixAgeMs,
      prefixGaps,
      evidence,
      configurationOffset: 0,
    },
  };
};

const sendHeartbeat = (sender: Sender, url: string): Promise<void> => {
  lastSequence += 1;
  const sequence = lastSequence;
  return new Promise((resolve) => {
    pending.set(sequence, resolve);
    sender.client.sendHeartbeat('entry', url, { ...sender.content, sequence });
  });
};

const sendRound = async (senders: readonly Sender[], url: string): Promise<void> => {
  const remaining = senders.values();
  const sendRemaining = async (): Promise<void> => {
    for (const sender of remaining) await sendHeartbeat(sender, url);
  };
  await Promise.all(Array.from({ length: MAX_IN_FLIGHT }, sendRemaining));
};

const send = (message: SenderReport): void => {
  process.send?.(message);
};

let senders: readonly Sender[] = [];

const handleCommand = async (command: SenderCommand): Promise<void> => {
  switch (command.kind) {
    case 'connect':
      senders = Array.from({ length: command.endpoints }, (_, index) => createSender(index));
      break;
    case 'send-rounds':
      for (let round = 0; round < command.rounds; round += 1) await sendRound(senders, command.url);
      break;
    case 'close':
      for (const { client } of senders) client.close();
      process.disconnect();
      return;
  }
  send({ kind: 'done' });
};

process.on('message', (command: SenderCommand) => void handleCommand(command));
