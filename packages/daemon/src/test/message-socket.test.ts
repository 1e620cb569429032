import { Socket, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import {
  setTimeout as delay,
  setImmediate as nextTurn,
} from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import type { Decoded } from '@sapphiremux/wire';
import { expect } from 'earl';
import { startMessageServer } from '../lib/connection/message-server.js';
import {
  MAX_LINE_BYTES,
  MAX_PENDING_BYTES,
  MessageSocket,
} from '../lib/connection/message-socket.js';
import type { MessageFormat } from '../lib/connection/message-socket.js';

const LOCAL_HOST = '127.0.0.1';
const GREETING = '{"protocol":"sapphiremux.worker-stream","version":1}\n';

const HELD_MESSAGE = 'x'.repeat(64 * 1024);

const format: MessageFormat<string, string> = {
  encode: (msg) => JSON.stringify(msg),
  decode: (line): Decoded<string> => {
    try {
      return { kind: 'message', message: JSON.parse(line) as string };
    } catch {
      return { kind: 'invalid', detail: 'no string' };
    }
  },
};

/** Handlers that record what they receive. */
class Recorder {
  readonly messages: string[] = [];
  readonly closures: string[] = [];
  openCount = 0;
  readonly closed: Promise<string>;
  private _resolve: (detail: string) => void = () => undefined;

  constructor() {
    this.closed = new Promise((resolve) => {
      this._resolve = resolve;
    });
  }

  readonly onOpen = (): void => {
    this.openCount += 1;
  };

  onMessage = (msg: string): void => {
    this.messages.push(msg);
  };

  readonly onClosed = (detail: string): void => {
    this.closures.push(detail);
    this._resolve(detail);
  };
}

/** Passes chunks to an accepting socket without a network. */
const receive = (...chunks: (string | Buffer)[]): Recorder => {
  const recorder = new Recorder();
  const socket = new Socket();
  MessageSocket.accept(socket, format, recorder);
  for (const chunk of chunks) {
    socket.emit('data', Buffer.from(chunk));
  }
  return recorder;
};

const listen = (onSocket: (socket: Socket) => void): Promise<Server> => {
  const server = createServer(onSocket);
  return new Promise((resolve) => {
    server.listen(0, LOCAL_HOST, () => {
      resolve(server);
    });
  });
};

const addressOf = (port: number): string => `${LOCAL_HOST}:${String(port)}`;
const portOf = (server: Server): number =>
  (server.address() as AddressInfo).port;

it('messages arrive in both directions in their order', async () => {
  const acceptor = new Recorder();
  const connector = new Recorder();
  const server = await startMessageServer({
    host: LOCAL_HOST,
    port: 0,
    format,
    accept: () => ({
      onOpen: (link) => {
        acceptor.onOpen();
        link.send('welcome');
      },
      onClosed: acceptor.onClosed,
      onMessage: (msg) => {
        acceptor.onMessage(msg);
        if (msg === 'end') {
          link.close();
        }
      },
    }),
  });
  const link = MessageSocket.connect(addressOf(server.port), format, connector);
  link.send('a\nb');
  await until(() => connector.messages.length === 1);
  link.send('ü€😀');
  link.send('end');
  expect(await acceptor.closed).toEqual('closed by the peer');
  expect(acceptor.openCount).toEqual(1);
  expect(acceptor.messages).toEqual(['a\nb', 'ü€😀', 'end']);
  expect(connector.messages).toEqual(['welcome']);
  expect(connector.closures).toEqual([]);
  await server.close();
});

it('messages that are sent in one callback are written together', async () => {
  const chunks: string[] = [];
  const server = await listen((socket) => {
    socket.on('data', (chunk) => chunks.push(chunk.toString()));
  });
  const link = MessageSocket.connect(
    addressOf(portOf(server)),
    format,
    new Recorder(),
  );
  link.send('a');
  link.send('b');
  await until(() => chunks.length > 0);
  link.send('c');
  link.send('d');
  await until(() => chunks.length > 1);
  expect(chunks).toEqual([`${GREETING}"a"\n"b"\n`, '"c"\n"d"\n']);
  link.close();
  server.close();
});

it('a line may be split between any two bytes, also within a character', () => {
  const bytes = Buffer.from(`${GREETING}"ü€😀"\n"next"\n`);
  for (let at = 1; at < bytes.length; at += 1) {
    const { messages } = receive(bytes.subarray(0, at), bytes.subarray(at));
    expect(messages).toEqual(['ü€😀', 'next']);
  }
  const single = [...bytes].map((byte) => Buffer.of(byte));
  expect(receive(...single).messages).toEqual(['ü€😀', 'next']);
});

it('a chunk may contain many lines', () => {
  const sent = Array.from({ length: 500 }, (_, i) => `message ${String(i)}`);
  const lines = sent.map((msg) => `${format.encode(msg)}\n`).join('');
  expect(receive(GREETING + lines).messages).toEqual(sent);
});

it('nothing is received after an invalid line', async () => {
  const invalid: [line: string | Buffer, detail: string][] = [
    ['{', 'invalid line: no string'],
    ['', 'invalid line: no string'],
    [Buffer.of(0x22, 0xc3, 0x22), 'invalid line: not UTF-8'],
  ];
  for (const [line, detail] of invalid) {
    const end = Buffer.from('\n"b"\n');
    const recorder = receive(
      `${GREETING}"a"\n`,
      Buffer.concat([Buffer.from(line), end]),
      '"c"\n',
    );
    expect(await recorder.closed).toEqual(detail);
    expect(recorder.messages).toEqual(['a']);
  }
});

it('a line of the maximum length is received, a longer one closes', async () => {
  const longest = 'x'.repeat(MAX_LINE_BYTES - '""'.length);
  expect(receive(GREETING, `"${longest}"\n`).messages).toEqual([longest]);
  const detail = `line longer than ${String(MAX_LINE_BYTES)} bytes`;
  const whole = receive(GREETING, `"${longest}x"\n"b"\n`);
  expect(await whole.closed).toEqual(detail);
  expect(whole.messages).toEqual([]);
  // Without its end, so that a peer cannot occupy memory with an endless line.
  const endless = receive(GREETING, `"${longest}"`, 'x');
  expect(await endless.closed).toEqual(detail);
});

it('a peer with another protocol or version is refused', async () => {
  for (const line of [
    '{"protocol":"sapphiremux.worker-stream","version":2}',
    '{"protocol":"other","version":1}',
    '{}',
    'null',
    '"a"',
  ]) {
    const recorder = receive(`${line}\n"b"\n`);
    expect(await recorder.closed).toEqual(
      `unsupported protocol or version: ${line}`,
    );
    expect(recorder.openCount).toEqual(0);
    expect(recorder.messages).toEqual([]);
  }
  const http = receive('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');
  expect((await http.closed).includes('JSON')).toEqual(true);
  expect(http.openCount).toEqual(0);
});

it('an error while a message is handled closes its connection only', async () => {
  const recorder = new Recorder();
  recorder.onMessage = () => {
    throw new Error('not handled');
  };
  const socket = new Socket();
  MessageSocket.accept(socket, format, recorder);
  socket.emit('data', Buffer.from(`${GREETING}"a"\n`));
  expect(await recorder.closed).toEqual('not handled');
});

it('a connection that is closed while a chunk is read receives no more', async () => {
  const recorder = new Recorder();
  const socket = new Socket();
  const link = MessageSocket.accept(socket, format, recorder);
  recorder.onMessage = (msg) => {
    recorder.messages.push(msg);
    link.close();
  };
  socket.emit('data', Buffer.from(`${GREETING}"a"\n"b"\n`));
  await nextTurn();
  expect(recorder.messages).toEqual(['a']);
  expect(recorder.closures).toEqual([]);
});

it('a peer that does not read is disconnected before much is pending', async () => {
  const sockets: Socket[] = [];
  const server = await listen((socket) => sockets.push(socket.pause()));
  const recorder = new Recorder();
  const link = MessageSocket.connect(
    addressOf(portOf(server)),
    format,
    recorder,
  );
  const msg = 'x'.repeat(1024 * 1024);
  let sent = 0;
  while (recorder.closures.length === 0 && sent < 100) {
    link.send(msg);
    sent += 1;
    await nextTurn();
  }
  expect(recorder.closures).toEqual(['the peer does not read']);
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

it('a refused connection and an invalid address are reported as closures', async () => {
  const server = await listen(() => undefined);
  const port = portOf(server);
  await new Promise((resolve) => server.close(resolve));
  const closureOf = (address: string): Promise<string> => {
    const recorder = new Recorder();
    MessageSocket.connect(address, format, recorder).send('a');
    expect(recorder.closures).toEqual([]);
    return recorder.closed;
  };
  expect(await closureOf(addressOf(port))).toEqual(
    `connect ECONNREFUSED ${addressOf(port)}`,
  );
  for (const address of ['', 'host', 'host:x', '127.0.0.1:65536']) {
    expect(await closureOf(address)).toEqual(`invalid address: ${address}`);
  }
});

it('a connection attempt without an answer ends after 700 ms', async () => {
  // The thread does not accept, so that the kernel drops further attempts once
  // the listen queue is full.
  const thread = new Worker(
    `const { parentPort } = require('node:worker_threads');
     const server = require('node:net').createServer();
     server.listen({ port: 0, host: '${LOCAL_HOST}', backlog: 1 }, () => {
       parentPort.postMessage(server.address().port);
       Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 20_000);
     });`,
    { eval: true },
  );
  const port = await new Promise<number>((resolve) => {
    thread.once('message', resolve);
  });
  const recorders: Recorder[] = [];
  const startedAtMs = performance.now();
  const links = Array.from({ length: 8 }, () => {
    const recorder = new Recorder();
    recorders.push(recorder);
    return MessageSocket.connect(addressOf(port), format, recorder);
  });
  const detail = await Promise.race(recorders.map(({ closed }) => closed));
  expect(detail).toEqual('no connection within 700 ms');
  expect(performance.now() - startedAtMs >= 690).toEqual(true);
  links.forEach((link) => {
    link.close();
  });
  await thread.terminate();
});

it('a link that is closed before it is connected reports nothing', async () => {
  let connections = 0;
  const server = await listen((socket) => {
    connections += 1;
    socket.on('data', () => (connections += 1)).on('error', () => undefined);
  });
  const recorder = new Recorder();
  const link = MessageSocket.connect(
    addressOf(portOf(server)),
    format,
    recorder,
  );
  link.send('a');
  link.close();
  link.send('b');
  await new Promise((resolve) => server.close(resolve));
  expect(recorder.closures).toEqual([]);
  expect(connections).toEqual(0);
});

// The peer may have reset the connection because it no longer wants what it has
// sent, so the receiver has to know before it acts at the end of the turn.
it('a reset that is read behind a message is reported in the same turn', async () => {
  const events: string[] = [];
  const closed = new Recorder();
  const server = await startMessageServer({
    host: LOCAL_HOST,
    port: 0,
    format,
    accept: () => ({
      onMessage: (msg) => {
        events.push(msg);
        setImmediate(() => events.push('end of turn'));
      },
      onClosed: (detail) => {
        events.push('closed');
        closed.onClosed(detail);
      },
    }),
  });
  const address = addressOf(server.port);
  const peer = MessageSocket.connect(address, format, new Recorder());
  await delay(20);
  peer.send('a');
  process.nextTick(() => {
    peer.reset();
  });
  await closed.closed;
  await nextTurn();
  expect(events).toEqual(['a', 'closed', 'end of turn']);
  await server.close();
});

/** Returns the number of bytes that arrive at a peer that reads late. */
const bytesReadLate = async (
  end: (link: MessageSocket<string, string>) => void,
): Promise<number> => {
  const sockets: Socket[] = [];
  const server = await listen((socket) => sockets.push(socket.pause()));
  const address = addressOf(portOf(server));
  const link = MessageSocket.connect(address, format, new Recorder());
  await until(() => sockets.length > 0);
  // More than the receive buffer of the peer has room for.
  for (let sent = 0; sent < MAX_PENDING_BYTES; sent += HELD_MESSAGE.length) {
    link.send(HELD_MESSAGE);
    await nextTurn();
  }
  end(link);
  const [peer] = sockets;
  let bytes = 0;
  await new Promise((resolve) => {
    peer?.on('data', (chunk: Buffer) => (bytes += chunk.length));
    peer?.on('error', () => undefined).on('close', resolve);
    peer?.resume();
  });
  server.close();
  return bytes;
};

// A connection that is only closed goes on delivering what a cut held back,
// possibly seconds later.
it('a reset discards what the peer has not received', async () => {
  const afterClose = await bytesReadLate((link) => {
    link.close();
  });
  const afterReset = await bytesReadLate((link) => {
    link.reset();
  });
  expect(afterReset).toBeLessThan(afterClose);
});

// A reset of a socket that is still connecting would wait for the connection.
it('a link that is reset before it is connected ends at once', async () => {
  let connections = 0;
  const server = await listen(() => (connections += 1));
  const recorder = new Recorder();
  const address = addressOf(portOf(server));
  MessageSocket.connect(address, format, recorder).reset();
  await delay(20);
  await new Promise((resolve) => server.close(resolve));
  expect(recorder.closures).toEqual([]);
  expect(connections).toEqual(0);
});

it('a server that closes disconnects its peers', async () => {
  const acceptor = new Recorder();
  const server = await startMessageServer({
    host: LOCAL_HOST,
    port: 0,
    format,
    accept: () => acceptor,
  });
  const connector = new Recorder();
  MessageSocket.connect(addressOf(server.port), format, connector);
  await until(() => acceptor.openCount === 1);
  await server.close();
  expect(await connector.closed).toEqual('closed by the peer');
  expect(acceptor.closures).toEqual([]);
});

const until = async (isMet: () => boolean): Promise<void> => {
  while (!isMet()) {
    await nextTurn();
  }
};
