import { isUtf8 } from 'node:buffer';
import { Socket, connect } from 'node:net';
import type { Decoded } from '@sapphiremux/wire';
import { IoTimeout } from '../process/io-timeout.js';

/** Maximum length of a line, in bytes without its line break. */
export const MAX_LINE_BYTES = 4 * 1024 * 1024;
/** Maximum amount of written data that the peer has not read, in bytes. */
export const MAX_PENDING_BYTES = 4 * 1024 * 1024;
/** Maximum time to establish a connection. */
const CONNECT_TIMEOUT_MS = 700;
/** Content of the first line from the side that has opened the connection. */
const GREETING = { protocol: 'sapphiremux.worker-stream', version: 1 } as const;
const LINE_BREAK = 0x0a;
/** Host, which may be an IPv6 address in brackets, and port. */
const ADDRESS = /^\[?([^[\]]+?)\]?:(\d+)$/;
const MAX_PORT = 65_535;

/** Encoding of the messages of one side of a connection. */
export interface MessageFormat<Out, In> {
  /** @returns The message as text without line breaks. */
  readonly encode: (msg: Out) => string;
  readonly decode: (line: string) => Decoded<In>;
}

/** Callbacks of a {@link MessageSocket}; none is called after its `close`. */
export interface MessageHandlers<Out, In> {
  /**
   * Called on the accepting side when the peer has introduced itself with the
   * expected protocol and version.
   */
  readonly onOpen?: (socket: MessageSocket<Out, In>) => void;
  /** An error that it throws closes the connection. */
  readonly onMessage: (msg: In) => void;
  /**
   * Called once when the connection has broken or could not be established,
   * never during a call of a method of the socket, but in the callback of the
   * event loop that has shown it. What was received before in the same turn of
   * the event loop can so be handled as coming from a peer that has gone.
   *
   * @param detail - The reason.
   */
  readonly onClosed: (detail: string) => void;
}

/** Side of a connection. */
enum Side {
  Connecting,
  Accepting,
}

enum State {
  Active,
  /** Broken, with the call of `onClosed` outstanding. */
  Failed,
  Closed,
}

/**
 * Sends and receives messages as lines of UTF-8 text over a TCP connection. The
 * messages that are sent during one callback of the event loop are written
 * together.
 */
export class MessageSocket<Out, In> {
  private readonly _socket: Socket;
  private readonly _format: MessageFormat<Out, In>;
  private readonly _handlers: MessageHandlers<Out, In>;
  /** Whether the next line is the peer's greeting. */
  private _awaitsGreeting: boolean;
  /** Lines to write at the end of this callback. */
  private _outgoing = '';
  /** Received parts of an incomplete line. */
  private _parts: Buffer[] = [];
  private _partBytes = 0;
  private _state = State.Active;
  private _detail = '';
  private readonly _flush = () => {
    this._writeOutgoing();
  };

  private constructor(
    socket: Socket,
    side: Side,
    format: MessageFormat<Out, In>,
    handlers: MessageHandlers<Out, In>,
  ) {
    this._socket = socket;
    this._format = format;
    this._handlers = handlers;
    this._awaitsGreeting = side === Side.Accepting;
    socket.on('data', (chunk: Buffer) => {
      this._onData(chunk);
    });
    socket.on('end', () => {
      this._fail('closed by the peer');
    });
    socket.on('error', (err) => {
      this._fail(err.message);
    });
    socket.on('close', () => {
      this._onClose();
    });
  }

  /**
   * Opens a connection and introduces this side to the peer.
   *
   * @param address - Host and port of the peer.
   * @param format - Encoding of the messages.
   * @param handlers - Callbacks; a failure to connect is reported as a closure.
   * @returns The connection, on which messages can be sent immediately.
   */
  static connect<Out, In>(
    address: string,
    format: MessageFormat<Out, In>,
    handlers: MessageHandlers<Out, In>,
  ): MessageSocket<Out, In> {
    const socket = connectTo(address);
    const msgs = new MessageSocket(socket, Side.Connecting, format, handlers);
    const timeout = new IoTimeout(() => {
      msgs._fail(`no connection within ${String(CONNECT_TIMEOUT_MS)} ms`);
    }, CONNECT_TIMEOUT_MS);
    const clear = () => {
      timeout.clear();
    };
    socket.once('connect', clear);
    socket.once('close', clear);
    msgs._enqueue(`${JSON.stringify(GREETING)}\n`);
    return msgs;
  }

