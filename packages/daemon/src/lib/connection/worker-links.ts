import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import type { WorkerOrder, WorkerReport } from '@sapphiremux/core';
import { WorkerOrderSchema } from '@sapphiremux/wire';
import type {
  WorkerOrder as WireWorkerOrder,
  WorkerService,
} from '@sapphiremux/wire';
import { MessageQueue } from './message-queue.js';
import { connectWorker } from './rpc.js';
import type { RpcClient } from './rpc.js';

/** What happens on the links of an entry. */
export interface WorkerLinksOptions {
  readonly onReport: (linkId: number, report: WorkerReport) => void;
  readonly onClosed: (linkId: number, detail: string) => void;
}

interface Link {
  readonly queue: MessageQueue<WireWorkerOrder>;
  readonly rpc: RpcClient<Client<typeof WorkerService>>;
}

/** The open links of an entry to the processes beside the workers. */
export class WorkerLinks {
  private readonly _options: WorkerLinksOptions;
  private readonly _links = new Map<number, Link>();

  /** @param options - Receivers of what happens. */
  constructor(options: WorkerLinksOptions) {
    this._options = options;
  }

  /**
   * @param linkId - Names the link.
   * @param address - Host and port.
   */
  open(linkId: number, address: string): void {
    const link = {
      queue: new MessageQueue<WireWorkerOrder>(),
      rpc: connectWorker({ address }),
    };
    this._links.set(linkId, link);
    void this._receive(linkId, link);
  }

  /**
   * @param linkId - An open link; a closed one is ignored.
   * @param order - The batch to send.
   */
  send(linkId: number, order: WorkerOrder): void {
    this._links.get(linkId)?.queue.push(create(WorkerOrderSchema, order));
  }

  /** @param linkId - A link that is given up. */
  close(linkId: number): void {
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

  private async _receive(linkId: number, link: Link): Promise<void> {
    let detail = 'ended by the worker';
    try {
      for await (const report of link.rpc.client.drive(link.queue)) {
        if (this._links.get(linkId) === link) {
          this._options.onReport(linkId, report);
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
