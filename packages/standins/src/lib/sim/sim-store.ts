import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import { MemoryStore } from '../memory-store.js';
import { FaultyStore } from './faulty-store.js';

/** Simulated table service and object store, with injected faults. */
export class SimStore extends FaultyStore {
  private readonly _rows = new MemoryStore();

  /**
   * Sends a call to the store.
   *
   * @param req - The call.
   * @param isDisconnected - Whether the caller is partitioned from the store.
   * @param onReply - Receives the reply; `unknown` after a timeout.
   */
  call(
    req: StoreRequest,
    isDisconnected: boolean,
    onReply: (reply: StoreReply) => void,
  ): void {
    this.serve({
      req,
      isDisconnected,
      apply: () => this._rows.apply(req),
      onReply,
    });
  }
}
