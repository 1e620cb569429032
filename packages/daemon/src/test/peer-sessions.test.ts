import http2 from 'node:http2';
import type { ClientHttp2Session, ServerHttp2Session } from 'node:http2';
import { syncBuiltinESMExports } from 'node:module';
import type { AddressInfo } from 'node:net';
import { expect } from 'earl';
import { connectPeer } from '../lib/connection/rpc.js';

const HOST = '127.0.0.1';

/** Collects the client sessions that are opened while a check runs. */
const withSessions = async (
  check: (sessions: readonly ClientHttp2Session[]) => Promise<void>,
): Promise<void> => {
  const sessions: ClientHttp2Session[] = [];
  const original = http2.connect;
  http2.connect = ((...args: Parameters<typeof original>) => {
    const session = original(...args);
    sessions.push(session);
    return session;
  }) as typeof original;
  syncBuiltinESMExports();
  try {
    await check(sessions);
  } finally {
    http2.connect = original;
    syncBuiltinESMExports();
  }
};

// Guards against an entry that ends with an uncaught error because another one
// shuts down: connect-node removes its error listener when a session is aborted,
// also from one that is being destroyed with an error.
it('a session that is aborted after a GOAWAY raises no uncaught error', () =>
  withSessions(async (sessions) => {
    const server = http2.createServer();
    const serverSessions: ServerHttp2Session[] = [];
    server.on('session', (session) => serverSessions.push(session));
    server.on('stream', (stream) => {
      stream.respond({ ':status': 503 }, { endStream: true });
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as AddressInfo;
    const rpc = connectPeer({ address: `${HOST}:${String(port)}` });
    await rpc.client.probe({}).catch(() => undefined);
    const [session] = sessions;
    const closed = new Promise<void>((resolve) => {
      session?.once('goaway', () => {
        rpc.close();
      });
      session?.once('close', () => {
        resolve();
      });
    });
    serverSessions[0]?.goaway();
    await closed;
    expect(session?.destroyed).toEqual(true);
    server.close();
  }));
