import { EndKind, StartRefusal } from '../messages.js';
import type {
  CrashedRun,
  RecordedEnd,
  RunEnd,
  RunStop,
  StartGroup,
  WorkerCrash,
  WorkerHello,
  WorkerOrder,
} from '../messages.js';
import { ZERO_ROOM, isSameRoom } from '../request/room.js';
import { runKey } from '../request/run-key.js';
import { CrashHistory } from './crash-history.js';
import { CallFailure, CrashTime } from './crash-time.js';
import type { CrashBounds } from './crash-time.js';
import { DataCentreState } from './data-centre-state.js';
import type { DataCentreRead } from './data-centre-state.js';
import { EndList } from './end-list.js';
import { LogLimit } from './log-limit.js';
import { OpenStarts, hasOpenStart } from './open-starts.js';
import { ReportLinks } from './report-links.js';
import type { ReportLink, WorkerState } from './report-links.js';
import {
  DEFAULT_RUN_LIMITS,
  DELAYED_CALL_LIMIT_MS,
  longestLateRunMs,
} from './run-limits.js';
import type { RunLimits } from './run-limits.js';
import { StartAdmission } from './start-admission.js';
import { RunPhase, TrackedRuns, trackedRun } from './tracked-runs.js';
import type { TrackedRun } from './tracked-runs.js';
import { WorkerClock } from './worker-clock.js';
import { WorkerRejection, isOutdatedHeartbeat } from './worker-events.js';
import type {
  ListedEnd,
  ListedRun,
  WorkerAction,
  WorkerHeartbeat,
  WorkerCall,
  WorkerEvent,
  WorkerReply,
} from './worker-events.js';
import { REFUSALS, reasonOf } from './worker-replies.js';

/** Options of {@link WorkerDriver}. */
export interface WorkerDriverOptions {
  /** Name of the VM. */
  readonly name: string;
  /** Incarnation of this worker driver process. */
  readonly incarnation: string;
  /**
   * Initial fencing token; usually higher than those of earlier processes. It
   * is raised when the worker has seen a higher one.
   */
  readonly token: number;
  /** Time limits of runs. */
  readonly limits?: RunLimits;
}

/** Delay before the next poll after one that failed. */
const POLL_RETRY_DELAY_MS = 50;
/** Added to the wait of a poll to get its timeout. */
const POLL_REPLY_SLACK_MS = 150;
/**
 * Greatest age of the last clock reading at which a poll renews the lease. An
 * unresponsive worker may still carry out polls; if they kept renewing the
 * lease, its runs could never be declared lost.
 */
const RENEWAL_MAX_READING_AGE_MS = 700;
/** Minimum interval between two polls, so that several ends share one reply. */
const MIN_POLL_INTERVAL_MS = 8;
/**
 * Minimum interval between two polls while ends are not acknowledged, because
 * the worker then replies without delay.
 */
const UNACKNOWLEDGED_POLL_INTERVAL_MS = 30;
/**
 * A poll that fails this long before its timeout was not ended by it; timers may
 * expire a millisecond early.
 */
const POLL_TIMEOUT_MARGIN_MS = 5;
/** Timeout of a start or stop call, after which the driver retries. */
const CALL_TIMEOUT_MS = 200;
/** Delay before a stop call that failed is sent again. */
const STOP_RETRY_DELAY_MS = 50;
/**
 * Pending stop calls beyond which none is repeated, so that connections to the
 * worker remain for polls and starts.
 */
const MAX_PENDING_STOPS = 8;
/** Start calls that may time out before the run is stopped instead. */
const MAX_START_ATTEMPTS = 2;
/** Longest time between two reports to an entry that sends orders. */
const MAX_REPORT_INTERVAL_MS = 250;
/**
 * Time that an entry has to claim a run of an earlier driver process. The lease
 * of that process has expired by then.
 */
const CLAIM_GRACE_MS = 1000;
/** Ends that stay unrecorded are reported to all entries at this interval. */
const UNRECORDED_REPORT_INTERVAL_MS = 2000;
/** Increment of the fencing token when the worker has seen a higher one. */
const TOKEN_STEP = 100_000;
/**
 * How long the lease is still renewed for active runs after superseded ends
 * require its expiry; then it expires even if runs are still active.
 */
const LEASE_EXPIRY_MAX_DELAY_MS = 3000;
/**
 * How long a worker that answers again after failed polls counts as unreliable,
 * that is, as one that may carry out calls without answering them.
 */
const UNRELIABLE_PERIOD_MS = 15_000;
/**
 * Part of the limit of an entry below which a start counts as begun from an old
 * order: it was held back on its way.
 */
const OLD_ORDER_LEFT_SHARE = 0.5;
/**
 * Number of ends that a worker lists at a time. If it lists as many, more may
 * follow once these are acknowledged.
 */
const MAX_LISTED_ENDS = 500;
/**
 * Number of ends from which they are acknowledged although a start is open, so
 * that the worker's list does not fill up.
 */
const MAX_WITHHELD_ENDS = 100;
/** Runs that a log line about a crash names. */
const MAX_LOGGED_RUNS = 20;
/**
 * Longest time that a planned stop waits for runs to end, which leaves 1.5 s of
 * the platform's grace of 6 s for the last write and a process that is late.
 */
const DRAIN_TIMEOUT_MS = 4500;
/**
 * Shortest planned stop. Entries learn of it from a report; starts that they send
 * before it arrives are refused, and placed elsewhere at once. On a link that
 * closes, their state would be unknown until the next process has started.
 */
const MIN_STOP_MS = 300;
/**
 * Longest time that a planned stop without runs waits for the acknowledgement of
 * listed ends. Until the next process acknowledges them, the lease expires, and
 * an entry that has gone records none.
 */
const ACKNOWLEDGE_TIMEOUT_MS = 1000;

/** Only runs of an earlier driver process can be claimed. */
const claimGraceMs = (run: TrackedRun): number =>
  run.isInherited ? CLAIM_GRACE_MS : 0;

/** Why an incarnation of the worker is gone, as logged. */
enum GoneReason {
  Left = 'left',
  /** Another incarnation has been announced. */
  Replaced = 'replaced',
  /** A poll has shown another incarnation. */
  Restarted = 'restarted',
  OtherAnswers = 'other incarnation answers',
}

/** An announced incarnation that has not been found at the address yet. */
interface Candidate {
  readonly worker: WorkerHeartbeat;
  /** Number of the latest poll at the time of the announcement. */
  readonly pollNumber: number;
}

interface PendingCall {
  readonly call: WorkerCall;
  /** Incarnation of the worker at the time of the call. */
  readonly workerIncarnation: string;
  /** Number of the latest poll at the time of the call. */
  readonly pollNumber: number;
  /** Lower bound of the worker's clock at the time of the call. */
  readonly clockMs: number;
  /** Lease end that the call requests, on the worker's clock. */
  readonly leaseEndMs: number;
}

/**
 * Relays the orders of all entries to one worker, and reports its runs back.
 * It is the only caller of the worker and does no I/O: the worker driver process
 * passes in events and performs the actions that come back.
 *
 * Runs continue under a lease that this driver renews with its polls. Each
 * entry limits, on the worker's clock, how long its runs may continue without
 * contact. After that the driver stops them, and if a run does not end, it no
 * longer renews the lease of the whole worker. An entry that has lost contact
 * can therefore tell from elapsed time alone that its runs have ended.
 */
