import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'earl';
import { NextPoll } from '../lib/process/next-poll.js';

// Guards against work for a peer whose reset arrived together with its data.
it('a reset that arrived with the data is read before the callback', async () => {
  const isDestroyed = await new Promise<boolean>((resolve) => {
    const nextPoll = new NextPoll(() => undefined);
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        nextPoll.schedule(() => {
          resolve(socket.destroyed);
        });
      });
      server.close();
    }).listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      const client = connect(port, '127.0.0.1', () => {
        client.write('x');
        client.resetAndDestroy();
      });
    });
  });
  expect(isDestroyed).toEqual(true);
});

it('callbacks of one turn run in one batch, in their order', async () => {
  const events: string[] = [];
  await new Promise<void>((resolve) => {
    const nextPoll = new NextPoll(resolve);
    nextPoll.schedule(() => events.push('first'));
    nextPoll.schedule(() => events.push('second'));
  });
  expect(events).toEqual(['first', 'second']);
});
