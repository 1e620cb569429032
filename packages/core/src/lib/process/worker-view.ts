import type {
  Room,
  WorkerHello,
  WorkerOrder,
  WorkerReport,
} from '../messages.js';
import { ZERO_ROOM, subtractRoom } from '../request/room.js';
import type { WorkerRow } from './fleet-rows.js';
import { runKey } from '../request/run-key.js';
import { DEFAULT_RUN_LIMITS, DELAYED_CALL_LIMIT_MS } from './run-limits.js';
import type { RunLimits } from './run-limits.js';
import { WorkerClock } from './worker-clock.js';
/**
 * Time without a report after which the link to a worker with runs is replaced.
 */
const REPORT_TIMEOUT_MS = 900;
/**
 * Maximum age of a worker's last report at which orders send it starts and
 * extend the time until which its runs may continue. An unresponsive worker may
 * still receive orders; if these kept extending that time, its runs could never
 * be abandoned.
 */
const MAX_REPORT_AGE_MS = 700;
/**
 * Time without a report after which the link to a worker without runs is
 * replaced. Such a worker reports less often.
 */
const IDLE_REPORT_TIMEOUT_MS = 2200;

/** A run that has been sent to a worker. */
export interface PlacedRun {
  readonly job: string;
  readonly task: string;
  readonly run: number;
  readonly needs: Room;
  /** Whether a worker has crashed under the task before. */
  readonly isSuspect: boolean;
  /**
   * Time until which a suspect may crash the worker as before; absent for other
   * tasks.
   */
  readonly trialEndsAtMs?: number | undefined;
  /** Whether its job is volatile. */
  readonly isVolatile: boolean;
  /**
   * Number of the order that carries its start; 0 when the run is known from a
   * report. Reports that cover this order already count its needs as used.
   */
  readonly sequence: number;
}

/** Runs at one worker, by run key; reports changes that affect its capacity. */
class PlacedRuns extends Map<string, PlacedRun> {
  /** Number of runs of tasks under which a worker has crashed before. */
  suspects = 0;
  private readonly _onChange: (
    added: PlacedRun | undefined,
    removed: PlacedRun | undefined,
  ) => void;

  /** @param onChange - Called with the run that was added or removed. */
  constructor(
    onChange: (
      added: PlacedRun | undefined,
      removed: PlacedRun | undefined,
    ) => void,
  ) {
    super();
    this._onChange = onChange;
  }

  override set(key: string, run: PlacedRun): this {
    const replaced = this.get(key);
    super.set(key, run);
    this.suspects +=
      Number(run.isSuspect) - Number(replaced?.isSuspect ?? false);
    this._onChange(run, replaced);
    return this;
  }

  override delete(key: string): boolean {
    const run = this.get(key);
    if (!run) {
      return false;
    }
    super.delete(key);
    this.suspects -= Number(run.isSuspect);
    this._onChange(undefined, run);
    return true;
  }

  override clear(): void {
    for (const key of [...this.keys()]) {
      this.delete(key);
    }
  }
}

/** How long ago a worker driver process that has reached its worker was heard. */
type Contact =
  /** No link has been opened, so that nothing is known of the worker. */
  | { readonly kind: 'unknown' }
  /** Links have been opened since then, and none has delivered a report. */
  | { readonly kind: 'tried'; readonly sinceMs: number }
  | { readonly kind: 'heard'; readonly atMs: number };

type MutableOrder = { -readonly [K in keyof WorkerOrder]: WorkerOrder[K] };

const emptyOrder = (): MutableOrder => ({
  entry: '',
  incarnation: '',
  holdUntilMs: 0,
  adopt: [],
  starts: [],
  stops: [],
  recorded: [],
  claims: [],
  sequence: 0,
  operatorVersion: 0,
  out: false,
  life: '',
  linkNumber: 0,
  registrationVersion: undefined,
  operatorAgeMs: undefined,
});

/**
 * State that an entry keeps for one worker, across successive links: its row,
 * its last report, the runs placed there, the order being gathered, and the
 * time until which its runs may continue.
 */
