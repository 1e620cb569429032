import type { StoreReply, StoreRequest } from '../store.js';
import { TokenBucket } from './token-bucket.js';

/** Sends calls to the platform's table service and object store. */
export interface StoreCaller {
  /**
   * @param req - The call.
   * @param onReply - Called with the reply, exactly once.
   */
  call(req: StoreRequest, onReply: StoreReplyHandler): void;
}

/** Called with the reply to a store call. */
export type StoreReplyHandler = (reply: StoreReply, now: number) => void;

/** Emits a store call under an operation id. */
export type StoreEmitter = (opId: number, req: StoreRequest) => void;

/** Options of {@link StoreClient}. */
export interface StoreClientOptions {
  /** Passes a call to the host process, which carries it out. */
  readonly emit: StoreEmitter;
  /** Maximum number of reads per second; further reads are queued. */
  readonly readsPerSecond?: number;
}

interface QueuedCall {
  readonly req: StoreRequest;
  readonly onReply: StoreReplyHandler;
}

const DEFAULT_READS_PER_SECOND = 100;

/**
 * Gives each store call of a process an operation id, matches replies to their
 * calls, and limits the rate of reads.
 */
export class StoreClient implements StoreCaller {
  private readonly _emit: StoreEmitter;
  private readonly _handlers = new Map<number, StoreReplyHandler>();
  private readonly _reads: TokenBucket;
  private _queuedReads: QueuedCall[] = [];
  private _nowMs: number;
  private _nextOpId = 1;

  /**
   * @param options - Emitter and rate limit.
   * @param now - Current time in milliseconds.
   */
  constructor(options: StoreClientOptions, now: number) {
    const rate = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
    this._emit = options.emit;
    this._reads = new TokenBucket({ ratePerSecond: rate, burst: rate }, now);
    this._nowMs = now;
  }

  call(req: StoreRequest, onReply: StoreReplyHandler): void {
    const isQueued =
      isRead(req) &&
      (this._queuedReads.length > 0 || !this._reads.take(1, this._nowMs));
    if (isQueued) {
      this._queuedReads.push({ req, onReply });
    } else {
      this._send(req, onReply);
    }
  }

  /**
   * Sends queued reads as far as the rate limit allows.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    this._nowMs = now;
    while (this._queuedReads.length > 0 && this._reads.take(1, now)) {
      const next = this._queuedReads.shift();
      if (next) {
        this._send(next.req, next.onReply);
      }
    }
  }

  /**
   * Passes a reply to the handler of its call; ignores it if no call waits.
   *
   * @param opId - Operation id of the call.
   * @param reply - The reply.
   * @param now - Current time in milliseconds.
   */
  onReply(opId: number, reply: StoreReply, now: number): void {
    const handler = this._handlers.get(opId);
    this._handlers.delete(opId);
    handler?.(reply, now);
  }

  private _send(req: StoreRequest, onReply: StoreReplyHandler): void {
    const opId = this._nextOpId++;
    this._handlers.set(opId, onReply);
    this._emit(opId, req);
  }
}

const isRead = ({ kind }: StoreRequest): boolean =>
  kind === 'read' || kind === 'scan' || kind === 'get-object';
