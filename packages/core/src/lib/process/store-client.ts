import type { StoreReply, StoreRequest } from '../store.js';
import { TokenBucket } from './token-bucket.js';

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

/** Options of {@link StoreClient}. */
export interface StoreClientOptions {
  /** Carries a call out of the decisions. */
  readonly emit: StoreEmitter;
  /** Most reads a second; reads above it wait. */
  readonly readsPerSecond?: number;
}

interface WaitingCall {
  readonly req: StoreRequest;
  readonly onReply: StoreReplyHandler;
}

const DEFAULT_READS_PER_SECOND = 100;

/** Numbers the store calls of a process and keeps who waits for each. */
export class StoreClient implements StoreCaller {
  private readonly _emit: StoreEmitter;
  private readonly _waiting = new Map<number, StoreReplyHandler>();
  private readonly _reads: TokenBucket;
  private _held: WaitingCall[] = [];
  private _nowMs: number;
  private _nextOpId = 1;

  /**
   * @param options - Emitter and limit.
   * @param now - Current time in milliseconds.
   */
  constructor(options: StoreClientOptions, now: number) {
    const rate = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
    this._emit = options.emit;
    this._reads = new TokenBucket({ ratePerSecond: rate, burst: rate }, now);
    this._nowMs = now;
  }

  call(req: StoreRequest, onReply: StoreReplyHandler): void {
    const isHeld =
      isRead(req) &&
      (this._held.length > 0 || !this._reads.take(1, this._nowMs));
    if (isHeld) {
      this._held.push({ req, onReply });
    } else {
      this._start(req, onReply);
    }
  }

  /**
   * Starts reads that have waited for the limit.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    this._nowMs = now;
    while (this._held.length > 0 && this._reads.take(1, now)) {
      const next = this._held.shift();
      if (next) {
        this._start(next.req, next.onReply);
      }
    }
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

  private _start(req: StoreRequest, onReply: StoreReplyHandler): void {
    const opId = this._nextOpId++;
    this._waiting.set(opId, onReply);
    this._emit(opId, req);
  }
}

const isRead = ({ kind }: StoreRequest): boolean =>
  kind === 'read' || kind === 'scan' || kind === 'get-object';