  /**
   * @param socket - A connection that a peer has opened.
   * @param format - Encoding of the messages.
   * @param handlers - Callbacks.
   * @returns The connection; messages may be sent once it is open.
   */
  static accept<Out, In>(
    socket: Socket,
    format: MessageFormat<Out, In>,
    handlers: MessageHandlers<Out, In>,
  ): MessageSocket<Out, In> {
    return new MessageSocket(socket, Side.Accepting, format, handlers);
  }

  /** @param msg - Message to send; ignored when the connection is closed. */
  send(msg: Out): void {
    if (this._state === State.Active) {
      this._enqueue(`${this._format.encode(msg)}\n`);
    }
  }

  /** Closes the connection immediately, without a call of `onClosed`. */
  close(): void {
    this._state = State.Closed;
    this._socket.destroy();
  }

  /**
   * Closes the connection like {@link close} and discards what the peer has not
   * received yet. A connection that is only closed goes on delivering it.
   */
  reset(): void {
    this._state = State.Closed;
    if (this._socket.connecting) {
      // Node.js would wait for the connection to reset it.
      this._socket.destroy();
    } else {
      this._socket.resetAndDestroy();
    }
  }

  private _enqueue(line: string): void {
    if (this._outgoing === '') {
      process.nextTick(this._flush);
    }
    this._outgoing += line;
  }

  private _writeOutgoing(): void {
    if (this._state !== State.Active) {
      return;
    }
    const bytes = Buffer.from(this._outgoing);
    this._outgoing = '';
    this._socket.write(bytes);
    if (this._socket.writableLength > MAX_PENDING_BYTES) {
      this._fail('the peer does not read');
    }
  }

  private _onData(chunk: Buffer): void {
    let start = 0;
    while (this._state === State.Active && start < chunk.length) {
      const end = chunk.indexOf(LINE_BREAK, start);
      if (end < 0) {
        this._addPart(chunk.subarray(start));
        return;
      }
      if (this._addPart(chunk.subarray(start, end))) {
        this._onLine(this._takeLine());
      }
      start = end + 1;
    }
  }

  /** @returns False if the line has become too long. */
  private _addPart(part: Buffer): boolean {
    this._partBytes += part.length;
    if (this._partBytes > MAX_LINE_BYTES) {
      this._fail(`line longer than ${String(MAX_LINE_BYTES)} bytes`);
      return false;
    }
    this._parts.push(part);
    return true;
  }

  private _takeLine(): Buffer {
    const [first, second] = this._parts;
    const line = first && !second ? first : Buffer.concat(this._parts);
    this._parts = [];
    this._partBytes = 0;
    return line;
  }

  private _onLine(bytes: Buffer): void {
    if (!isUtf8(bytes)) {
      this._fail('invalid line: not UTF-8');
      return;
    }
    const line = bytes.toString();
    try {
      if (this._awaitsGreeting) {
        this._onGreeting(line);
      } else {
        this._onMessage(line);
      }
    } catch (err) {
      this._fail((err as Error).message);
    }
  }

  private _onGreeting(line: string): void {
    if (!isGreeting(line)) {
      this._fail(`unsupported protocol or version: ${line.slice(0, 100)}`);
      return;
    }
    this._awaitsGreeting = false;
    this._handlers.onOpen?.(this);
  }

  private _onMessage(line: string): void {
    const decoded = this._format.decode(line);
    switch (decoded.kind) {
      case 'message':
        this._handlers.onMessage(decoded.message);
        return;
      case 'invalid':
        this._fail(`invalid line: ${decoded.detail}`);
    }
  }

  private _fail(detail: string): void {
    if (this._state === State.Active) {
      this._state = State.Failed;
      this._detail = detail;
      this._socket.destroy();
      // The event `close` follows only after the callbacks of `setImmediate`.
      process.nextTick(() => {
        this._onClose();
      });
    }
  }

  private _onClose(): void {
    if (this._state !== State.Closed) {
      this._state = State.Closed;
      this._handlers.onClosed(this._detail || 'closed');
    }
  }
}

const connectTo = (address: string): Socket => {
  const [, host, portText] = ADDRESS.exec(address) ?? [];
  const port = Number(portText);
  if (host === undefined || port > MAX_PORT) {
    return new Socket().destroy(new Error(`invalid address: ${address}`));
  }
  return connect({ host, port, noDelay: true });
};

const isGreeting = (line: string): boolean => {
  const value = JSON.parse(line) as Partial<typeof GREETING> | null;
  return (
    value?.protocol === GREETING.protocol && value.version === GREETING.version
  );
};
