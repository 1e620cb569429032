import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'earl';
import { callerOf } from '../lib/connection/caller.js';

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
      client.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(2));
    });
  });
  expect(seen).toEqual([false, false]);
});
