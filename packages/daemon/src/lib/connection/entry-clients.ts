import type { Client } from '@connectrpc/connect';
import type { EntryService } from '@sapphiremux/wire';
import { connectEntry } from './rpc.js';
import type { RpcClient } from './rpc.js';
import type { TlsContext } from './tls.js';

type EntryClient = Client<typeof EntryService>;

/** Unary calls to entries, over one connection to each. */
export class EntryClients {
  private readonly _tls: TlsContext | undefined;
  private readonly _clients = new Map<string, RpcClient<EntryClient>>();

  /** @param tls - Certificates, if encryption is set up. */
  constructor(tls: TlsContext | undefined) {
    this._tls = tls;
  }

  /**
   * Calls an entry. After a failure the connection is dropped, so that the
   * next call opens a new one.
   *
   * @param address - Host and port.
   * @param timeoutMs - Longest wait for the answer.
   * @param call - Makes the call.
   * @returns The answer, or nothing when the call failed.
   */
  async call<T>(
    address: string,
    timeoutMs: number,
    call: (client: EntryClient, options: { timeoutMs: number }) => Promise<T>,
  ): Promise<T | undefined> {
    let entry = this._clients.get(address);
    if (!entry) {
      entry = connectEntry({ address, tls: this._tls });
      this._clients.set(address, entry);
    }
    try {
      return await call(entry.client, { timeoutMs });
    } catch {
      this._drop(address, entry);
      return undefined;
    }
  }

  /** Ends all connections. */
  close(): void {
    for (const [address, entry] of this._clients) {
      this._drop(address, entry);
    }
  }

  private _drop(address: string, entry: RpcClient<EntryClient>): void {
    entry.close();
    if (this._clients.get(address) === entry) {
      this._clients.delete(address);
    }
  }
}