export class WorkerDriver {
  private readonly _options: WorkerDriverOptions;
  private readonly _limits: RunLimits;
  private readonly _pollTimeoutMs: number;
  private readonly _clock = new WorkerClock();
  private readonly _ends = new EndList();
  private readonly _crashes = new CrashHistory();
  /** When the current incarnation of the worker crashed, if it has. */
  private _crashTime = new CrashTime();
  /**
   * Runs of this incarnation that were declared lost while it was not known
   * whether the worker had crashed.
   */
  private _lostRuns: TrackedRun[] = [];
  private readonly _runs = new TrackedRuns();
  private readonly _openStarts = new OpenStarts(
    (run) => this._runs.get(run) === run,
  );
  /**
   * Runs whose start call is sent at the end of this turn. A process that reads
   * late may have received the stop of a run, or the end of a permission, right
   * behind its start.
   */
  private readonly _unsentStarts = new Set<TrackedRun>();
  /** Runs whose stop the worker has not confirmed. */
  private readonly _stopRetries = new Set<TrackedRun>();
  private readonly _links = new ReportLinks();
  private readonly _starts = new StartAdmission({
    runs: this._runs,
    links: this._links,
    isReady: () => this._mayBegin,
    capacity: () => this._worker?.capacity ?? ZERO_ROOM,
    isExpired: (owner, now) => this._isExpired(owner, now),
    sendStart: (run) => {
      this._unsentStarts.add(run);
    },
    sendStop: (run) => {
      this._sendStop(run);
    },
  });
  private readonly _calls = new Map<number, PendingCall>();
  /**
   * Time on the worker's clock until which the runs of an entry may continue,
   * by incarnation of the entry.
   */
  private readonly _ownerExpiryMs = new Map<string, number>();
  /** Fenced incarnations of entries, with the incarnation that adopted each. */
  private readonly _fenced = new Map<string, string>();
  private _actions: WorkerAction[] = [];
  private _worker: WorkerHeartbeat | undefined;
  private _candidate: Candidate | undefined;
  private readonly _ignoredLog = new LogLimit();
  /** Start time of the worker's incarnation, from polls or announcements. */
  private _workerBornMs: number | undefined;
  /** Incarnation that has left last, by the time of its start. */
  private _leftBornMs = Number.NEGATIVE_INFINITY;
  /** Time of the event that is being processed. */
  private _nowMs = 0;
  private _token: number;
  private _nextCallId = 1;
  private _pollCallId: number | undefined;
  private _nextPollAtMs = 0;
  private _pollCount = 0;
  /** Number of the latest poll that the present incarnation has answered. */
  private _answeredPoll = 0;
  /** Whether this process has reached any incarnation of the worker. */
  private _hasReachedWorker = false;
  private _lastPollAtMs = 0;
  /** Whether the last list of ends was complete. */
  private _areAllEndsListed = false;
  /**
   * Whether any list of this incarnation's ends was complete. Before that, a run
   * of an earlier driver process may have ended although neither the active runs
   * nor the listed ends show it.
   */
  private _haveAllEndsBeenListed = false;
  /**
   * Number of the latest poll when a start was answered by a clock that is behind
   * that of the present incarnation. Only a later poll proves which one is up.
   */
  private _doubtedPoll = 0;
  /** Number of the latest poll that has acknowledged ends. */
  private _acknowledgingPoll = 0;
  /**
   * Latest lease end that an answered call, or one that may have been carried
   * out, has requested, on the worker's clock.
   */
  private _leaseEndMs = 0;
  /** Whether the lease is not renewed because expired runs do not end. */
  private _leaseSuspended = false;
  /**
   * Numbers of superseded ends: those of runs that were abandoned, so that their
   * tasks may have been started again. The lease must expire before these ends
   * are acknowledged; otherwise the earlier run would be acknowledged under the
   * same lease as the later one.
   */
  private _endsAwaitingExpiry: number[] = [];
  /** Local time since which the lease is to expire for superseded ends. */
  private _expiryRequestedAtMs = 0;
  /** Local time of the first poll failure since the last reply to a poll. */
  private _unansweredSinceMs: number | undefined;
  /** Whether the address of the worker refused the last poll. */
  private _isUnreachable = false;
  private readonly _dataCentreState = new DataCentreState();
  /** Local time until which the worker counts as unreliable. */
  private _unreliableUntilMs = 0;
  private _unrecordedReportAtMs = 0;
  private _stoppingSinceMs: number | undefined;
  /** Since when starts are refused because of a planned stop. */
  private _refusesSinceMs: number | undefined;
  /** Since when no run is left during a planned stop. */
  private _idleSinceMs: number | undefined;
  private _isStopped = false;

  /** @param options - Names, fencing token and time limits of the worker. */
  constructor(options: WorkerDriverOptions) {
    this._options = options;
    this._limits = options.limits ?? DEFAULT_RUN_LIMITS;
    this._pollTimeoutMs = this._limits.pollWaitMs + POLL_REPLY_SLACK_MS;
    this._token = options.token;
  }

  /** Number of runs that may be active. */
  get activeRuns(): number {
    return this._runs.size;
  }

  /**
   * When the next tick is due, for a poll of the worker, the end of the wait of
   * a queued start or another stop call; absent while none is awaited.
   */
  get nextDueAtMs(): number | undefined {
    const dueMs = Math.min(
      this._pollCallId === undefined ? this._nextPollAtMs : Infinity,
      this._starts.nextExpiryMs ?? Infinity,
      ...[...this._stopRetries].map((run) => run.stopRetryAtMs ?? Infinity),
    );
    return dueMs === Infinity ? undefined : dueMs;
  }

  /**
   * Processes one event. Reports and the calls of new starts are only sent by the
   * event `flush`.
   *
   * @param event - The event to process.
   * @param now - Current time in milliseconds.
   * @returns The actions to perform, in order.
   */
  handle(event: WorkerEvent, now: number): WorkerAction[] {
    this._nowMs = now;
    switch (event.kind) {
      case 'announce':
        this._onAnnounce(event.worker, now);
        break;
      case 'leave':
        this._onLeave(event.id, now);
        break;
      case 'link-open':
        this._links.open(event.linkId);
        break;
      case 'order':
        this._onOrder(event.linkId, event.order, now);
        break;
      case 'link-closed':
        this._onLinkClosed(event.linkId, now);
        break;
      case 'reply':
        this._onReply(event.callId, event.reply, now);
        break;
      case 'data-centre-read':
        this._onDataCentreRead(event.read, now);
        break;
      case 'tick':
        this._onTick(now);
        break;
      case 'stop':
        this._stoppingSinceMs ??= event.sinceMs ?? now;
        this._refusesSinceMs ??= now;
        this._links.markAllDirty();
        break;
      case 'flush':
        this._flush(now);
    }
    if (event.kind !== 'flush') {
      this._starts.update(now);
      this._pollIfDue(now);
      this._readDataCentreIfStale(now);
    }
    const actions = this._actions;
    this._actions = [];
    return actions;
  }

  private get _workerIncarnation(): string {
    return this._workerBornMs === undefined ? '' : String(this._workerBornMs);
  }

  private get _isAccepting(): boolean {
    return (
      this._worker?.accepting === true &&
      this._worker.bornMs === this._workerBornMs &&
      this._clock.lastReadingMs !== undefined &&
      this._unansweredSinceMs === undefined &&
      !this._leaseSuspended &&
      this._endsAwaitingExpiry.length === 0 &&
      this._stoppingSinceMs === undefined
    );
  }

  /** A start call renews the lease, which unclaimed runs must not share. */
  private get _mayBegin(): boolean {
    return (
      this._isAccepting &&
      this._dataCentreState.isSettled &&
      !this._dataCentreState.isOutOfService &&
      !this._runs.hasUnclaimed
    );
  }

  /** Whether the time limit of the runs of an entry has passed. */
  private _isExpired(owner: string, now: number): boolean {
    return this._clock.lowerBound(now) > (this._ownerExpiryMs.get(owner) ?? 0);
  }

  /**
   * Latest end of the lease, on the worker's clock, at which the runs of an entry
   * that goes silent end in time even if this process is busy or the worker does
   * not confirm their stop.
   */
  private get _leaseLimitMs(): number {
    let limitMs = this._stoppedLeaseLimitMs;
    for (const owner of this._runs.owners) {
      if (owner !== '') {
        const expiryMs = this._ownerExpiryMs.get(owner) ?? 0;
        limitMs = Math.min(limitMs, expiryMs + this._limits.expiryGraceMs);
      }
    }
    return limitMs;
  }

  /**
   * Latest end of the lease, on the worker's clock, at which volatile runs end in
   * time whose stop the worker has not confirmed.
   */
  private get _stoppedLeaseLimitMs(): number {
    let limitMs = Number.POSITIVE_INFINITY;
    for (const run of this._stopRetries) {
      if (run.stopLimitMs !== undefined && this._runs.get(run) === run) {
        const endMs = run.stopLimitMs + this._limits.expiryGraceMs;
        limitMs = Math.min(limitMs, endMs);
      }
    }
    return limitMs;
  }

