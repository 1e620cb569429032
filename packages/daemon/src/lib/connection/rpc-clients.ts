import type { RpcClient } from './rpc.js';

/** Unary calls to other processes, over one connection to each. */
export class RpcClients<C> {
  private readonly _connect: (address: string) => RpcClient<C>;
  private readonly _clients = new Map<string, RpcClient<C>>();

  /** @param connect - Makes a client of the process at an address. */
  constructor(connect: (address: string) => RpcClient<C>) {
    this._connect = connect;
  }

  /**
   * Calls a process. After a failure the connection is dropped, so that the
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
    call: (client: C, options: { timeoutMs: number }) => Promise<T>,
  ): Promise<T | undefined> {
    let entry = this._clients.get(address);
    if (!entry) {
      entry = this._connect(address);
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

  private _drop(address: string, entry: RpcClient<C>): void {
    entry.close();
    if (this._clients.get(address) === entry) {
      this._clients.delete(address);
    }
  }
}
