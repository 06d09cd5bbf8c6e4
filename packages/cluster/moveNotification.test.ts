import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { startCluster } from './startCluster.js';
import { waitForLogEvent, waitUntil } from './testing.js';
import type { Cluster } from './types.js';

interface ReceivedNotification {
  readonly id: string;
  readonly event: string;
}

const MOVE_NAME = 'to-v2';

let cluster: Cluster;
let receiver: Server;
let port: number;
let notifications: ReceivedNotification[];

test.beforeEach(async () => {
  notifications = [];
  receiver = createServer((message, reply) => {
    const parts: Buffer[] = [];
    message.on('data', (part: Buffer) => parts.push(part));
    message.on('end', () => {
      notifications.push(JSON.parse(Buffer.concat(parts).toString('utf8')) as ReceivedNotification);
      reply.end();
    });
  });
  await new Promise<void>((resolve) => receiver.listen(0, '127.0.0.1', resolve));
  ({ port } = receiver.address() as AddressInfo);
  const webhookUrl = `http://127.0.0.1:${port.toString()}/`;
  cluster = await startCluster({ engines: [{}], ledgers: 0, webhookUrl });
});

test.afterEach.always(async () => {
  await cluster.stop();
  receiver.closeAllConnections();
  receiver.close();
});

const publish = async (kind: string, body: object, basedOn: number | null): Promise<number> => {
  const answer = await request(`${cluster.operatorUrl}/operator/records`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${cluster.operatorKey}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({ kind, entity: MOVE_NAME, basedOn, body }),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(text);
  return (JSON.parse(text) as { readonly offset: number }).offset;
};

const startMove = (): Promise<number> => {
  const now = Date.now();
  const move = { name: MOVE_NAME, model: cluster.model, from: 'v1', to: 'v2' };
  return publish('move', { ...move, startedAt: now, deadline: now + 600_000 }, null);
};

const listEndNotifications = (): readonly ReceivedNotification[] =>
  notifications.filter(({ event }) => event === 'move-taken-back');

const waitForNotifiedRecord = (url: string) =>
  waitForLogEvent(url, 'configuration-applied', ({ data }) => data?.['kind'] === 'move-notified');

// Guards against duplicate notifications: from every entry daemon, or from a daemon that is
// restarted after the move has ended.
test.serial('an ended move is notified once by two entry daemons', async (t) => {
  const offset = await startMove();
  await publish('move-ended', { outcome: 'taken-back', reason: 'by hand' }, offset);
  for (const url of cluster.entryUrls) await waitForNotifiedRecord(url);
  t.is(listEndNotifications().length, 1);
  t.regex(listEndNotifications()[0]?.id ?? '', /^move-taken-back\/to-v2\/\d+$/);
  await cluster.findProcess('entry-1').restart();
  await waitForNotifiedRecord(cluster.entryUrls[0] ?? '');
  t.is(listEndNotifications().length, 1);
});

// Guards against a missing notification when the daemon that appended the end of the move was
// killed.
test.serial(
  'another entry daemon notifies when the daemon that ended the move was killed',
  async (t) => {
    const offset = await startMove();
    const [first = '', second = ''] = cluster.entryUrls;
    await waitForLogEvent(second, 'move-started');
    // The receiver is down, so the first daemon appends the end of the move but cannot notify.
    receiver.closeAllConnections();
    await new Promise((resolve) => receiver.close(resolve));
    await publish('move-ended', { outcome: 'taken-back', reason: 'by hand' }, offset);
    await waitForLogEvent(first, 'notification-failed');
    await cluster.findProcess('entry-1').kill('SIGKILL');
    t.is(listEndNotifications().length, 0);
    await new Promise<void>((resolve) => receiver.listen(port, '127.0.0.1', resolve));
    await waitUntil(() => Promise.resolve(listEndNotifications().length > 0 ? true : undefined));
    await waitForNotifiedRecord(second);
    t.is(listEndNotifications().length, 1);
  },
);