  private _onLeave(id: string, now: number): void {
    if (this._candidate?.worker.id === id) {
      this._candidate = undefined;
    }
    if (this._worker?.id === id) {
      this._actions.push({ kind: 'confirmed', worker: this._worker });
      this._leftBornMs = this._worker.bornMs;
      this._discardIncarnation(GoneReason.Left, hasOpenStart, now);
      this._worker = undefined;
    }
  }

  private _onAnnounce(worker: WorkerHeartbeat, now: number): void {
    const known = this._worker;
    const isEarlier =
      worker.bornMs < (this._workerBornMs ?? 0) ||
      worker.bornMs <= this._leftBornMs;
    if (isEarlier || (known && isOutdatedHeartbeat(worker, known))) {
      this._logIgnored('it arrives late', worker, now);
      return;
    }
    const isKnown =
      this._workerBornMs === undefined ||
      (this._workerBornMs === worker.bornMs &&
        (!known || known.id === worker.id));
    if (isKnown && known && known.service !== worker.service) {
      this._logIgnored('a worker keeps its service', worker, now);
      return;
    }
    if (isKnown) {
      this._useWorker(worker);
      return;
    }
    // Another writer may have sent it; its worker has to answer first.
    const isNews = this._candidate?.worker.bornMs !== worker.bornMs;
    this._candidate = { worker, pollNumber: this._pollCount };
    if (isNews && this._mayHaveRestarted) {
      this._fenceEarlierCalls(now);
    }
    if (this._unansweredSinceMs !== undefined) {
      this._replaceSilentWorker(now);
    }
  }

  /**
   * Whether another incarnation with the same id has been announced. Until it has
   * received a call with a higher fencing token, it executes earlier calls.
   */
  private get _mayHaveRestarted(): boolean {
    return (
      this._candidate !== undefined &&
      this._candidate.worker.id === this._worker?.id
    );
  }

  /**
   * Raises the fencing token and lets the next poll carry it at once, so that an
   * incarnation that receives it rejects all earlier calls.
   */
  private _fenceEarlierCalls(now: number): void {
    this._token += 1;
    this._pollCallId = undefined;
    this._nextPollAtMs = now;
  }

  /** Uses a heartbeat of the present incarnation, or the first of one. */
  private _useWorker(worker: WorkerHeartbeat): void {
    const known = this._worker;
    const isNew = known?.id !== worker.id || known.bornMs !== worker.bornMs;
    this._worker = worker;
    this._candidate = undefined;
    if (this._clock.lastReadingMs !== undefined) {
      this._actions.push({ kind: 'confirmed', worker });
    }
    if (isNew) {
      this._workerBornMs = worker.bornMs;
      this._log('worker announced', {
        worker: worker.id,
        bornMs: worker.bornMs,
        service: worker.service,
      });
      this._links.resendHello();
      return;
    }
    const { accepting, capacity } = worker;
    const isResized = !isSameRoom(known.capacity, capacity);
    if (known.accepting !== accepting || isResized) {
      this._log('worker changed state', {
        worker: worker.id,
        accepting,
        cpuMilli: capacity.cpuMilli,
        memoryMb: capacity.memoryMb,
        sequence: worker.sequence,
      });
    }
    if (isResized) {
      this._links.resendHello();
    } else if (known.accepting !== accepting) {
      this._links.markAllDirty();
    }
  }

  /**
   * Replaces an incarnation that does not answer by an announced one. Another
   * writer may send heartbeats for a service that does not exist; one of another
   * service therefore has to answer first.
   */
  private _replaceSilentWorker(now: number): void {
    const worker = this._candidate?.worker;
    if (worker && worker.service === this._worker?.service) {
      const keepsId = worker.id === this._worker.id;
      const mayBeginLate = (run: TrackedRun): boolean =>
        keepsId &&
        // A start may have been answered by the new incarnation.
        (hasOpenStart(run) || this._answeredPoll <= run.lastStartPoll);
      this._discardIncarnation(GoneReason.Replaced, mayBeginLate, now);
      this._useWorker(worker);
    }
  }

  /** Discards an announced incarnation, as the present one answers after it. */
  private _rejectCandidate(pollNumber: number, now: number): void {
    const candidate = this._candidate;
    if (candidate && pollNumber > candidate.pollNumber) {
      this._candidate = undefined;
      this._logIgnored('another worker answers', candidate.worker, now);
    }
  }

  private _logIgnored(why: string, worker: WorkerHeartbeat, now: number): void {
    const suppressed = this._ignoredLog.take(now);
    if (suppressed !== undefined) {
      this._log('announcement ignored', {
        why,
        worker: worker.id,
        service: worker.service,
        bornMs: worker.bornMs,
        sequence: worker.sequence,
        suppressed,
      });
    }
  }

  /**
   * Discards the worker's incarnation and reports its runs as lost. A start that
   * it has not provably received may be executed by the next incarnation, if that
   * has the same id. Such a run is stopped there first.
   *
   * @param mayBeginLate - Whether the next incarnation may begin a run.
   */
  private _discardIncarnation(
    why: GoneReason,
    mayBeginLate: (run: TrackedRun) => boolean,
    now: number,
  ): void {
    const isPlanned =
      why === GoneReason.Left || this._worker?.accepting === false;
    this._log('worker incarnation gone', {
      why,
      life: this._workerIncarnation,
      runs: this._runs.size,
      ackUnanswered: this._answeredPoll < this._acknowledgingPoll,
    });
    this._starts.removeAll(StartRefusal.NOT_READY);
    for (const run of this._unsentStarts) {
      this._refuse(run, StartRefusal.NOT_READY);
    }
    this._unsentStarts.clear();
    this._stopRetries.clear();
    const runs = this._runs.values();
    if (!isPlanned) {
      const gone = runs.filter((run) => !mayBeginLate(run));
      this._recordCrash([...this._lostRuns, ...gone], why, now);
    }
    this._lostRuns = [];
    for (const run of runs) {
      if (mayBeginLate(run)) {
        this._keepFormerRun(run, isPlanned, now);
      } else {
        this._loseRun(run, now);
      }
    }
    this._ends.reset();
    this._areAllEndsListed = false;
    this._haveAllEndsBeenListed = false;
    this._clock.reset();
    this._crashTime = new CrashTime();
    this._ownerExpiryMs.clear();
    this._workerBornMs = undefined;
    this._leaseEndMs = 0;
    this._leaseSuspended = false;
    this._endsAwaitingExpiry = [];
    this._unreliableUntilMs = 0;
    this._unansweredSinceMs = undefined;
    this._isUnreachable = false;
    this._fenceEarlierCalls(now);
    this._links.markAllDirty();
  }

  private _keepFormerRun(
    run: TrackedRun,
    isPlanned: boolean,
    now: number,
  ): void {
    const untilMs = now + longestLateRunMs(this._limits);
    const crash: WorkerCrash | undefined =
      !isPlanned && mayHaveBegun(run)
        ? {
            life: this._workerIncarnation,
            runs: [toCrashedRun(run, this._crashTime.bounds(now))],
          }
        : undefined;
    this._runs.keepAsFormer(run, { untilMs, crash });
    run.phase = RunPhase.Stopping;
    run.stopSentAtMs ??= now;
    run.stopRetryAtMs = now;
    // Limits on the clock of the earlier incarnation mean nothing now. Until the
    // stop is confirmed, no poll keeps a volatile run active.
    run.stopLimitMs = run.isVolatile ? 0 : undefined;
    this._stopRetries.add(run);
    this._log('run of an earlier incarnation kept, it may begin late', {
      task: run.task,
      run: run.run,
      owner: run.owner,
      starts: run.starts,
      answered: run.answeredStarts,
    });
  }

