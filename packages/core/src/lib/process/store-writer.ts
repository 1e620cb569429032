import type { Condition, Row, StoreReply, Write } from '../store.js';
import type { StoreCaller } from './store-client.js';
import {
  countEntries,
  largestValueBytes,
  transactionBytes,
} from './store-limits.js';
import type { StoreLimits } from './store-limits.js';
import { TokenBucket } from './token-bucket.js';

/** Outcome of a conditional write. */
export type WriteOutcome =
  /** All rows of the write have this version. */
  | { readonly kind: 'committed'; readonly version: number }
  /**
   * The write did not take effect. The keys are those whose conditions failed;
   * they may include keys of other writes in the same transaction.
   */
  | { readonly kind: 'conflict'; readonly keys: readonly string[] }
  /**
   * The store never performs the write, e.g. because it exceeds a limit.
   */
  | {
      readonly kind: 'rejected';
      /** Size of the largest value of the write, in bytes. */
      readonly valueBytes: number;
    }
  /** The write was abandoned; it did not take effect and never will. */
  | { readonly kind: 'abandoned' };

/** Writes to several rows that take effect together, if all conditions hold. */
export interface ConditionalWrite {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /**
   * Key of a row that this write sets to a value that no other writer sets. The
   * version that the write replaces is one of its conditions, so a read-back of
   * the row shows whether the write took effect.
   */
  readonly readBackKey: string;
  /**
   * When to abandon the write. A write whose reply was lost may still take
   * effect, so it is not abandoned but retried until its outcome is known.
   */
  readonly abandonAtMs?: number;
  /** Called with the outcome, exactly once. */
  readonly onDone: (outcome: WriteOutcome, now: number) => void;
}

/** Options of {@link StoreWriter}. */
export interface StoreWriterOptions {
  readonly store: StoreCaller;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Maximum number of transactions per second. */
  readonly writesPerSecond?: number;
  /** Maximum number of conditional writes in one transaction. */
  readonly batchSize?: number;
  /** Maximum backoff before a retry. */
  readonly maxBackoffMs?: number;
  /** Limits of the store; a write that exceeds one is not sent. */
  readonly limits?: StoreLimits;
  /**
   * Called when a write is rejected for good, with the key of its row and the
   * size of its largest value in bytes.
   */
  readonly onRejected?: (key: string, valueBytes: number) => void;
}

const NO_LIMITS: StoreLimits = {
  rowBytes: Number.POSITIVE_INFINITY,
  entries: Number.POSITIVE_INFINITY,
  transactionBytes: Number.POSITIVE_INFINITY,
};

const DEFAULT_WRITES_PER_SECOND = 40;
const DEFAULT_BATCH_SIZE = 64;
const DEFAULT_MAX_BACKOFF_MS = 1000;
const FIRST_BACKOFF_MS = 20;

/**
 * Groups conditional writes into transactions.
 *
 * One transaction is in flight at a time; writes submitted meanwhile share the
 * next one, so the number of transactions does not grow with the load. After
 * a lost reply the rows are read back before the writes are retried. A retry
 * carries the same unique value under the same conditions, so an earlier
 * attempt that takes effect late is recognized and can't be applied twice.
 *
 * A transaction that the store rejects for good is halved until the write at
 * fault is alone, so that only this write fails.
 */
export class StoreWriter {
  private readonly _store: StoreCaller;
  private readonly _random: () => number;
  private readonly _batchSize: number;
  private readonly _maxBackoffMs: number;
  private readonly _rateLimit: TokenBucket;
  private _queue: ConditionalWrite[] = [];
  private _batch: ConditionalWrite[] = [];
  private readonly _limits: StoreLimits;
  private readonly _onRejected: (key: string, valueBytes: number) => void;
  /** Parts of a rejected transaction that are sent before the queue. */
  private _rejectedParts: ConditionalWrite[][] = [];
  /** Uncertain writes that the store has rejected since. */
  private readonly _rejected = new Set<ConditionalWrite>();
  /** Writes of the batch that must be read back before the next attempt. */
  private readonly _toReadBack = new Set<ConditionalWrite>();
  /** Writes that have an earlier attempt which may still take effect. */
  private readonly _uncertain = new Set<ConditionalWrite>();
  private _busy = false;
  private _failures = 0;
  private _retryAtMs = 0;

  /**
   * @param options - Store, random numbers and limits.
   * @param now - Current time in milliseconds.
   */
  constructor(options: StoreWriterOptions, now: number) {
    const rate = options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
    this._store = options.store;
    this._random = options.random;
    this._batchSize = options.batchSize ?? DEFAULT_BATCH_SIZE;
    this._maxBackoffMs = options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
    this._limits = options.limits ?? NO_LIMITS;
    this._onRejected = options.onRejected ?? (() => undefined);
    this._rateLimit = new TokenBucket(
      { ratePerSecond: rate, burst: rate },
      now,
    );
  }

