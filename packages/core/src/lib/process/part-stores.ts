import type { StoreReply, StoreRequest } from '../store.js';
import { JOB_PARTS, partName } from './fleet-rows.js';
import type { StoreCaller, StoreReplyHandler } from './store-client.js';
import { DEFAULT_STORE_LIMITS } from './store-limits.js';
import type { StoreLimits } from './store-limits.js';
import { StoreWriter } from './store-writer.js';

/** Emits a call to one part of the store. */
export type PartEmitter = (
  opId: number,
  part: string,
  req: StoreRequest,
) => void;

/** Options of {@link PartStores}. */
export interface PartStoresOptions {
  readonly emit: PartEmitter;
  readonly random: () => number;
  /** Limit on the transactions per second of this process in each part. */
  readonly writesPerSecond?: number;
  readonly limits?: StoreLimits;
  /**
   * Called when the store rejects a write for good, with the key of its row and
   * the size of its largest value in bytes.
   */
  readonly onRejected?: (key: string, valueBytes: number) => void;
}

/** Name of the part that holds the member rows of the processes. */
export const MEMBER_PART = '';

const DEFAULT_WRITES_PER_SECOND = 60;
const MAX_BACKOFF_MS = 250;
/** Maximum number of conditional writes in a transaction. */
const BATCH_SIZE = 20;

/**
 * Gives access to the parts (partitions) of the store, with one writer for each
 * part, and matches replies to calls by operation id.
 */
export class PartStores {
  private readonly _emit: PartEmitter;
  private readonly _waiting = new Map<number, StoreReplyHandler>();
  private readonly _writers = new Map<string, StoreWriter>();
  private _nextOpId = 1;

  /**
   * @param options - Emitter of calls, random numbers and limits.
   * @param now - Current time in milliseconds.
   */
  constructor(options: PartStoresOptions, now: number) {
    this._emit = options.emit;
    const parts = Array.from({ length: JOB_PARTS }, (_, i) => partName(i));
    for (const part of [MEMBER_PART, ...parts]) {
      const writer = new StoreWriter(
        {
          store: this.caller(part),
          random: options.random,
          writesPerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
          batchSize: BATCH_SIZE,
          maxBackoffMs: MAX_BACKOFF_MS,
          limits: options.limits ?? DEFAULT_STORE_LIMITS,
          ...(options.onRejected ? { onRejected: options.onRejected } : {}),
        },
        now,
      );
      this._writers.set(part, writer);
    }
  }

  /** @returns A caller that sends calls to one part. */
  caller(part: string): StoreCaller {
    return {
      call: (req, onReply) => {
        const opId = this._nextOpId++;
        this._waiting.set(opId, onReply);
        this._emit(opId, part, req);
      },
    };
  }

  /** @returns The writer of a part. */
  writer(part: string): StoreWriter {
    const writer = this._writers.get(part);
    if (!writer) {
      throw new Error(`unknown part of the store: "${part}"`);
    }
    return writer;
  }

  /**
   * Passes a reply to the handler of its call.
   *
   * @param opId - Operation id of the call.
   * @param reply - Reply or failure of the call.
   * @param now - Current time in milliseconds.
   */
  onReply(opId: number, reply: StoreReply, now: number): void {
    const handler = this._waiting.get(opId);
    this._waiting.delete(opId);
    handler?.(reply, now);
  }

  /** Number of writes without an outcome. */
  get pending(): number {
    let sum = 0;
    for (const writer of this._writers.values()) {
      sum += writer.pending;
    }
    return sum;
  }

  /**
   * Starts the transactions that are due.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    for (const writer of this._writers.values()) {
      writer.pump(now);
    }
  }
}