export class WorkerView {
  readonly name: string;
  /** Row that the worker driver process has written. */
  row: WorkerRow;
  /** Version of the row; 0 while it is absent. */
  rowVersion = 0;
  /** Version of the row that the open link has carried last. */
  reportedRowVersion: number | undefined;
  /**
   * Time at which the row was found to be absent; the view stays until its link
   * is closed and its runs have ended.
   */
  removedAtMs: number | undefined;
  /** Whether this entry, rather than another, is to use the worker first. */
  isPreferred = false;
  hello: WorkerHello | undefined;
  /** Open link, if any. */
  linkId: number | undefined;
  /** Address to which the last link was opened. */
  linkAddress = '';
  linkedAtMs = 0;
  /** Time before which no new link is opened. */
  reopenAtMs = 0;
  /** Consecutive links that closed before they delivered a snapshot. */
  failedLinks = 0;
  /** Time at which the worker last had a run of this entry. */
  lastBusyAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the open link has delivered a snapshot of the worker. */
  hasSnapshot = false;
  lastReportAtMs = Number.NEGATIVE_INFINITY;
  /**
   * Last report of a driver process that has reached the worker. Others can't keep
   * runs active.
   */
  private _contact: Contact = { kind: 'unknown' };
  /** Latest time, on the worker's clock, until which runs may continue. */
  private _grantedUntilMs = 0;
  private readonly _clock = new WorkerClock();
  isAccepting = false;
  /** Runs that have been sent and have not ended. */
  readonly placed = new PlacedRuns((added, removed) => {
    this._onPlacedChanged(added, removed);
  });
  /**
   * Fenced incarnations whose orders this worker has confirmed to refuse on the
   * open link.
   */
  readonly adopted = new Set<string>();
  /** Runs that the worker has not been reported to have begun. */
  private readonly _unconfirmed = new Map<string, PlacedRun>();
  /** Runs that the last report names as unconfirmed. */
  private _reportedUnconfirmed: ReadonlySet<string> = new Set();
  /**
   * Whether the worker may still carry out calls that it had left unanswered at
   * the last report.
   */
  private _mayActLate = false;
  order = emptyOrder();
  private _isDirty = false;
  /** Time at which the last order was sent. */
  sentAtMs = 0;
  /** Number of the order that is being gathered. */
  nextSequence = 1;
  private _reportedSequence = 0;
  private _reportedFree: Room = ZERO_ROOM;
  /** Free capacity; unset when it has to be recomputed. */
  private _free: Room | undefined;
  private readonly _limits: RunLimits;
  private readonly _onOrderDue: ((view: WorkerView) => void) | undefined;

  /**
   * @param name - Name of the VM.
   * @param row - Row of the worker driver process.
   * @param limits - Time limits of the runs there.
   * @param onOrderDue - Called when an order is to be sent at the next flush, or
   *   when the worker gets its first run and orders are due more often.
   */
  constructor(
    name: string,
    row: WorkerRow,
    limits = DEFAULT_RUN_LIMITS,
    onOrderDue?: (view: WorkerView) => void,
  ) {
    this.name = name;
    this.row = row;
    this._limits = limits;
    this._onOrderDue = onOrderDue;
  }

  /** Whether the order being gathered is to be sent at the next flush. */
  get isDirty(): boolean {
    return this._isDirty;
  }

  set isDirty(isDirty: boolean) {
    this._isDirty = isDirty;
    if (isDirty) {
      this._onOrderDue?.(this);
    }
  }

  /** Whether the row is absent. */
  get isRemoved(): boolean {
    return this.removedAtMs !== undefined;
  }

  /** Data centre according to the row. */
  get dataCentre(): string {
    return this.row.dataCentre;
  }

  /** Service of the worker; empty while unknown. */
  get service(): string {
    return this.row.worker?.service ?? this.hello?.service ?? '';
  }

  /**
   * Whether it counts towards the links that an entry keeps: a worker that does
   * not answer or does not accept starts is not counted.
   */
  get countsTowardsSubset(): boolean {
    return this.failedLinks === 0 && (!this.hasSnapshot || this.isAccepting);
  }

  /** Whether a task runs there under which a worker has crashed before. */
  get hasSuspect(): boolean {
    return this.placed.suspects > 0;
  }

  /** Reported remaining capacity, less the needs of runs sent since. */
  get free(): Room {
    this._free ??= this._computeFree();
    return this._free;
  }

  private _computeFree(): Room {
    let free = this._reportedFree;
    for (const run of this.placed.values()) {
      if (run.sequence > this._reportedSequence) {
        free = subtractRoom(free, run.needs);
      }
    }
    return free;
  }

  /** Whether the last report does not confirm that the run has begun. */
  private _isUnconfirmed(run: PlacedRun): boolean {
    return (
      run.sequence > this._reportedSequence ||
      this._reportedUnconfirmed.has(runKey(run))
    );
  }

