import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import type { EntryMessage, RunnerMessage } from '@sapphiremux/core';
import { EntryMessageSchema } from '@sapphiremux/wire';
import type { EntryMessage as WireEntryMessage } from '@sapphiremux/wire';
import type { RunnerService } from '@sapphiremux/wire';
import { MessageQueue } from './message-queue.js';
import { connectRunner } from './rpc.js';
import type { RpcClient } from './rpc.js';
import type { TlsContext } from './tls.js';

/** What happens on the links of an entry. */
export interface RunnerLinksOptions {
  readonly tls: TlsContext | undefined;
  readonly onMessage: (linkId: string, msg: RunnerMessage) => void;
  readonly onClosed: (linkId: string) => void;
}

interface Link {
  readonly queue: MessageQueue<WireEntryMessage>;
  readonly rpc: RpcClient<Client<typeof RunnerService>>;
}

/** The open links of an entry to runners, each on a connection of its own. */
export class RunnerLinks {
  private readonly _options: RunnerLinksOptions;
  private readonly _links = new Map<string, Link>();

  /** @param options - Receivers of what happens. */
  constructor(options: RunnerLinksOptions) {
    this._options = options;
  }

  /**
   * @param linkId - Names the link.
   * @param address - Host and port of the runner.
   */
  open(linkId: string, address: string): void {
    const link: Link = {
      queue: new MessageQueue(),
      rpc: connectRunner({ address, tls: this._options.tls }),
    };
    this._links.set(linkId, link);
    void this._receive(linkId, link);
  }

  /**
   * @param linkId - An open link; a closed one is ignored.
   * @param msg - The batch to send.
   */
  send(linkId: string, msg: EntryMessage): void {
    this._links.get(linkId)?.queue.push(create(EntryMessageSchema, msg));
  }

  /** @param linkId - A link that is given up. */
  close(linkId: string): void {
    const link = this._links.get(linkId);
    if (link) {
      this._links.delete(linkId);
      link.queue.close();
      link.rpc.close();
    }
  }

  /** Ends all links. */
  closeAll(): void {
    for (const linkId of [...this._links.keys()]) {
      this.close(linkId);
    }
  }

  private async _receive(linkId: string, link: Link): Promise<void> {
    try {
      for await (const msg of link.rpc.client.dispatch(link.queue)) {
        if (this._links.get(linkId) === link) {
          this._options.onMessage(linkId, msg);
        }
      }
    } catch {
      // A broken link is reported below like one that has ended.
    }
    if (this._links.get(linkId) === link) {
      this.close(linkId);
      this._options.onClosed(linkId);
    }
  }
}
