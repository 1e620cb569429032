import type { RpcClient } from './rpc.js';

/**
 * Makes unary RPC calls to other processes and keeps one connection per
 * address. A failed call closes its connection.
 */
export class RpcClients<C> {
  private readonly _connect: (address: string) => RpcClient<C>;
  private readonly _clients = new Map<string, RpcClient<C>>();

  /** @param connect - Creates a client for an address. */
  constructor(connect: (address: string) => RpcClient<C>) {
    this._connect = connect;
  }

  /**
   * Calls a process. A failure closes the connection, so that the next call
   * opens a new one.
   *
   * @param address - Host and port of the process.
   * @param timeoutMs - Maximum wait for the reply.
   * @param call - Makes the call with the client of that process.
   * @returns The reply, or `undefined` when the call failed.
   */
  async call<T>(
    address: string,
    timeoutMs: number,
    call: (client: C, options: { timeoutMs: number }) => Promise<T>,
  ): Promise<T | undefined> {
    let rpc = this._clients.get(address);
    if (!rpc) {
      rpc = this._connect(address);
      this._clients.set(address, rpc);
    }
    try {
      return await call(rpc.client, { timeoutMs });
    } catch {
      this._drop(address, rpc);
      return undefined;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const [address, rpc] of this._clients) {
      this._drop(address, rpc);
    }
  }

  private _drop(address: string, rpc: RpcClient<C>): void {
    rpc.close();
    if (this._clients.get(address) === rpc) {
      this._clients.delete(address);
    }
  }
}
