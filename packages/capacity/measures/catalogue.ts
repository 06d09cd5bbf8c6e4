/**
 * Every measure of the bench; docs/CAPACITY.md names its slopes by these names. Times are processor
 * time.
 */
export const MEASURES = [
  { name: 'heartbeat.round-time', size: 'endpoints', value: 'µs' },
  { name: 'heartbeat.tick-time', size: 'endpoints', value: 'µs' },
  { name: 'heartbeat.state', size: 'endpoints', value: 'bytes' },
  { name: 'heartbeat.rpc-time', size: 'endpoints', value: 'µs' },
  { name: 'heartbeat.rpc-received', size: 'endpoints', value: 'bytes' },
  { name: 'heartbeat.rpc-sent', size: 'endpoints', value: 'bytes' },
  { name: 'heartbeat.message', size: 'evidence rows', value: 'bytes' },
  { name: 'heartbeat.targets-time', size: 'entry daemons', value: 'µs' },
  { name: 'placement.decision-time', size: 'endpoints', value: 'µs' },
  { name: 'placement.views-time', size: 'endpoints', value: 'µs' },
  { name: 'stream.delivery-state', size: 'streams', value: 'bytes' },
  { name: 'stream.delivery-time', size: 'chunks', value: 'µs' },
  { name: 'stream.buffer-state', size: 'streams', value: 'bytes' },
  { name: 'stream.buffer-chunk-state', size: 'kept chunks', value: 'bytes' },
  { name: 'stream.buffer-time', size: 'chunks', value: 'µs' },
  { name: 'intents.state', size: 'chains', value: 'bytes' },
  { name: 'intents.fold-time', size: 'chains', value: 'µs' },
  { name: 'intents.records', size: 'chains', value: 'bytes' },
  { name: 'intents.carried', size: 'chains', value: 'bytes' },
  { name: 'fairness.state', size: 'customers', value: 'bytes' },
  { name: 'fairness.event-time', size: 'customers', value: 'µs' },
  { name: 'fairness.budgets', size: 'customers', value: 'bytes' },
  { name: 'fairness.keys', size: 'customers', value: 'bytes' },
  { name: 'configuration.state', size: 'entities', value: 'bytes' },
  { name: 'configuration.fold-time', size: 'entities', value: 'µs' },
  { name: 'configuration.view-time', size: 'entities', value: 'µs' },
  { name: 'configuration.record', size: 'records', value: 'bytes' },
  { name: 'configuration.snapshot', size: 'entities', value: 'bytes' },
  { name: 'configuration.snapshot-time', size: 'entities', value: 'µs' },
  { name: 'survival.state', size: 'keys', value: 'bytes' },
  { name: 'endpoint.poll-time', size: 'sequences', value: 'µs' },
  { name: 'endpoint.sweep-time', size: 'sequences', value: 'µs' },
  { name: 'endpoint.admit-time', size: 'sequences', value: 'µs' },
  { name: 'list.answer', size: 'instances', value: 'bytes' },
  { name: 'list.read-time', size: 'instances', value: 'µs' },
] as const;

export type MeasureName = (typeof MEASURES)[number]['name'];