  /** Reports the runs that may have been active when the worker crashed. */
  private _recordCrash(
    runs: readonly TrackedRun[],
    why: string,
    now: number,
  ): void {
    const begun = runs.filter((run) => !run.former && mayHaveBegun(run));
    if (begun.length === 0) {
      return;
    }
    const bounds = this._crashTime.bounds(now);
    const crashed = begun.map((run) => toCrashedRun(run, bounds));
    const life = this._workerIncarnation;
    this._log('worker crashed', {
      why,
      life,
      runs: crashed.length,
      silentMs: Math.round(now - (this._unansweredSinceMs ?? now)),
      names: crashed
        .slice(0, MAX_LOGGED_RUNS)
        .map(
          ({ task, run, activeMs, uncertaintyMs }) =>
            `${task}#${String(run)}@${String(activeMs - uncertaintyMs)}-${String(activeMs)}ms`,
        )
        .join(' '),
    });
    this._links.addCrash(this._crashes.add(life, crashed, now));
  }

  private _onLinkClosed(linkId: number, now: number): void {
    const owner = this._links.close(linkId);
    this._starts.removeLink(linkId);
    this._dropUnsentStarts(linkId);
    const expiryMs =
      owner === undefined ? undefined : this._ownerExpiryMs.get(owner);
    if (owner !== undefined && expiryMs !== undefined) {
      const untilMs =
        this._clock.lowerBound(now) + this._limits.reconnectGraceMs;
      this._ownerExpiryMs.set(owner, Math.min(expiryMs, untilMs));
    }
  }

  private _onOrder(linkId: number, order: WorkerOrder, now: number): void {
    const link = this._links.get(linkId);
    if (!link) {
      return;
    }
    const isFirst = link.incarnation === '';
    const earlier = this._links.identify(link, order);
    if (earlier) {
      this._closeEarlierLink(earlier, order.incarnation);
    }
    if (earlier === link) {
      return;
    }
    if (isFirst) {
      // The snapshot on this link does not list its starts of earlier links.
      this._starts.removeOwner(order.incarnation);
    }
    link.report.sequence = order.sequence;
    // Starts and acknowledgements lead to reports of their own; an order that
    // only keeps the link alive is answered at the end of this turn.
    const isKeepAlive =
      order.starts.length === 0 && order.recorded.length === 0;
    if (
      isFirst ||
      isKeepAlive ||
      now - link.sentAtMs >= MAX_REPORT_INTERVAL_MS
    ) {
      this._links.markDirty(link);
    }
    for (const owner of order.adopt) {
      this._adopt(link, owner);
    }
    if (this._fenced.has(order.incarnation)) {
      this._log('order of a fenced entry refused', {
        entry: order.incarnation,
        successor: this._fenced.get(order.incarnation) ?? '',
      });
      link.report.fenced = true;
      this._links.markDirty(link);
      this._refuseStarts(order, StartRefusal.FENCED);
      return;
    }
    this._updateDataCentreState(order, now);
    const isForThisIncarnation =
      order.life === '' || order.life === this._workerIncarnation;
    const earlierExpiryMs = this._ownerExpiryMs.get(order.incarnation) ?? 0;
    if (isForThisIncarnation) {
      this._ownerExpiryMs.set(
        order.incarnation,
        Math.max(earlierExpiryMs, order.holdUntilMs),
      );
    }
    for (const end of order.recorded) {
      if (end.life === this._workerIncarnation) {
        this._onRecorded(end, now);
      }
    }
    for (const group of order.claims) {
      this._claim(order.incarnation, group);
    }
    if (isForThisIncarnation) {
      for (const group of order.starts) {
        this._starts.startGroup(link, group, order.holdUntilMs, now);
      }
    } else {
      // Its time limit is on the clock of another incarnation, so the runs may
      // have been taken for ended already.
      this._refuseStarts(order, StartRefusal.NOT_READY);
    }
    // An entry extends its limit for the runs that it keeps. Those that it stops
    // keep the limit that they had when it lost their callers. A driver that was
    // restarted knows none before the first order.
    const stopLimitMs =
      earlierExpiryMs > 0 ? earlierExpiryMs : order.holdUntilMs;
    for (const stop of order.stops) {
      this._stopRun(stop, { sender: order.incarnation, stopLimitMs }, now);
    }
    link.needsSnapshot ||= isFirst || order.adopt.length > 0;
  }

  /**
   * Closes a link whose entry has a newer one. Its orders may have been held back
   * until after the entry has given up their runs.
   */
  private _closeEarlierLink({ id }: ReportLink, entry: string): void {
    this._log('earlier link of an entry closed', { entry, linkId: id });
    this._links.close(id);
    this._dropUnsentStarts(id);
    this._actions.push({ kind: 'close-link', linkId: id });
  }

  /**
   * Drops the starts of this turn that came over a link which has closed, as if
   * they had been lost with it. They are not refused, because the entry may have
   * sent their stops over the next link: it would get two answers.
   */
  private _dropUnsentStarts(linkId: number): void {
    const dropped = [...this._unsentStarts].filter(
      (tracked) => tracked.linkId === linkId,
    );
    for (const tracked of dropped) {
      this._unsentStarts.delete(tracked);
      this._runs.delete(tracked);
    }
    const [first] = dropped;
    if (first) {
      const { task, run, owner } = first;
      this._log('starts of a closed link dropped', {
        runs: dropped.length,
        task,
        run,
        owner,
        linkId,
      });
    }
  }

  private _refuseStarts(order: WorkerOrder, reason: StartRefusal): void {
    for (const { task, run } of order.starts.flatMap((g) => g.runs)) {
      this._links.addRefusal(order.incarnation, task, run, reason);
    }
  }

  /**
   * Keeps the newest known state of this data centre, so that an entry that is
   * cut off from the store can't start runs in a data centre that operators
   * have taken out of service.
   */
  private _updateDataCentreState(order: WorkerOrder, now: number): void {
    const { operatorAgeMs: ageMs, operatorVersion: version, out } = order;
    const news = { ageMs, version, isOutOfService: out };
    if (this._dataCentreState.onOrder(news, now)) {
      this._logDataCentre(order.incarnation);
    }
  }

  /** Has the state of the data centre read if no linked entry knows it. */
  private _readDataCentreIfStale(now: number): void {
    const dataCentre = this._worker?.dataCentre;
    if (
      dataCentre === undefined ||
      !this._links.hasOwners ||
      this._stoppingSinceMs !== undefined
    ) {
      return;
    }
    const ageMs = this._dataCentreState.ageMs(now);
    if (this._dataCentreState.beginRead(now)) {
      this._log('data centre read, entries are behind', {
        dataCentre,
        ...(ageMs === undefined ? {} : { ageMs: Math.round(ageMs) }),
      });
      this._actions.push({ kind: 'read-data-centre', dataCentre });
    }
  }

  private _onDataCentreRead(
    read: DataCentreRead | undefined,
    now: number,
  ): void {
    if (this._dataCentreState.onRead(read, now)) {
      this._logDataCentre('');
    }
  }

  private _logDataCentre(entry: string): void {
    const { isOutOfService, version } = this._dataCentreState;
    this._log(
      isOutOfService ? 'data centre out of service' : 'data centre in service',
      { entry, operatorVersion: version },
    );
  }

  private _onRecorded(end: RecordedEnd, now: number): void {
    if (!end.superseded) {
      this._ends.markRecorded(end.number);
      return;
    }
    if (
      this._ends.isListed(end.number) &&
      !this._endsAwaitingExpiry.includes(end.number)
    ) {
      if (this._endsAwaitingExpiry.length === 0) {
        this._expiryRequestedAtMs = now;
        this._log('lease to lapse before an end is acknowledged', {
          end: end.number,
          runs: this._runs.size,
        });
        this._links.markAllDirty();
      }
      this._endsAwaitingExpiry.push(end.number);
    }
  }

  /** Fences an owner; the entry of the link becomes the owner of its runs. */
  private _adopt(link: ReportLink, owner: string): void {
    const successor = this._fenced.get(owner);
    if (successor !== link.incarnation) {
      this._log('entry fenced', {
        entry: owner,
        successor: link.incarnation,
        earlier: successor ?? '',
      });
      this._fenced.set(owner, link.incarnation);
    }
    this._starts.removeOwner(owner);
    for (const tracked of this._unsentStarts) {
      if (tracked.owner === owner) {
        this._unsentStarts.delete(tracked);
        this._refuse(tracked, StartRefusal.FENCED);
      }
    }
    this._stopVolatileRuns(owner);
    this._runs.reassign(owner, link.incarnation);
    link.adopted.push(owner);
  }