  private _onPlacedChanged(
    added: PlacedRun | undefined,
    removed: PlacedRun | undefined,
  ): void {
    if (removed) {
      this._unconfirmed.delete(runKey(removed));
    }
    if (added && (added.sequence > 0 || this._isUnconfirmed(added))) {
      this._unconfirmed.set(runKey(added), added);
    }
    const isUnreported = (run: PlacedRun | undefined): boolean =>
      run !== undefined && run.sequence > this._reportedSequence;
    if (isUnreported(removed)) {
      this._free = undefined;
    } else if (added && this._free && isUnreported(added)) {
      this._free = subtractRoom(this._free, added.needs);
    }
    if (added && this.placed.size === 1) {
      this._onOrderDue?.(this);
    }
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether starts may be sent.
   */
  isUsable(now: number): boolean {
    return (
      this.hasSnapshot &&
      this.isAccepting &&
      this.linkId !== undefined &&
      now - this.lastReportAtMs < MAX_REPORT_AGE_MS
    );
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether the open link should be replaced.
   */
  isUnresponsive(now: number): boolean {
    const since = Math.max(this.lastReportAtMs, this.linkedAtMs);
    return this.linkId !== undefined && now - since > this._reportTimeoutMs;
  }

  private get _reportTimeoutMs(): number {
    return this.placed.size > 0 ? REPORT_TIMEOUT_MS : IDLE_REPORT_TIMEOUT_MS;
  }

  /**
   * Extends the time until which runs may continue.
   *
   * @param fromMs - Time from which the extension counts. Earlier than `now` if
   *   the host has been busy since, because callers may have disconnected.
   * @param now - Current time in milliseconds.
   * @returns New end of that time on the worker's clock; 0 without a clock
   *   reading or recent contact, and before the snapshot on the open link, which
   *   shows the runs whose stops were lost with the link before.
   */
  extendGrant(fromMs: number, now: number): number {
    if (
      this._clock.lastReadingMs === undefined ||
      !this.hasSnapshot ||
      this._isSilentFor(MAX_REPORT_AGE_MS, now)
    ) {
      return 0;
    }
    const untilMs = this._clock.lowerBound(fromMs) + this._limits.grantMs;
    this._grantedUntilMs = Math.max(this._grantedUntilMs, untilMs);
    return untilMs;
  }

  /**
   * Returns the runs that have provably ended or will never begin. The process
   * that has sent their starts may have been killed, and nobody else can call
   * the worker. Elapsed time therefore proves the end of a run whose begin is
   * confirmed, but not of one whose start the worker may still carry out.
   *
   * @param now - Current time in milliseconds.
   * @returns The keys of these runs.
   */
  endedRuns(now: number): string[] {
    if (!this._isSilentFor(REPORT_TIMEOUT_MS, now)) {
      return [];
    }
    const { expiryGraceMs, leaseExpiryMs } = this._limits;
    const endsMs = this._grantedUntilMs + expiryGraceMs + leaseExpiryMs;
    const clockMs = this._clock.lowerBound(now);
    if (clockMs <= endsMs) {
      return [];
    }
    const keys = [...this.placed.keys()];
    if (clockMs > endsMs + DELAYED_CALL_LIMIT_MS) {
      return keys;
    }
    return this._mayActLate
      ? []
      : keys.filter((key) => !this._unconfirmed.has(key));
  }

  /**
   * @param sentUntilMs - Time after which the entry whose starts are meant has sent
   *   none.
   * @param now - Current time in milliseconds.
   * @returns Whether the worker may still carry out such starts, because its driver
   *   process is silent or has never been heard.
   */
  mayHoldLateStarts(sentUntilMs: number, now: number): boolean {
    const lastSentMs = Math.min(sentUntilMs, this._unheardSinceMs ?? Infinity);
    return (
      this._isSilentFor(REPORT_TIMEOUT_MS, now) &&
      now - lastSentMs <= this._limits.lateRunExpiryMs
    );
  }

  /**
   * Like {@link mayHoldLateStarts}, but true as soon as the link is lost: a caller
   * may return for its job before a driver counts as silent. A worker to which this
   * entry keeps no link does not count: in large fleets there are always some.
   *
   * @param now - Current time in milliseconds.
   * @returns Whether the worker may carry out starts of a driver that is gone.
   */
  mayHoldUnknownStarts(now: number): boolean {
    const sinceMs = this._unheardSinceMs;
    const isSilent =
      !this.hasSnapshot || this._isSilentFor(MAX_REPORT_AGE_MS, now);
    return (
      isSilent &&
      sinceMs !== undefined &&
      now - sinceMs <= this._limits.lateRunExpiryMs
    );
  }

  /**
   * Time since which no driver process has been heard although a link was wanted;
   * absent while nothing is known.
   */
  private get _unheardSinceMs(): number | undefined {
    switch (this._contact.kind) {
      case 'unknown':
        return undefined;
      case 'tried':
        return this._contact.sinceMs;
      case 'heard':
        return this._contact.atMs;
    }
  }

  private _isSilentFor(ms: number, now: number): boolean {
    return this._contact.kind !== 'heard' || now - this._contact.atMs > ms;
  }

  /**
   * @param key - Key of a run that has been sent here and is being stopped.
   * @param now - Current time in milliseconds.
   * @returns Whether the worker may begin or continue it later than the time
   *   limits of runs allow.
   */
  mayBeginLate(key: string, now: number): boolean {
    const isSilent = this._isSilentFor(MAX_REPORT_AGE_MS, now);
    return (
      this._unconfirmed.has(key) ||
      (this._mayActLate && isSilent && this.placed.has(key))
    );
  }

  /**
   * @param sinceMs - Time of a note, after which the contact has to be.
   * @returns Whether this entry has heard since that the worker answers its
   *   driver process. That is the driver that has sent the starts, which stops
   *   them in time, or a later one, whose higher fencing token makes the worker
   *   reject them.
   */
  provesNoLateStarts(sinceMs: number): boolean {
    return (
      this._contact.kind === 'heard' &&
      this._contact.atMs > sinceMs &&
      !this._mayActLate
    );
  }

  /**
   * Updates the state from a report.
   *
   * @param report - A report on the open link.
   * @param now - Current time in milliseconds.
   */
  applyReport(report: WorkerReport, now: number): void {
    this.lastReportAtMs = now;
    if (report.hello !== undefined && report.hello.life !== this.hello?.life) {
      this._clock.reset();
      this._grantedUntilMs = 0;
    }
    if (report.clockMs > 0) {
      this._clock.observe(report.clockMs, now);
    }
    this.isAccepting = report.accepting;
    this._reportedFree = report.free ?? ZERO_ROOM;
    this._free = undefined;
    this.hello = report.hello ?? this.hello;
    this._reportedSequence = report.sequence;
    if (this.hasSnapshot || report.snapshot) {
      // Before it has reached the worker, a new driver process does not know
      // which calls of the earlier one are outstanding.
      this._contact = { kind: 'heard', atMs: now };
      this._mayActLate = report.mayActLate;
      this._reportedUnconfirmed = new Set(report.unconfirmed.map(runKey));
      // A worker that has restarted may begin a run that was confirmed before.
      for (const key of this._reportedUnconfirmed) {
        const run = this.placed.get(key);
        if (run) {
          this._unconfirmed.set(key, run);
        }
      }
      for (const [key, run] of this._unconfirmed) {
        if (!this._isUnconfirmed(run)) {
          this._unconfirmed.delete(key);
        }
      }
    }
    for (const owner of report.adopted) {
      this.adopted.add(owner);
    }
  }

  /**
   * Resets the state that belongs to one link.
   *
   * @param linkId - Id of the new link.
   * @param now - Current time in milliseconds.
   */
  resetForLink(linkId: number, now: number): void {
    this.linkId = linkId;
    this.noteTried(now);
    this.linkedAtMs = now;
    this.hasSnapshot = false;
    this.isDirty = true;
    this.reportedRowVersion = undefined;
    this.adopted.clear();
    this.order = emptyOrder();
    this.nextSequence = 1;
    this._reportedSequence = 0;
    this._free = undefined;
  }

  /**
   * Notes that the worker can't be reached, or that a link is being opened.
   *
   * @param now - Current time in milliseconds.
   */
  noteTried(now: number): void {
    if (this._contact.kind === 'unknown') {
      this._contact = { kind: 'tried', sinceMs: now };
    }
  }

  /** Notes that no link is wanted any more, so that silence proves nothing. */
  forgetContact(): void {
    this._contact = { kind: 'unknown' };
  }

  /** @returns The gathered order; an empty one takes its place. */
  takeOrder(): MutableOrder {
    const { order } = this;
    this.order = emptyOrder();
    this.isDirty = false;
    order.sequence = this.nextSequence;
    this.nextSequence += 1;
    return order;
  }
}
