import type { StoreReply, StoreRequest } from '../store.js';

/** Sends calls to the platform's table service and matches their replies. */
export interface StoreCaller {
  /**
   * @param req - The call.
   * @param onReply - Receives what became of it, exactly once.
   */
  call(req: StoreRequest, onReply: StoreReplyHandler): void;
}

/** Receives what became of a store call. */
export type StoreReplyHandler = (reply: StoreReply, now: number) => void;

/** Emits a store call under an operation id. */
export type StoreEmitter = (opId: number, req: StoreRequest) => void;

/** Numbers the store calls of a process and keeps who waits for each. */
export class StoreClient implements StoreCaller {
  private readonly _emit: StoreEmitter;
  private readonly _waiting = new Map<number, StoreReplyHandler>();
  private _nextOpId = 1;

  /** @param emit - Carries a call out of the decisions. */
  constructor(emit: StoreEmitter) {
    this._emit = emit;
  }

  /** Number of calls without a reply. */
  get inFlight(): number {
    return this._waiting.size;
  }

  call(req: StoreRequest, onReply: StoreReplyHandler): void {
    const opId = this._nextOpId++;
    this._waiting.set(opId, onReply);
    this._emit(opId, req);
  }

  /**
   * Hands a reply to its caller; a reply to an unknown call is ignored.
   *
   * @param opId - The operation id of the call.
   * @param reply - What became of it.
   * @param now - Current time in milliseconds.
   */
  onReply(opId: number, reply: StoreReply, now: number): void {
    const handler = this._waiting.get(opId);
    this._waiting.delete(opId);
    handler?.(reply, now);
  }
}
