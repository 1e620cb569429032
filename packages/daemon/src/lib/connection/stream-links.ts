import { MessageQueue } from './message-queue.js';

/** A connection that can carry one stream each way. */
export interface StreamConnection<Out, In> {
  /** @param outgoing - What this side sends. */
  open(outgoing: AsyncIterable<Out>): AsyncIterable<In>;
  /** Ends the connection at once. */
  close(): void;
}

/** Options of {@link StreamLinks}. */
export interface StreamLinksOptions<Id, Out, In> {
  /** Makes a connection of its own for each link. */
  readonly connect: (address: string) => StreamConnection<Out, In>;
  readonly onMessage: (linkId: Id, msg: In) => void;
  readonly onClosed: (linkId: Id, detail: string) => void;
}

interface Link<Out, In> {
  readonly queue: MessageQueue<Out>;
  readonly connection: StreamConnection<Out, In>;
}

/** Open links to other processes, each a stream on its own connection. */
export class StreamLinks<Id, Out, In> {
  private readonly _options: StreamLinksOptions<Id, Out, In>;
  private readonly _links = new Map<Id, Link<Out, In>>();

  /** @param options - Connections and receivers of what happens. */
  constructor(options: StreamLinksOptions<Id, Out, In>) {
    this._options = options;
  }

  /**
   * @param linkId - Names the link.
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
   * @param linkId - An open link; a closed one is ignored.
   * @param msg - The message to send.
   */
  send(linkId: Id, msg: Out): void {
    this._links.get(linkId)?.queue.push(msg);
  }

  /** @param linkId - A link that is given up. */
  close(linkId: Id): void {
    const link = this._links.get(linkId);
    if (link) {
      this._links.delete(linkId);
      link.queue.close();
      link.connection.close();
    }
  }

  /** Ends all links. */
  closeAll(): void {
    for (const linkId of [...this._links.keys()]) {
      this.close(linkId);
    }
  }

  private async _receive(linkId: Id, link: Link<Out, In>): Promise<void> {
    let detail = 'ended by the other side';
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
