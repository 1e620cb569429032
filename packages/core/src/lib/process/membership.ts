import type { RunnerRef } from '../connection/runner-peer.js';
import { runnerKey } from '../connection/runner-peer.js';
import { storeKeys } from '../store.js';
import type { Condition, Row, StoreReply } from '../store.js';
import type { EntryContext } from './entry-context.js';
import type { MemberRow, OwnerRow } from './rows.js';
import type { WriteOutcome } from './store-writer.js';

/** Another entry, as of the last scan. */
export interface MemberView {
  readonly row: MemberRow;
  readonly version: number;
  /** How long the row has been unchanged; a gap between scans resets it. */
  readonly staleMs: number;
}

/** Maximum number of member rows that are read; a scan is not continued. */
const SCAN_LIMIT = 1000;
const RENEWALS_PER_LEASE = 4;
/** All leases restart after a longer gap between two scans, in scan periods. */
const MAX_SCAN_GAP_PERIODS = 2;

/**
 * Renews this entry's lease by updating its member row, and scans the member
 * rows of the other entries.
 *
 * Leases only decide when a takeover is attempted; correctness depends neither
 * on leases nor on clocks. A takeover is safe because the runners fence the
 * previous owner and every write of an owner is conditional on its owner row.
 */
export class Membership {
  private readonly _ctx: EntryContext;
  private readonly _registeredRunners = new Map<string, RunnerRef>();
  private readonly _storedRunners = new Set<string>();
  private _views = new Map<string, MemberView>();
  private _memberVersion = 0;
  private _ownerVersion = 0;
  private _renewalCount = 0;
  private _leaving = false;
  private _handedOver = false;
  private _isTakenOver = false;
  private _onLeft: (() => void) | undefined;
  private _writing = false;
  private _dirty = true;
  private _renewAtMs = 0;
  private _scanAtMs = 0;
  private _scanning = false;
  private _lastScanAtMs: number | undefined;

  /** @param ctx - Options and services of the entry. */
  constructor(ctx: EntryContext) {
    this._ctx = ctx;
  }

  /** Whether this entry's rows are stored and all entries have been read. */
  get isReady(): boolean {
    return this._ownerVersion > 0 && this._lastScanAtMs !== undefined;
  }

  /** The other entries, as of the last scan. */
  get others(): readonly MemberView[] {
    return [...this._views.values()];
  }

  /** The other entries that are neither fenced nor replaceable. */
  get live(): readonly MemberView[] {
    return this.others.filter((v) => !v.row.fencedBy && !this.isReplaceable(v));
  }

  /**
   * Whether another entry has taken over the jobs that this entry has handed
   * over. A row marked as leaving is not renewed, so no write of this entry would
   * fail, and a job that waits has no runner that could report the fence.
   */
  get isTakenOver(): boolean {
    return this._isTakenOver;
  }

  /** A condition that holds while this incarnation has not been replaced. */
  get ownerCondition(): Condition {
    return {
      key: storeKeys.owner(this._ctx.options.incarnation),
      version: this._ownerVersion,
    };
  }

  /**
   * @param view - Another entry.
   * @returns Whether the entry is leaving or its lease has expired.
   */
  isReplaceable(view: MemberView): boolean {
    const { memberLeaseMs } = this._ctx.options;
    return view.row.leaving === true || view.staleMs >= memberLeaseMs;
  }

  /**
   * @param sinceMs - A time in the past.
   * @returns Whether the last scan of the member rows began after that time.
   */
  hasScannedSince(sinceMs: number): boolean {
    return (this._lastScanAtMs ?? -Infinity) > sinceMs;
  }

  /**
   * Adds a runner to this entry's member row, so that a successor can fence it.
   * No task of a job may be sent to a runner before this has returned `true`.
   *
   * @param ref - A runner that is to receive tasks.
   * @returns Whether the stored row lists the runner.
   */
  registerRunner(ref: RunnerRef): boolean {
    const key = runnerKey(ref);
    if (!this._registeredRunners.has(key)) {
      this._registeredRunners.set(key, ref);
      this._dirty = true;
    }
    return this.isRegistered(ref);
  }

  /**
   * @param ref - A runner.
   * @returns Whether the stored member row lists the runner.
   */
  isRegistered(ref: RunnerRef): boolean {
    return this._storedRunners.has(runnerKey(ref));
  }

  /** @param ref - A runner that no longer holds any task of this entry. */
  unregisterRunner(ref: RunnerRef): void {
    if (this._registeredRunners.delete(runnerKey(ref))) {
      this._storedRunners.delete(runnerKey(ref));
      this._dirty = true;
    }
  }

  /** @param now - Current time in milliseconds. */
  tick(now: number): void {
    this._writeIfDue(now);
    if (!this._scanning && now >= this._scanAtMs) {
      this._scan(now);
    }
  }

  /** Marks this entry as leaving, so that others take over its jobs. */
  handOver(): void {
    if (!this._leaving) {
      this._leaving = true;
      this._dirty = true;
    }
  }

  /**
   * Deletes this entry's rows. The entry must no longer own any job.
   *
   * @param onLeft - Called when the rows are deleted.
   */
  leave(onLeft: () => void): void {
    this._onLeft = onLeft;
    this._leaveIfIdle();
  }