  /** Number of writes without an outcome. */
  get pending(): number {
    return (
      this._queue.length +
      this._batch.length +
      this._rejectedParts.reduce((sum, part) => sum + part.length, 0)
    );
  }

  /** Whether the store refused or did not answer the last call. */
  get isFailing(): boolean {
    return this._failures > 0;
  }

  /** @param write - A write to send as soon as the rate limit allows. */
  submit(write: ConditionalWrite): void {
    this._queue.push(write);
  }

  /**
   * Abandons overdue writes and starts the next store call, if one is due.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    this._abandonOverdue(now);
    if (this._busy || now < this._retryAtMs || this.pending === 0) {
      return;
    }
    if (this._batch.some((write) => this._toReadBack.has(write))) {
      this._readBack();
      return;
    }
    if (!this._rateLimit.take(1, now)) {
      return;
    }
    this._fillBatch(now);
    if (this._batch.length > 0) {
      this._transact();
    }
  }

  private _fillBatch(now: number): void {
    if (this._batch.length === 0) {
      this._batch = this._rejectedParts.shift() ?? [];
      if (this._batch.length > 0) {
        return;
      }
    }
    if (this._rejectedParts.length > 0) {
      return;
    }
    this._takeFromQueue(now);
  }

  private _takeFromQueue(now: number): void {
    const remaining = this._batchSize - this._batch.length;
    const oversized: ConditionalWrite[] = [];
    let entries = sumOf(this._batch, countEntries);
    let bytes = sumOf(this._batch, transactionBytes);
    const touched = new Set(this._batch.flatMap(touchedKeys));
    const written = new Set(this._batch.flatMap(writtenKeys));
    const deferred: ConditionalWrite[] = [];
    let added = 0;
    for (const write of this._queue) {
      // A key that one write sets can't be set or tested by another in the same
      // transaction. Deferred writes count as well, so that writes that use the
      // same key keep their order.
      const overlaps =
        writtenKeys(write).some((key) => touched.has(key)) ||
        conditionKeys(write).some((key) => written.has(key));
      addAll(touched, touchedKeys(write));
      addAll(written, writtenKeys(write));
      if (added >= remaining || overlaps) {
        deferred.push(write);
        continue;
      }
      const ownEntries = countEntries(write);
      const ownBytes = transactionBytes(write);
      if (this._isOversized(write, ownEntries, ownBytes)) {
        oversized.push(write);
      } else if (
        entries + ownEntries > this._limits.entries ||
        bytes + ownBytes > this._limits.transactionBytes
      ) {
        deferred.push(write);
      } else {
        this._batch.push(write);
        added += 1;
        entries += ownEntries;
        bytes += ownBytes;
      }
    }
    this._queue = deferred;
    for (const write of oversized) {
      this._reject(write, now);
    }
  }

  private _isOversized(
    write: ConditionalWrite,
    entries: number,
    bytes: number,
  ): boolean {
    return (
      entries > this._limits.entries ||
      bytes > this._limits.transactionBytes ||
      largestValueBytes(write) > this._limits.rowBytes
    );
  }

  private _transact(): void {
    this._busy = true;
    const conditions = this._batch.flatMap((write) => write.conditions);
    const writes = this._batch.flatMap((write) => write.writes);
    this._store.call({ kind: 'transact', conditions, writes }, (reply, now) => {
      this._busy = false;
      this._onTransacted(reply, now);
      this.pump(now);
    });
  }

  private _onTransacted(reply: StoreReply, now: number): void {
    switch (reply.kind) {
      case 'committed':
        this._failures = 0;
        this._finish(this._batch, reply, now);
        return;
      case 'conflict':
        this._failures = 0;
        this._onConflict(reply.keys, now);
        return;
      case 'refused':
        this._backOff(now);
        return;
      case 'rejected':
        this._failures = 0;
        this._onTransactionRejected(now);
        return;
      case 'rows':
      case 'object':
      case 'unknown':
        for (const write of this._batch) {
          this._toReadBack.add(write);
          this._uncertain.add(write);
        }
        this._backOff(now);
    }
  }

  private _onConflict(keys: readonly string[], now: number): void {
    const conflicting = this._batch.filter((write) =>
      conditionKeys(write).some((key) => keys.includes(key)),
    );
    // An uncertain write may conflict with its own earlier attempt.
    for (const write of conflicting.filter((w) => this._uncertain.has(w))) {
      this._toReadBack.add(write);
    }
    const certain = conflicting.filter((write) => !this._uncertain.has(write));
    this._finish(certain, { kind: 'conflict', keys }, now);
  }

  private _onTransactionRejected(now: number): void {
    const [write, ...others] = this._batch;
    if (!write) {
      return;
    }
    if (others.length > 0) {
      const half = Math.ceil(this._batch.length / 2);
      this._rejectedParts.unshift(this._batch.slice(half));
      this._batch = this._batch.slice(0, half);
    } else if (this._uncertain.has(write)) {
      // An earlier attempt may have been performed.
      this._rejected.add(write);
      this._toReadBack.add(write);
    } else {
      this._reject(write, now);
    }
  }

  private _reject(write: ConditionalWrite, now: number): void {
    const valueBytes = largestValueBytes(write);
    this._onRejected(write.readBackKey, valueBytes);
    this._finish([write], { kind: 'rejected', valueBytes }, now);
  }

  private _readBack(): void {
    this._busy = true;
    const batch = this._batch;
    const keys = [
      ...new Set(batch.flatMap((w) => [w.readBackKey, ...conditionKeys(w)])),
    ];
    this._store.call({ kind: 'read', keys }, (reply, now) => {
      this._busy = false;
      if (reply.kind === 'rows') {
        this._failures = 0;
        this._resolveReadBack(batch, reply.rows, now);
      } else {
        this._backOff(now);
      }
      this.pump(now);
    });
  }

  private _resolveReadBack(
    batch: readonly ConditionalWrite[],
    rows: readonly Row[],
    now: number,
  ): void {
    const found = new Map(rows.map((row) => [row.key, row]));
    for (const write of batch) {
      const version = appliedVersion(write, found);
      if (version !== undefined) {
        this._finish([write], { kind: 'committed', version }, now);
        continue;
      }
      const keys = failedConditions(write, found);
      if (keys.length > 0) {
        this._finish([write], { kind: 'conflict', keys }, now);
      } else if (this._rejected.has(write)) {
        this._reject(write, now);
      } else {
        this._toReadBack.delete(write);
      }
    }
  }

  private _finish(
    writes: readonly ConditionalWrite[],
    outcome: WriteOutcome,
    now: number,
  ): void {
    const finished = new Set(writes);
    this._batch = this._batch.filter((write) => !finished.has(write));
    for (const write of finished) {
      this._toReadBack.delete(write);
      this._uncertain.delete(write);
      this._rejected.delete(write);
      write.onDone(outcome, now);
    }
  }

  private _backOff(now: number): void {
    const limit = Math.min(
      this._maxBackoffMs,
      FIRST_BACKOFF_MS * 2 ** this._failures,
    );
    this._failures += 1;
    this._retryAtMs = now + this._random() * limit;
  }

  private _abandonOverdue(now: number): void {
    const isDue = (write: ConditionalWrite): boolean =>
      write.abandonAtMs !== undefined && write.abandonAtMs <= now;
    const due = this._queue.filter(isDue);
    if (due.length > 0) {
      this._queue = this._queue.filter((write) => !isDue(write));
    }
    if (!this._busy) {
      due.push(
        ...this._batch.filter((w) => isDue(w) && !this._uncertain.has(w)),
      );
    }
    this._finish(due, { kind: 'abandoned' }, now);
  }
}

const sumOf = <T>(items: readonly T[], sizeOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + sizeOf(item), 0);

const conditionKeys = (write: ConditionalWrite): string[] =>
  write.conditions.map((condition) => condition.key);

const writtenKeys = (write: ConditionalWrite): string[] =>
  write.writes.map((w) => w.key);

const touchedKeys = (write: ConditionalWrite): string[] => [
  ...conditionKeys(write),
  ...writtenKeys(write),
];

const addAll = (set: Set<string>, keys: readonly string[]): void => {
  for (const key of keys) {
    set.add(key);
  }
};

/**
 * Version of the rows that a write has set, or `undefined` if it was not
 * performed. A row that still has the version that the write replaces was not
 * written, even if it already had the same value.
 */
const appliedVersion = (
  write: ConditionalWrite,
  rows: ReadonlyMap<string, Row>,
): number | undefined => {
  const key = write.readBackKey;
  const ownWrite = write.writes.find((w) => w.key === key);
  const row = rows.get(key);
  const isReplaced = write.conditions.every(
    (condition) => condition.key !== key || condition.version !== row?.version,
  );
  return ownWrite && isReplaced && row?.value === ownWrite.value
    ? row.version
    : undefined;
};

const failedConditions = (
  write: ConditionalWrite,
  rows: ReadonlyMap<string, Row>,
): string[] =>
  conditionKeys(write).filter((key) =>
    write.conditions.some(
      (c) => c.key === key && (rows.get(key)?.version ?? 0) !== c.version,
    ),
  );
