import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'earl';
import { callerOf } from '../lib/connection/caller.js';
import { TurnFlush } from '../lib/process/turn-flush.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

// Guards against a pipelined request that is dropped and never answered.
it('the caller of a pipelined request is not gone', async () => {
  const seen: boolean[] = [];
  await new Promise<void>((resolve) => {
    const server = createServer((_req, res) => {
      seen.push(callerOf(res).isGone);
      if (seen.length === 2) {
        server.closeAllConnections();
        server.close();
        resolve();
      }
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      const client = connect(port, '127.0.0.1');
      client.on('error', () => undefined);
      client.write(REQUEST.repeat(2));
    });
  });
  expect(seen).toEqual([false, false]);
});

/**
 * Lets a caller disconnect just after a message on another connection, so that
 * both are read in one poll.
 *
 * @param disconnect - How the caller disconnects.
 * @returns Number of times that its listener had been called when the turn that
 *   reads the message was flushed, and some turns later.
 */
const countsAfterDisconnect = (
  disconnect: (socket: Socket) => void,
): Promise<number[]> =>
  new Promise((resolve) => {
    let count = 0;
    const flush = new TurnFlush(() => {
      const atFlush = count;
      setTimeout(() => {
        server.closeAllConnections();
        server.close();
        resolve([atFlush, count]);
      }, 20);
    });
    const onBothConnected = (): void => {
      other.write('x');
      disconnect(caller);
    };
    const server = createServer((_req, res) => {
      callerOf(res).onGone(() => {
        count += 1;
      });
      setImmediate(onBothConnected);
    });
    server.on('connection', (socket: Socket) => {
      if (socket.remotePort === other.localPort) {
        socket.prependListener('data', () => {
          flush.schedule();
        });
      }
    });
    server.on('clientError', () => undefined);
    let caller: Socket;
    let other: Socket;
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      other = connect(port, '127.0.0.1', () => {
        caller = connect(port, '127.0.0.1', () => {
          caller.write(REQUEST);
        });
        caller.on('error', () => undefined);
      });
    });
  });

// Guards against work for a caller whose reset has been read in the same turn.
it('a reset is known at the end of the turn that reads it', async () => {
  const counts = await countsAfterDisconnect((socket) => {
    socket.resetAndDestroy();
  });
  expect(counts).toEqual([1, 1]);
});

it('a close is known at the end of the turn that reads it', async () => {
  const counts = await countsAfterDisconnect((socket) => {
    socket.destroy();
  });
  expect(counts).toEqual([1, 1]);
});

// Guards against listeners that add up on a connection that is kept open.
it('the end of a connection concerns only the request that waits', async () => {
  const gone: number[] = [];
  const listenerCounts: number[] = [];
  let requests = 0;
  const waiting = await new Promise<ServerResponse>((resolve) => {
    const server = createServer((_req, res) => {
      const number = (requests += 1);
      callerOf(res).onGone(() => {
        gone.push(number);
      });
      listenerCounts.push(res.req.socket.listenerCount('end'));
      if (number === 1) {
        res.end();
      } else {
        server.close();
        resolve(res);
      }
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      const client = connect(port, '127.0.0.1', () => client.write(REQUEST));
      client.once('data', () => client.write(REQUEST));
      client.on('error', () => undefined);
    });
  });
  expect(gone).toEqual([1]);
  waiting.req.socket.destroy();
  await new Promise((resolve) => waiting.once('close', resolve));
  expect(gone).toEqual([1, 2]);
  expect(listenerCounts[1]).toEqual(listenerCounts[0]);
});