  /**
   * Deletes the rows unless a renewal is in flight, because a renewal changes
   * the row version that the deletion is conditional on.
   */
  private _leaveIfIdle(): void {
    const { incarnation } = this._ctx.options;
    if (!this._onLeft || this._writing) {
      return;
    }
    this._writing = true;
    this._ctx.writer.submit({
      conditions: [this._memberCondition(), this.ownerCondition],
      writes: [
        { key: storeKeys.member(incarnation), value: null },
        { key: storeKeys.owner(incarnation), value: null },
      ],
      readBackKey: storeKeys.member(incarnation),
      onDone: this._onLeft,
    });
  }

  private _memberCondition(): Condition {
    return {
      key: storeKeys.member(this._ctx.options.incarnation),
      version: this._memberVersion,
    };
  }

  private _writeIfDue(now: number): void {
    // A row marked as leaving is not renewed: a takeover is conditional on the
    // version that the other entries have read.
    const due = now >= this._renewAtMs && !this._leaving;
    if (
      this._writing ||
      this._handedOver ||
      this._onLeft ||
      !(due || this._dirty)
    ) {
      return;
    }
    const { options, writer } = this._ctx;
    this._writing = true;
    this._dirty = false;
    this._renewalCount += 1;
    this._renewAtMs = now + options.memberLeaseMs / RENEWALS_PER_LEASE;
    const runners = [...this._registeredRunners.values()];
    const row = this._row(runners);
    writer.submit({
      conditions: [this._memberCondition(), this.ownerCondition],
      writes: [
        { key: storeKeys.member(row.incarnation), value: JSON.stringify(row) },
        ...this._ownerRowInsertion(row.nonce),
      ],
      readBackKey: storeKeys.member(row.incarnation),
      onDone: (outcome) => {
        this._handedOver = row.leaving === true;
        this._onWritten(outcome, runners);
      },
    });
  }

  private _row(runners: readonly RunnerRef[]): MemberRow {
    const { options } = this._ctx;
    return {
      nonce: `${options.incarnation}:m${String(this._renewalCount)}`,
      id: options.id,
      incarnation: options.incarnation,
      address: options.address,
      dataCentre: options.dataCentre,
      beat: this._renewalCount,
      runners,
      ...(this._leaving ? { leaving: true } : {}),
    };
  }

  private _ownerRowInsertion(nonce: string): { key: string; value: string }[] {
    if (this._ownerVersion > 0) {
      return [];
    }
    const row: OwnerRow = { nonce };
    const key = storeKeys.owner(this._ctx.options.incarnation);
    return [{ key, value: JSON.stringify(row) }];
  }

  private _onWritten(
    outcome: WriteOutcome,
    runners: readonly RunnerRef[],
  ): void {
    this._writing = false;
    if (outcome.kind !== 'committed') {
      this._ctx.retire(
        'The member row of this entry was changed by another entry.',
      );
      return;
    }
    this._memberVersion = outcome.version;
    if (this._ownerVersion === 0) {
      this._ownerVersion = outcome.version;
    }
    for (const ref of runners) {
      if (this._registeredRunners.has(runnerKey(ref))) {
        this._storedRunners.add(runnerKey(ref));
      }
    }
    this._leaveIfIdle();
  }

  private _scan(now: number): void {
    this._scanning = true;
    this._scanAtMs = now + this._ctx.options.memberScanMs;
    this._ctx.store.call(
      {
        kind: 'scan',
        prefix: storeKeys.memberPrefix,
        after: '',
        limit: SCAN_LIMIT,
      },
      (reply) => {
        this._scanning = false;
        this._onScanned(reply, now);
      },
    );
  }

  private _onScanned(reply: StoreReply, sentAtMs: number): void {
    if (reply.kind !== 'rows') {
      return;
    }
    const gapMs = sentAtMs - (this._lastScanAtMs ?? -Infinity);
    const maxGapMs = MAX_SCAN_GAP_PERIODS * this._ctx.options.memberScanMs;
    // No entry can renew its lease while the store is down, so every lease
    // starts anew after a gap between scans.
    const elapsedMs = gapMs <= maxGapMs ? gapMs : undefined;
    const views = new Map<string, MemberView>();
    let own: MemberRow | undefined;
    for (const row of reply.rows) {
      const view = this._view(row, elapsedMs);
      if (view.row.incarnation === this._ctx.options.incarnation) {
        own = view.row;
      } else {
        views.set(view.row.incarnation, view);
      }
    }
    this._views = views;
    this._lastScanAtMs = sentAtMs;
    const isOwnScanned = own !== undefined || reply.rows.length < SCAN_LIMIT;
    this._isTakenOver ||=
      this._handedOver &&
      this._onLeft === undefined &&
      isOwnScanned &&
      (own === undefined || own.fencedBy !== undefined);
  }

  private _view(row: Row, elapsedMs: number | undefined): MemberView {
    const member = JSON.parse(row.value) as MemberRow;
    const before = this._views.get(member.incarnation);
    const unchanged = before?.version === row.version;
    const staleMs =
      unchanged && elapsedMs !== undefined ? before.staleMs + elapsedMs : 0;
    return { row: member, version: row.version, staleMs };
  }
}
