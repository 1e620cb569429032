import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import { MemoryStore } from '../memory-store.js';
import { FaultyStore } from './faulty-store.js';

/** The platform's table service in virtual time, with its faults. */
export class SimStore extends FaultyStore {
  private readonly _rows = new MemoryStore();

  /**
   * @param req - The call.
   * @param isCut - Whether the caller can't reach the store.
   * @param onReply - Receives what became of it.
   */
  call(
    req: StoreRequest,
    isCut: boolean,
    onReply: (reply: StoreReply) => void,
  ): void {
    this.serve({ req, isCut, apply: () => this._rows.apply(req), onReply });
  }
}