  /**
   * Stops the volatile runs of a fenced entry, which no successor continues, and
   * keeps their time limit: the successor's orders must not extend it.
   */
  private _stopVolatileRuns(owner: string): void {
    const stopLimitMs = this._ownerExpiryMs.get(owner) ?? 0;
    for (const tracked of this._runs.values()) {
      if (tracked.owner === owner && tracked.isVolatile) {
        tracked.stopLimitMs ??= stopLimitMs;
        if (tracked.phase !== RunPhase.Stopping) {
          this._sendStop(tracked);
        }
      }
    }
  }

  private _claim(owner: string, group: StartGroup): void {
    for (const { task, run } of group.runs) {
      if (this._runs.get({ task, run })?.owner === '') {
        this._runs.claim(
          { task, run },
          {
            owner,
            needs: group.needs ?? ZERO_ROOM,
            isVolatile: group.volatile,
            queue: group.queue,
          },
        );
      }
    }
  }

  /** Sends the start calls of this turn. */
  private _sendStarts(now: number): void {
    const begun: TrackedRun[] = [];
    for (const tracked of this._unsentStarts) {
      if (this._runs.get(tracked) !== tracked) {
        continue;
      }
      if (this._mayBegin && !this._isExpired(tracked.owner, now)) {
        this._sendStart(tracked, now);
        begun.push(tracked);
      } else {
        this._refuse(tracked, StartRefusal.NOT_READY);
      }
    }
    this._unsentStarts.clear();
    this._logOldStarts(begun, now);
  }

  /** Logs the starts of this turn that were held back, in one line. */
  private _logOldStarts(begun: readonly TrackedRun[], now: number): void {
    const clockMs = this._clock.lowerBound(now);
    const oldBelowMs = OLD_ORDER_LEFT_SHARE * this._limits.grantMs;
    const old: TrackedRun[] = [];
    for (const tracked of begun) {
      const { linkId, owner, orderLimitMs } = tracked;
      const limitLeftMs = Math.round(orderLimitMs - clockMs);
      const isNewestLink = this._links.isNewest(linkId, owner);
      tracked.origin = { linkId, isNewestLink, limitLeftMs };
      if (!isNewestLink || limitLeftMs < oldBelowMs) {
        old.push(tracked);
      }
    }
    const [first] = old;
    if (first) {
      const { task, run, owner, origin } = first;
      this._log('runs begun from an old order', {
        runs: old.length,
        task,
        run,
        owner,
        ...origin,
      });
    }
  }

