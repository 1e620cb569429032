import type {
  Room,
  WorkerHello,
  WorkerOrder,
  WorkerReport,
} from '../messages.js';
import { NO_ROOM, subtractRoom } from '../request/room.js';
import type { WorkerRow } from './fleet-rows.js';
import { WORKER_CLOCK_MIN_RATE, WorkerClock } from './worker-clock.js';
import { EXPIRY_GRACE_MS } from './worker-driver.js';

/** How long runs may go on after the last word of their entry. */
export const HOLD_MS = 700;
/** Longest lease of a worker plus the time that a stop takes. */
const LAPSE_MS = 1100;
/** Bound for the answers of the worker that are still under way. */
const REPLY_SLACK_MS = 150;
/** After this silence of its entry all runs at a worker have ended. */
export const LOST_AFTER_MS =
  (HOLD_MS + EXPIRY_GRACE_MS + LAPSE_MS) / WORKER_CLOCK_MIN_RATE +
  REPLY_SLACK_MS;
/** Silence of a worker with runs after which its link is replaced. */
const SILENCE_MS = 900;
/**
 * Age of a worker's last word up to which its runs are allowed to go on. A
 * silent worker may still hear us, so its runs could never be given up.
 */
const GRANT_LIMIT_MS = 700;
/** The silence of a worker without runs, which has less to say. */
const IDLE_SILENCE_MS = 2200;

/** A run that has been sent to a worker. */
export interface PlacedRun {
  readonly job: string;
  readonly task: string;
  readonly run: number;
  readonly needs: Room;
  /**
   * Order that carries its start; 0 when the worker has told of it. Reports
   * that take this order into account count its needs as used.
   */
  readonly sequence: number;
}

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
});

/** What an entry knows of one worker, over all of its links. */
export class WorkerView {
  readonly name: string;
  /** The row that the process beside the worker has written. */
  row: WorkerRow;
  /** Whether the row is gone; what is left ends with its runs. */
  isRemoved = false;
  hello: WorkerHello | undefined;
  /** Open link, if any. */
  linkId: number | undefined;
  linkedAtMs = 0;
  reopenAtMs = 0;
  /** Links in a row that ended before they brought a whole picture. */
  failedLinks = 0;
  /** When a run was last placed there or known to be. */
  busyAtMs = Number.NEGATIVE_INFINITY;
  /** Whether this link has brought a whole picture of the worker. */
  isKnown = false;
  lastReportAtMs = Number.NEGATIVE_INFINITY;
  /** Latest time, on the worker's clock, until which runs may go on. */
  private _grantedUntilMs = 0;
  private readonly _clock = new WorkerClock();
  isAccepting = false;
  /** Runs that have been sent and have not ended. */
  readonly placed = new Map<string, PlacedRun>();
  /** Fenced incarnations that this worker has confirmed. */
  readonly adopted = new Set<string>();
  order = emptyOrder();
  isDirty = false;
  sentAtMs = 0;
  /** Number of the order that is being gathered. */
  nextSequence = 1;
  private _reportedSequence = 0;
  private _free: Room = NO_ROOM;

  /**
   * @param name - Name of the VM.
   * @param row - Row of the process beside the worker.
   */
  constructor(name: string, row: WorkerRow) {
    this.name = name;
    this.row = row;
  }

  /** Data centre that the row states. */
  get dataCentre(): string {
    return this.row.dataCentre;
  }

  /** Service of the worker; empty while unknown. */
  get service(): string {
    return this.row.worker?.service ?? this.hello?.service ?? '';
  }

  /** Whether it takes up one of the links that an entry keeps. */
  get counts(): boolean {
    return this.failedLinks === 0 && (!this.isKnown || this.isAccepting);
  }

  /** Room as reported, less what has been sent since. */
  get free(): Room {
    let free = this._free;
    for (const run of this.placed.values()) {
      if (run.sequence > this._reportedSequence) {
        free = subtractRoom(free, run.needs);
      }
    }
    return free;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether starts may be sent.
   */
  isUsable(now: number): boolean {
    return (
      this.isKnown &&
      this.isAccepting &&
      this.linkId !== undefined &&
      now - this.lastReportAtMs < GRANT_LIMIT_MS
    );
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether the open link should be replaced.
   */
  isSilent(now: number): boolean {
    const since = Math.max(this.lastReportAtMs, this.linkedAtMs);
    return this.linkId !== undefined && now - since > this._silenceMs;
  }

  private get _silenceMs(): number {
    return this.placed.size > 0 ? SILENCE_MS : IDLE_SILENCE_MS;
  }

  /**
   * Lets runs go on for a while from now.
   *
   * @param now - Current time in milliseconds.
   * @returns Until when, on the worker's clock.
   */
  grant(now: number): number {
    if (
      this._clock.reading === undefined ||
      now - this.lastReportAtMs > GRANT_LIMIT_MS
    ) {
      return 0;
    }
    const untilMs = this._clock.atLeast(now) + HOLD_MS;
    this._grantedUntilMs = Math.max(this._grantedUntilMs, untilMs);
    return untilMs;
  }

  /**
   * @param now - Current time in milliseconds.
   * @returns Whether all runs there have provably ended.
   */
  isLost(now: number): boolean {
    const endsMs = this._grantedUntilMs + EXPIRY_GRACE_MS + LAPSE_MS;
    return (
      now - this.lastReportAtMs > SILENCE_MS &&
      this._clock.atLeast(now) > endsMs
    );
  }

  /**
   * @param report - A report on the open link.
   * @param now - Current time in milliseconds.
   */
  observe(report: WorkerReport, now: number): void {
    this.lastReportAtMs = now;
    if (report.hello !== undefined && report.hello.life !== this.hello?.life) {
      this._clock.reset();
      this._grantedUntilMs = 0;
    }
    if (report.clockMs > 0) {
      this._clock.observe(report.clockMs, now);
    }
    this.isAccepting = report.accepting;
    this._free = report.free ?? NO_ROOM;
    this.hello = report.hello ?? this.hello;
    this._reportedSequence = report.sequence;
    for (const owner of report.adopted) {
      this.adopted.add(owner);
    }
  }

  /**
   * Begins a new link.
   *
   * @param linkId - Names the link.
   * @param now - Current time in milliseconds.
   */
  relink(linkId: number, now: number): void {
    this.linkId = linkId;
    this.linkedAtMs = now;
    this.isKnown = false;
    this.isDirty = true;
    this.adopted.clear();
    this.order = emptyOrder();
    this.nextSequence = 1;
    this._reportedSequence = 0;
  }

  /** @returns The gathered order; a new one is begun. */
  takeOrder(): MutableOrder {
    const { order } = this;
    this.order = emptyOrder();
    this.isDirty = false;
    order.sequence = this.nextSequence;
    this.nextSequence += 1;
    return order;
  }
}
