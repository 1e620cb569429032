import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { entrySchema } from '@sapphiremux/settings';
import { expect } from 'earl';
import { EntryHost } from '../lib/process/entry-host.js';
import { HeldCalls } from '../lib/process/held-calls.js';
import { createLogger } from '../lib/process/logger.js';

const CALLER = { isGone: false, onGone: () => undefined };

it('a held call is passed on after the next poll, unless its caller has gone', async () => {
  let batches = 0;
  const held = new HeldCalls(() => {
    batches += 1;
  });
  const caller = { isGone: false, onGone: () => undefined };
  const dropped: string[] = [];
  const hold = (name: string, from: typeof caller): Promise<string> =>
    held.hold({
      caller: from,
      pass: () => name,
      onDropped: () => {
        dropped.push(name);
      },
    });
  const kept = hold('kept', CALLER);
  void hold('gone', caller);
  expect(held.count).toEqual(2);
  caller.isGone = true;
  expect(await kept).toEqual('kept');
  await delay(0);
  expect(dropped).toEqual(['gone']);
  expect([held.count, batches]).toEqual([0, 1]);
});

// Guards against a connection that is closed without an answer.
it('a request that is held when a planned stop ends is refused', async () => {
  // A store that reports every write as a conflict makes the entry retire.
  const store = createServer((req, res) => {
    const isWrite = req.url === '/v1/transact';
    res.writeHead(isWrite ? 409 : 200, { 'content-type': 'application/json' });
    const rows = { kind: 'rows', rows: [] };
    res.end(
      JSON.stringify(isWrite ? { kind: 'conflict', keys: ['member/i'] } : rows),
    );
  });
  await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
  const { port } = store.address() as AddressInfo;
  let stops = 0;
  const host = new EntryHost({
    settings: entrySchema.parse({
      role: 'entry',
      id: 'e',
      data_centre: 'a',
      listen: { host: '127.0.0.1', port: 1 },
      store: { url: `http://127.0.0.1:${String(port)}` },
      http: { port: 2 },
    }),
    newIncarnation: () => 'i',
    log: createLogger({
      level: 'error',
      format: 'json',
      name: 'e',
      write: () => undefined,
    }),
    onStopped: () => {
      stops += 1;
    },
  });
  host.dispatch({ kind: 'stop' });
  const reply = host.dispatchRequest(
    (replyId) => ({
      kind: 'request',
      replyId,
      request: {
        desk: 'd',
        endpoint: 'p',
        payload: 'null',
        contentType: 'application/json',
        idempotent: false,
        dataCentres: [],
        deadlineMs: Date.now() + 1000,
      } as never,
    }),
    CALLER,
  );
  // The stop ends in this turn, before the request is passed on.
  host.dispatch({ kind: 'tick' });
  const kind = await Promise.race([
    reply.then((value) => value.kind),
    delay(1000, 'none'),
  ]);
  expect(kind).toEqual('error');
  for (let left = 40; left > 0 && stops === 0; left -= 1) {
    host.dispatch({ kind: 'tick' });
    await delay(25);
  }
  expect(stops).toEqual(1);
  const late = host.dispatchRequest(
    (replyId) => ({
      kind: 'ask',
      replyId,
      job: 'j',
      waitMs: 0,
      cancel: false,
      forward: false,
    }),
    CALLER,
  );
  const lateKind = await Promise.race([
    late.then((value) => value.kind),
    delay(1000, 'none'),
  ]);
  expect(lateKind).toEqual('error');
  await host.close();
  store.close();
});