  private _sendStart(tracked: TrackedRun, now: number): void {
    // A delayed start must not begin after its owner may have abandoned the
    // run.
    const untilMs = Math.min(
      this._clock.lowerBound(now) + this._limits.leaseMs,
      this._leaseLimitMs,
    );
    tracked.starts += 1;
    tracked.lastStartPoll = this._pollCount;
    this._openStarts.add(tracked, now);
    this._call({
      kind: 'start',
      id: this._worker?.id,
      token: this._token,
      task: tracked.task,
      run: tracked.run,
      spec: tracked.spec,
      checkpoint: tracked.checkpoint,
      untilMs: Math.floor(untilMs),
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Stops a run for an entry, which is its owner unless the order names one. */
  private _stopRun(
    stop: RunStop,
    { sender, stopLimitMs }: { sender: string; stopLimitMs: number },
    now: number,
  ): void {
    const { task, run } = stop;
    if (this._starts.isStale(stop, sender)) {
      return;
    }
    let tracked = this._runs.get(stop);
    if (this._starts.remove(stop, sender) && !tracked) {
      return;
    }
    if (tracked && !['', sender, stop.owner].includes(tracked.owner)) {
      // The sender waits for an answer about its own run of this number.
      this._starts.refuseWhenEnded(stop, sender);
      this._log('stop of a run of another entry ignored', {
        task,
        run,
        owner: tracked.owner,
        entry: sender,
      });
      return;
    }
    if (!tracked) {
      tracked = trackedRun(stop, {
        owner: sender,
        phase: RunPhase.Stopping,
        sinceMs: now,
      });
      this._runs.add(tracked);
    }
    if (tracked.isVolatile) {
      tracked.stopLimitMs ??= stopLimitMs;
    }
    this._sendStop(tracked);
  }

  private _sendStop(tracked: TrackedRun): void {
    if (this._unsentStarts.delete(tracked)) {
      this._refuse(tracked, StartRefusal.NO_ROOM);
      return;
    }
    tracked.phase = RunPhase.Stopping;
    tracked.stopSentAtMs ??= this._nowMs;
    tracked.stopRetryAtMs = this._nowMs + this._limits.stopRepeatDelayMs;
    this._stopRetries.add(tracked);
    this._call({
      kind: 'stop',
      id: this._worker?.id,
      token: this._token,
      task: tracked.task,
      run: tracked.run,
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  private _call(call: WorkerCall): number {
    const callId = this._nextCallId++;
    this._calls.set(callId, {
      call,
      workerIncarnation: this._workerIncarnation,
      pollNumber: this._pollCount,
      clockMs: this._clock.lowerBound(this._nowMs),
      leaseEndMs: call.kind === 'stop' ? 0 : (call.untilMs ?? 0),
    });
    this._actions.push({ kind: 'call', callId, call });
    return callId;
  }

  /** Sends the next poll to the worker if it is due. */
  private _pollIfDue(now: number): void {
    if (
      this._isStopped ||
      this._pollCallId !== undefined ||
      now < this._nextPollAtMs
    ) {
      return;
    }
    // While no worker is known, polling pauses after a failed poll until a
    // worker is announced.
    if (
      !this._worker &&
      this._workerBornMs === undefined &&
      this._pollCount > 0
    ) {
      if (this._unansweredSinceMs !== undefined) {
        return;
      }
    }
    const clockMs = this._clock.lastReadingMs;
    const limitMs = this._leaseLimitMs;
    const renews =
      clockMs !== undefined &&
      now - this._clock.lastReadingAtMs < RENEWAL_MAX_READING_AGE_MS &&
      !this._leaseSuspended &&
      !this._mayHaveRestarted &&
      !this._runs.hasUnclaimed &&
      this._clock.lowerBound(now) < limitMs &&
      !this._awaitLeaseExpiry(now);
    const untilMs = renews
      ? Math.floor(
          Math.min(this._clock.lowerBound(now) + this._limits.leaseMs, limitMs),
        )
      : undefined;
    const acknowledges = this._isAcknowledgementDue(now);
    this._pollCount += 1;
    this._lastPollAtMs = now;
    this._pollCallId = this._call({
      kind: 'hold',
      id: this._worker?.id,
      token: this._token,
      untilMs,
      ackedThrough: acknowledges ? this._ends.ackedThrough : 0,
      waitMs:
        clockMs === undefined ||
        this._mayHaveRestarted ||
        this._runs.former.size > 0 ||
        (acknowledges && this._stoppingSinceMs !== undefined)
          ? 0
          : this._limits.pollWaitMs,
      timeoutMs: this._pollTimeoutMs,
    });
    if (acknowledges) {
      // The next incarnation has ends only of starts that it has executed. Those
      // sent from now on make it reject this acknowledgement, should it be late.
      this._token += 1;
      this._acknowledgingPoll = this._pollCount;
    }
  }

  /**
   * Whether the next poll acknowledges ends. The next incarnation of the worker,
   * whose ends have the same numbers, would forget its own unread. The present one
   * has to have answered the last poll, and no start that was sent before may be
   * open: the next one could execute that start first.
   */
  private _isAcknowledgementDue(now: number): boolean {
    const { forgettable } = this._ends;
    const isProven =
      this._answeredPoll === this._pollCount &&
      this._answeredPoll > this._doubtedPoll;
    return (
      forgettable > 0 &&
      isProven &&
      !this._mayHaveRestarted &&
      (this._openStarts.openMs(now) === undefined ||
        forgettable >= MAX_WITHHELD_ENDS)
    );
  }

  /**
   * Lets the superseded ends be acknowledged once the lease has expired.
   *
   * @returns Whether the lease must not be renewed, so that it expires.
   */
  private _awaitLeaseExpiry(now: number): boolean {
    if (this._endsAwaitingExpiry.length === 0) {
      return false;
    }
    const canBeDelayed = now < this._unreliableUntilMs;
    if (this._clock.lowerBound(now) > this._runsExpiredAtMs(canBeDelayed)) {
      for (const number of this._endsAwaitingExpiry) {
        this._ends.markRecorded(number);
      }
      this._endsAwaitingExpiry = [];
      this._log('lease lapsed', { acknowledged: this._ends.ackedThrough });
      this._links.markAllDirty();
      return false;
    }
    const isDelayed =
      now - this._expiryRequestedAtMs < LEASE_EXPIRY_MAX_DELAY_MS;
    return this._runs.size === 0 || !isDelayed;
  }

  private _onReply(callId: number, reply: WorkerReply, now: number): void {
    const pending = this._calls.get(callId);
    this._calls.delete(callId);
    if (!pending) {
      return;
    }
    const isLatestPoll = callId === this._pollCallId;
    if (isLatestPoll) {
      this._pollCallId = undefined;
      this._nextPollAtMs = now;
    }
    if (
      pending.workerIncarnation !== this._workerIncarnation &&
      pending.workerIncarnation !== ''
    ) {
      return;
    }
    if (reply.kind !== 'unreachable') {
      this._leaseEndMs = Math.max(this._leaseEndMs, pending.leaseEndMs);
    }
    const isFenced =
      reply.kind === 'rejected' && reply.reason === WorkerRejection.Fenced;
    if (isFenced && pending.call.token === this._token) {
      this._token += TOKEN_STEP;
      this._log('fencing token raised', { token: this._token });
    }
    switch (pending.call.kind) {
      case 'hold':
        if (isFenced && pending.call.token < this._token) {
          // A later call of this process has overtaken the poll.
          return;
        }
        if (!isLatestPoll && !this._isFromOther(reply)) {
          // A later poll was sent without waiting for this one.
          return;
        }
        this._onPollReply(pending, reply, now);
        this._scheduleNextPoll(reply, now);
        return;
      case 'start':
        this._checkClock(pending, reply);
        this._onStartReply(pending.call, reply, now);
        return;
      case 'stop':
        this._onStopReply(pending.call, reply, now);
    }
  }

  /** Notices that another incarnation, whose clock has begun anew, has answered. */
  private _checkClock({ clockMs }: PendingCall, reply: WorkerReply): void {
    if (reply.kind === 'done' && reply.clockMs < Math.floor(clockMs)) {
      this._doubtedPoll = this._pollCount;
    }
  }

  /** Whether another incarnation than the present one has answered a poll. */
  private _isFromOther(reply: WorkerReply): boolean {
    return reply.kind === 'held' && reply.bornMs !== this._workerBornMs;
  }

  private _onPollReply(
    pending: PendingCall,
    reply: WorkerReply,
    now: number,
  ): void {
    if (reply.kind !== 'held') {
      this._onPollFailed(reply, now);
      return;
    }
    this._onAnsweredBy(reply, pending.pollNumber, now);
    this._answeredPoll = pending.pollNumber;
    if (this._unansweredSinceMs !== undefined) {
      this._log('worker answers again', {
        afterMs: Math.round(now - this._unansweredSinceMs),
      });
      this._unansweredSinceMs = undefined;
      this._lostRuns = [];
      this._isUnreachable = false;
      this._unreliableUntilMs = now + UNRELIABLE_PERIOD_MS;
      this._links.markAllDirty();
    }
    const isFirst = this._clock.lastReadingMs === undefined;
    if (isFirst) {
      // An earlier driver process may have renewed the lease just before.
      this._leaseEndMs = reply.clockMs + this._limits.maxLeaseMs;
      this._links.markAllDirty();
    }
    this._clock.observe(reply.clockMs, now);
    if (isFirst && this._worker) {
      this._actions.push({ kind: 'confirmed', worker: this._worker });
    }
    this._crashTime.onAnswer(now);
    this._handleListedEnds(reply.ends, now);
    this._addUnknownRuns(reply.active, !this._hasReachedWorker, now);
    this._hasReachedWorker = true;
    this._handleActiveRuns(reply.active, pending.pollNumber, now);
    this._stopExpiredRuns(reply.clockMs, now);
  }

  /**
   * @param reply - Reply to a poll, which tells the incarnation that has answered.
   * @param pollNumber - Number of the poll.
   */
  private _onAnsweredBy(
    reply: Extract<WorkerReply, { kind: 'held' }>,
    pollNumber: number,
    now: number,
  ): void {
    const { bornMs } = reply;
    if (this._workerBornMs === bornMs) {
      this._rejectCandidate(pollNumber, now);
      return;
    }
    if (this._workerBornMs !== undefined) {
      const listed = new Set([...reply.active, ...reply.ends].map(runKey));
      const mayBeginLate = (run: TrackedRun): boolean =>
        hasOpenStart(run) ||
        listed.has(runKey(run)) ||
        // The new incarnation, whose clock has begun anew, may have answered its
        // start after it had made this list.
        (pollNumber <= run.lastStartPoll &&
          run.lastStartClockMs <= reply.clockMs + this._pollTimeoutMs);
      this._discardIncarnation(GoneReason.Restarted, mayBeginLate, now);
    }
    this._worker = undefined;
    const candidate = this._candidate?.worker;
    if (candidate?.bornMs === bornMs) {
      this._useWorker(candidate);
    }
    this._workerBornMs = bornMs;
  }

  private _onPollFailed(reply: WorkerReply, now: number): void {
    this._isUnreachable = reply.kind === 'unreachable';
    this._crashTime.onFailure(this._failureOf(reply, now), now);
    if (this._unansweredSinceMs === undefined) {
      this._unansweredSinceMs = now;
      this._log('worker does not answer', {
        why: reasonOf(reply),
      });
      this._links.markAllDirty();
    }
    if (
      reply.kind === 'rejected' &&
      reply.reason === WorkerRejection.OtherIncarnation
    ) {
      // It rejects all calls that name the earlier one.
      this._discardIncarnation(GoneReason.OtherAnswers, () => false, now);
      this._worker = undefined;
    } else {
      this._replaceSilentWorker(now);
    }
  }

  /** Returns how a poll has failed, given its outcome. */
  private _failureOf(reply: WorkerReply, now: number): CallFailure {
    if (reply.kind === 'unreachable') {
      return CallFailure.Refused;
    }
    const isTimedOut =
      now - this._lastPollAtMs >= this._pollTimeoutMs - POLL_TIMEOUT_MARGIN_MS;
    return reply.kind === 'no-answer' && !isTimedOut
      ? CallFailure.Closed
      : CallFailure.Unanswered;
  }

  private _scheduleNextPoll(reply: WorkerReply, now: number): void {
    if (reply.kind !== 'held') {
      this._nextPollAtMs = now + POLL_RETRY_DELAY_MS;
      return;
    }
    // A start is usually answered before the next poll is due.
    const isWithheld =
      this._ends.forgettable > 0 &&
      (this._openStarts.openMs(now) ?? 0) > UNACKNOWLEDGED_POLL_INTERVAL_MS;
    const intervalMs =
      this._ends.hasUnacknowledged || isWithheld
        ? UNACKNOWLEDGED_POLL_INTERVAL_MS
        : MIN_POLL_INTERVAL_MS;
    this._nextPollAtMs = this._lastPollAtMs + intervalMs;
  }

  private _handleListedEnds(ends: readonly ListedEnd[], now: number): void {
    this._logForgottenEnds(ends);
    this._ends.observeList(ends.map(({ number }) => number));
    this._areAllEndsListed = ends.length < MAX_LISTED_ENDS;
    if (this._areAllEndsListed && !this._haveAllEndsBeenListed) {
      this._haveAllEndsBeenListed = true;
      this._links.markAllDirty();
    }
    for (const listed of ends) {
      const end: RunEnd = { ...listed, life: this._workerIncarnation };
      if (!this._ends.add(end, now)) {
        continue;
      }
      const tracked = this._runs.get(listed);
      if (tracked) {
        this._runs.delete(tracked);
        this._logStopped(tracked, end.kind, now);
        if (tracked.isVolatile && this._links.has(tracked.owner)) {
          this._ends.markRecorded(end.number);
        }
      }
      this._links.addEnd(tracked?.owner ?? '', end);
    }
  }

  /** Logs that the first list of an incarnation does not begin with its first end. */
  private _logForgottenEnds(ends: readonly ListedEnd[]): void {
    const [first] = ends;
    const isFirstList = this._hasReachedWorker && !this._haveAllEndsBeenListed;
    const isUnacknowledged = this._ends.ackedThrough === 0;
    if (first && first.number > 1 && isFirstList && isUnacknowledged) {
      this._log('ends of a new incarnation were forgotten unread', {
        life: this._workerIncarnation,
        first: first.number,
      });
    }
  }

  private _logStopped(tracked: TrackedRun, kind: EndKind, now: number): void {
    const { task, run, owner, origin, sinceMs, stopSentAtMs } = tracked;
    if (stopSentAtMs !== undefined) {
      this._log('stopped run ended', {
        task,
        run,
        owner,
        how: EndKind[kind],
        afterMs: Math.round(now - stopSentAtMs),
        activeMs: Math.round(stopSentAtMs - sinceMs),
        ...origin,
      });
    }
  }

  /**
   * Tracks the active runs that this process does not know. Those in the first
   * reply of the worker are inherited from an earlier driver process and wait
   * for a claim. Later ones are starts that were carried out after this process
   * had refused them; they are stopped.
   */
  private _addUnknownRuns(
    active: readonly ListedRun[],
    isInherited: boolean,
    now: number,
  ): void {
    for (const listed of active) {
      if (this._runs.get(listed)) {
        continue;
      }
      this._log('run found at the worker', {
        task: listed.task,
        run: listed.run,
        inherited: isInherited,
      });
      const found = trackedRun(listed, {
        checkpoint: listed.checkpoint,
        owner: '',
        phase: RunPhase.Active,
        starts: 1,
        answeredStarts: 1,
        hasBegun: true,
        isInherited,
        sinceMs: now,
      });
      this._runs.add(found);
      this._links.requestSnapshots();
      if (!isInherited) {
        this._sendStop(found);
      }
    }
  }

  private _handleActiveRuns(
    active: readonly ListedRun[],
    pollNumber: number,
    now: number,
  ): void {
    const seen = new Set<string>();
    for (const listed of active) {
      seen.add(runKey(listed));
      const tracked = this._runs.get(listed);
      if (tracked) {
        this._runs.confirmBegin(tracked);
        this._runs.confirmPresent(tracked);
        tracked.percent = listed.percent;
        tracked.latestCheckpoint = listed.checkpoint;
      }
    }
    if (!this._areAllEndsListed) {
      // The end of a run that is not active may be one of those not listed yet.
      return;
    }
    for (const tracked of [...this._runs.stopped]) {
      const { stoppedAtPoll } = tracked;
      const wasPolledSince =
        stoppedAtPoll !== undefined && pollNumber > stoppedAtPoll;
      if (wasPolledSince && !seen.has(runKey(tracked))) {
        // The run was stopped before it began: the worker lists it neither as
        // active nor among the ends. It may have begun in another incarnation.
        if (tracked.former) {
          this._loseRun(tracked, now);
        } else {
          this._refuse(tracked, StartRefusal.NO_ANSWER);
        }
      }
    }
  }

  /**
   * Stops the runs whose owner has not extended their time limit or that no
   * entry has claimed in time, and suspends the renewal of the lease while such
   * a run does not end.
   */
  private _stopExpiredRuns(clockMs: number, now: number): void {
    const expired = this._hasExpiredOwner(clockMs) ? this._runs.values() : [];
    let isOverdue = false;
    for (const tracked of expired) {
      const untilMs =
        tracked.owner === ''
          ? clockMs - (now - tracked.sinceMs) + claimGraceMs(tracked)
          : (this._ownerExpiryMs.get(tracked.owner) ?? 0);
      if (clockMs <= untilMs) {
        continue;
      }
      if (tracked.phase !== RunPhase.Stopping) {
        this._log('run stopped, its owner is silent', {
          task: tracked.task,
          run: tracked.run,
          owner: tracked.owner,
          overdueMs: Math.round(clockMs - untilMs),
        });
        this._sendStop(tracked);
      }
      isOverdue ||= clockMs > untilMs + this._limits.expiryGraceMs;
    }
    isOverdue ||= clockMs > this._stoppedLeaseLimitMs;
    if (isOverdue !== this._leaseSuspended) {
      this._leaseSuspended = isOverdue;
      this._log(isOverdue ? 'lease let go' : 'lease renewed again', {
        runs: this._runs.size,
      });
      this._links.markAllDirty();
    }
  }

  /** Whether a run may be past the time limit of its owner, or has no owner. */
  private _hasExpiredOwner(clockMs: number): boolean {
    for (const owner of this._runs.owners) {
      if (owner === '' || clockMs > (this._ownerExpiryMs.get(owner) ?? 0)) {
        return true;
      }
    }
    return false;
  }

  private _onStartReply(
    call: Extract<WorkerCall, { kind: 'start' }>,
    reply: WorkerReply,
    now: number,
  ): void {
    const tracked = this._runs.get(call);
    if (tracked) {
      this._countStartReply(tracked, reply);
    }
    if (tracked && reply.kind === 'done') {
      this._runs.confirmBegin(tracked);
    }
    if (tracked?.phase !== RunPhase.Starting) {
      return;
    }
    switch (reply.kind) {
      case 'done':
      case 'held':
        tracked.phase = RunPhase.Active;
        return;
      case 'rejected':
        this._onStartRejected(tracked, reply.reason, now);
        return;
      case 'no-answer':
      case 'unreachable':
        if (reply.kind === 'no-answer') {
          this._unreliableUntilMs = now + UNRELIABLE_PERIOD_MS;
        }
        this._log('start without an answer', {
          task: tracked.task,
          run: tracked.run,
          attempt: tracked.starts,
          why: reasonOf(reply),
        });
        if (
          tracked.starts < MAX_START_ATTEMPTS &&
          !this._isExpired(tracked.owner, now)
        ) {
          this._sendStart(tracked, now);
        } else {
          this._sendStop(tracked);
        }
    }
  }

  private _countStartReply(tracked: TrackedRun, reply: WorkerReply): void {
    switch (reply.kind) {
      case 'done':
      case 'held':
      case 'rejected':
        tracked.answeredStarts += 1;
        tracked.lastStartPoll = this._pollCount;
        tracked.lastStartClockMs = reply.clockMs ?? 0;
        return;
      case 'unreachable':
        tracked.undeliveredStarts += 1;
        return;
      case 'no-answer':
    }
  }

  private _onStartRejected(
    tracked: TrackedRun,
    reason: WorkerRejection,
    now: number,
  ): void {
    if (
      reason === WorkerRejection.Fenced &&
      !this._isExpired(tracked.owner, now)
    ) {
      this._sendStart(tracked, now);
      return;
    }
    if (tracked.starts > 1) {
      // An earlier start call may still be pending at the worker.
      this._sendStop(tracked);
      return;
    }
    this._refuse(tracked, REFUSALS[reason]);
  }

  private _onStopReply(
    call: Extract<WorkerCall, { kind: 'stop' }>,
    reply: WorkerReply,
    now: number,
  ): void {
    const tracked = this._runs.get(call);
    if (!tracked) {
      return;
    }
    switch (reply.kind) {
      case 'done':
      case 'held':
        this._runs.confirmStop(call, this._pollCount);
        this._stopRetries.delete(tracked);
        return;
      case 'no-answer':
        this._unreliableUntilMs = now + UNRELIABLE_PERIOD_MS;
        this._retryStopLater(tracked, now);
        return;
      case 'unreachable':
      case 'rejected':
        this._retryStopLater(tracked, now);
    }
  }

  private _retryStopLater(tracked: TrackedRun, now: number): void {
    if (this._stopRetries.has(tracked)) {
      const dueMs = tracked.stopRetryAtMs ?? Infinity;
      tracked.stopRetryAtMs = Math.min(dueMs, now + STOP_RETRY_DELAY_MS);
    }
  }

  private _retryStops(now: number): void {
    for (const tracked of [...this._stopRetries]) {
      if (this._runs.get(tracked) !== tracked) {
        this._stopRetries.delete(tracked);
      } else if (now >= (tracked.stopRetryAtMs ?? 0)) {
        if (this._mayRepeatStop(tracked)) {
          this._sendStop(tracked);
        } else {
          tracked.stopRetryAtMs = now + STOP_RETRY_DELAY_MS;
        }
      }
    }
  }

  private _mayRepeatStop({ task, run }: TrackedRun): boolean {
    const pending = [...this._calls.values()].flatMap(({ call }) =>
      call.kind === 'stop' ? [call] : [],
    );
    return (
      pending.length < MAX_PENDING_STOPS ||
      !pending.some((call) => call.task === task && call.run === run)
    );
  }

  private _refuse(tracked: TrackedRun, reason: StartRefusal): void {
    this._runs.delete(tracked);
    const { task, run, owner } = tracked;
    this._log('start refused', {
      task,
      run,
      owner,
      reason: StartRefusal[reason],
    });
    this._links.addRefusal(owner, task, run, reason);
  }

  private _endRun(
    tracked: TrackedRun,
    kind: EndKind,
    checkpoint: string,
    number: number,
  ): void {
    const { task, run } = tracked;
    this._runs.delete(tracked);
    const life = this._workerIncarnation;
    this._links.addEnd(tracked.owner, {
      task,
      run,
      kind,
      checkpoint,
      life,
      number,
    });
  }

  private _onTick(now: number): void {
    this._declareRunsLost(now);
    this._retryStops(now);
    if (now - this._unrecordedReportAtMs >= UNRECORDED_REPORT_INTERVAL_MS) {
      this._unrecordedReportAtMs = now;
      for (const end of this._ends.unrecordedListedBefore(
        now - UNRECORDED_REPORT_INTERVAL_MS,
      )) {
        this._links.addEnd('', end);
      }
    }
    if (this._stoppingSinceMs !== undefined && !this._isStopped) {
      if (this._isStopComplete(now - this._stoppingSinceMs)) {
        this._isStopped = true;
        this._actions.push({ kind: 'stopped' });
      }
    }
  }

  private _isStopComplete(stoppingMs: number): boolean {
    if (stoppingMs > DRAIN_TIMEOUT_MS) {
      return true;
    }
    if (this._runs.size > 0) {
      this._idleSinceMs = undefined;
      return false;
    }
    this._idleSinceMs ??= this._nowMs;
    const areEndsAcknowledged =
      this._areAllEndsListed &&
      !this._ends.hasUnacknowledged &&
      this._ends.forgettable === 0;
    const refusingMs = this._nowMs - (this._refusesSinceMs ?? this._nowMs);
    return (
      refusingMs >= MIN_STOP_MS &&
      (areEndsAcknowledged ||
        this._nowMs - this._idleSinceMs >= ACKNOWLEDGE_TIMEOUT_MS)
    );
  }

  /**
   * @param canBeDelayed - Whether the worker may carry out a call, and so extend
   *   the lease, long after the call has timed out.
   * @returns Time on the worker's clock by which all runs have expired.
   */
  private _runsExpiredAtMs(canBeDelayed: boolean): number {
    const delayMs = canBeDelayed ? DELAYED_CALL_LIMIT_MS : 0;
    const pendingEndsMs = [...this._calls.values()]
      .filter((call) => call.workerIncarnation === this._workerIncarnation)
      .map((call) => call.leaseEndMs);
    const leaseEndMs = Math.max(this._leaseEndMs, ...pendingEndsMs);
    return leaseEndMs + this._limits.stopMs + delayMs;
  }

  /**
   * Reports the runs of an unresponsive worker as lost once they have expired. A
   * worker that is silent may carry out calls late. If its process has ended, the
   * next one may do so for calls that the worker has not provably received.
   */
  private _declareRunsLost(now: number): void {
    for (const run of this._runs.former) {
      if (now > (run.former?.untilMs ?? Infinity)) {
        this._loseRun(run, now);
      }
    }
    if (this._unansweredSinceMs === undefined || this._runs.size === 0) {
      return;
    }
    const clockMs = this._clock.lowerBound(now);
    const areAllLost = clockMs > this._runsExpiredAtMs(true);
    const areArrivedLost =
      this._isUnreachable && clockMs > this._runsExpiredAtMs(false);
    const lost = this._runs
      .values()
      .filter((run) => areAllLost || (areArrivedLost && !hasOpenStart(run)));
    if (lost.length > 0) {
      this._log('runs lapsed at a silent worker', {
        runs: lost.length,
        unreachable: this._isUnreachable,
        silentMs: Math.round(now - this._unansweredSinceMs),
      });
      if (this._isUnreachable) {
        this._recordCrash(lost, 'connection refused', now);
      } else {
        this._lostRuns.push(...lost);
      }
      for (const tracked of lost) {
        this._loseRun(tracked, now);
      }
    }
  }

  /** Reports a run that has ended with its worker, or has never begun. */
  private _loseRun(run: TrackedRun, now: number): void {
    const crash = run.former?.crash;
    if (crash) {
      const { life, runs } = crash;
      this._links.addCrash(this._crashes.add(life, runs, now));
    }
    this._endRun(run, EndKind.LOST, run.latestCheckpoint, 0);
  }

  private _flush(now: number): void {
    this._sendStarts(now);
    if (!this._links.isFlushDue(now)) {
      return;
    }
    const workerState: WorkerState = {
      clockMs: this._clock.lowerBound(now),
      accepting: this._isAccepting,
      free: this._starts.reportedFree,
      capacity: this._worker?.capacity ?? ZERO_ROOM,
      hello: this._worker && this._hello(this._worker),
      crashes: () => this._crashes.recent(now),
      unconfirmed: (owner) => [
        ...this._runs.unconfirmedOf(owner),
        ...this._starts.queuedOf(owner),
      ],
      mayActLate:
        this._unansweredSinceMs !== undefined || now < this._unreliableUntilMs,
      snapshot:
        this._clock.lastReadingMs === undefined
          ? undefined
          : () => ({
              active: this._runs.list(),
              ends: this._ends.unrecorded,
              isComplete: this._haveAllEndsBeenListed,
            }),
    };
    for (const { linkId, report } of this._links.flush(workerState, now)) {
      this._actions.push({ kind: 'report', linkId, report });
    }
  }

  private _hello(worker: WorkerHeartbeat): WorkerHello {
    return {
      worker: this._options.name,
      incarnation: this._options.incarnation,
      dataCentre: worker.dataCentre,
      service: worker.service,
      life: this._workerIncarnation,
      labels: [...worker.labels],
      capacity: worker.capacity,
    };
  }

  private _log(
    message: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this._actions.push({ kind: 'log', message, fields });
  }
}

/** Whether the run may have begun: not all start calls provably missed the worker. */
const mayHaveBegun = ({ starts, undeliveredStarts }: TrackedRun): boolean =>
  starts > undeliveredStarts;

/** Returns a run that may have been active when its worker crashed. */
const toCrashedRun = (
  { task, run, queue, isVolatile, hasBegun, sinceMs }: TrackedRun,
  { earliestMs, latestMs }: CrashBounds,
): CrashedRun => {
  const activeMs = Math.max(0, Math.round(latestMs - sinceMs));
  const leastMs = Math.max(0, Math.round(earliestMs - sinceMs));
  return {
    task,
    run,
    queue: isVolatile ? queue : '',
    activeMs,
    uncertaintyMs: hasBegun
      ? activeMs - Math.min(activeMs, leastMs)
      : activeMs + 1,
  };
};
