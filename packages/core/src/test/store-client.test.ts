import { expect } from 'earl';
import { StoreClient } from '../lib/process/store-client.js';

it('queues reads above the rate limit but not writes', () => {
  const sent: string[] = [];
  const emit = (_opId: number, req: { kind: string }): void => {
    sent.push(req.kind);
  };
  const client = new StoreClient({ emit, readsPerSecond: 2 }, 0);
  const onReply = (): void => undefined;
  for (let n = 0; n < 4; n++) {
    client.call({ kind: 'read', keys: [] }, onReply);
  }
  client.call({ kind: 'transact', conditions: [], writes: [] }, onReply);
  expect(sent).toEqual(['read', 'read', 'transact']);
  client.pump(500);
  expect(sent.length).toEqual(4);
  client.pump(1000);
  expect(sent.length).toEqual(5);
});
