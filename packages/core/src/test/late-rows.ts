import type { StoreReply, StoreRequest } from '../lib/store.js';
import { FakeRows } from './entry-harness.js';

/** A store that performs the creations of some rows late, without an answer. */
export class LateRows extends FakeRows {
  /** Prefix of the keys whose creations are late; absent if none is. */
  latePrefix: string | undefined;
  private readonly _late: { part: string; req: StoreRequest }[] = [];

  override answer(part: string, req: StoreRequest): StoreReply {
    const { latePrefix } = this;
    const isLate =
      req.kind === 'transact' &&
      latePrefix !== undefined &&
      req.writes.some(({ key }) => key.startsWith(latePrefix));
    if (isLate) {
      this._late.push({ part, req });
      return { kind: 'unknown' };
    }
    return super.answer(part, req);
  }

  performLate(): void {
    this.latePrefix = undefined;
    for (const { part, req } of this._late.splice(0)) {
      super.answer(part, req);
    }
  }
}
