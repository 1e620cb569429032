import { MessageQueue } from './message-queue.js';

/** A connection that carries one bidirectional stream. */
export interface StreamConnection<Out, In> {
  /**
   * @param outgoing - Messages to send.
   * @returns Messages received from the peer.
   */
  open(outgoing: AsyncIterable<Out>): AsyncIterable<In>;
  /** Closes the connection immediately. */
  close(): void;
}

/** Options of {@link StreamLinks}. */
export interface StreamLinksOptions<Id, Out, In> {
  /** Opens a new connection; each link has its own. */
  readonly connect: (address: string) => StreamConnection<Out, In>;
  readonly onMessage: (linkId: Id, msg: In) => void;
  readonly onClosed: (linkId: Id, detail: string) => void;
}

interface Link<Out, In> {
  readonly queue: MessageQueue<Out>;
  readonly connection: StreamConnection<Out, In>;
}

/**
 * Manages the open links to other processes. A link is a bidirectional stream
 * on its own connection, so that closing it affects no other link.
 */
export class StreamLinks<Id, Out, In> {
  private readonly _options: StreamLinksOptions<Id, Out, In>;
  private readonly _links = new Map<Id, Link<Out, In>>();

  /** @param options - Connection factory and callbacks. */
  constructor(options: StreamLinksOptions<Id, Out, In>) {
    this._options = options;
  }

  /**
   * Opens a link and starts to receive from it.
   *
   * @param linkId - Id of the new link.
   * @param address - Host and port of the other process.
   */
  open(linkId: Id, address: string): void {
    const link: Link<Out, In> = {
      queue: new MessageQueue(),
      connection: this._options.connect(address),
    };
    this._links.set(linkId, link);
    void this._receive(linkId, link);
  }

  /**
   * @param linkId - Id of the link; an id that is not open is ignored.
   * @param msg - The message to send.
   */
  send(linkId: Id, msg: Out): void {
    this._links.get(linkId)?.queue.push(msg);
  }

  /** @param linkId - Id of the link to close, without a call of `onClosed`. */
  close(linkId: Id): void {
    const link = this._links.get(linkId);
    if (link) {
      this._links.delete(linkId);
      link.queue.close();
      link.connection.close();
    }
  }

  /** Closes all links, without calls of `onClosed`. */
  closeAll(): void {
    for (const linkId of [...this._links.keys()]) {
      this.close(linkId);
    }
  }

  private async _receive(linkId: Id, link: Link<Out, In>): Promise<void> {
    let detail = 'closed by the peer';
    try {
      for await (const msg of link.connection.open(link.queue)) {
        if (this._links.get(linkId) === link) {
          this._options.onMessage(linkId, msg);
        }
      }
    } catch (err) {
      detail = (err as Error).message;
    }
    if (this._links.get(linkId) === link) {
      this.close(linkId);
      this._options.onClosed(linkId, detail);
    }
  }
}
