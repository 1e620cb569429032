import { EndKind, WorkerRejection } from '@sapphiremux/core';
import type {
  ListedEnd,
  Room,
  WorkerCall,
  WorkerHeartbeat,
  WorkerReply,
} from '@sapphiremux/core';
import type { EventQueue } from '../sim/event-queue.js';
import type { FleetOracle } from './fleet-oracle.js';
import { isDeadly, runMsOf } from './sim-spec.js';

/** Fault that is injected into a simulated worker. */
export enum WorkerMode {
  Healthy = 'healthy',
  /** Executes about half of its calls after a delay and does not reply to them. */
  Late = 'late',
  /**
   * Like `Late`, but the granted lease is counted from the arrival of the call
   * rather than from its sending.
   */
  LateGrants = 'late-grants',
  /** Executes calls and loses about half of the replies. */
  LosingReplies = 'losing-answers',
  /** Fails every run. */
  Failing = 'failing',
  /** Runs stall and do not end on their own. */
  Hanging = 'hanging',
  /** Neither executes stops nor replies to them. */
  IgnoringStops = 'ignoring-stops',
  /** Neither replies to calls nor executes them. */
  Unresponsive = 'silent',
}

/** A moment of a run at which a fault can begin. */
export enum RunMoment {
  /** The driver process sends the start to the worker. */
  Sent = 'sent',
  Started = 'started',
  /** It has ended by itself or was stopped. */
  Ended = 'ended',
}

/** Options of {@link SimWorker}. */
export interface SimWorkerOptions {
  readonly vm: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly labels: readonly string[];
  readonly queue: EventQueue;
  readonly oracle: FleetOracle;
  /** Uniform random numbers from 0 to 1. */
  readonly random: () => number;
  /** Rate of the worker's clock relative to virtual time; at most 2% slow. */
  readonly clockRate: number;
  /**
   * Whether each incarnation has the id of the one before, so that it executes
   * calls that were sent to that one.
   */
  readonly keepsId: boolean;
  /**
   * @returns Time from the start of a later incarnation to its first heartbeat, in
   *   milliseconds.
   */
  readonly firstHeartbeatMs: () => number;
  /** Receives heartbeats; returns whether they were acknowledged. */
  readonly onHeartbeat: (worker: WorkerHeartbeat) => boolean;
  /** Receives the task of each run that starts or ends. */
  readonly onRun: (
    moment: RunMoment.Started | RunMoment.Ended,
    task: string,
  ) => void;
  /** Receives the id of a worker that has drained and leaves. */
  readonly onLeave: (id: string) => void;
}

/** A run that the worker executes. */
interface ActiveSimRun {
  readonly task: string;
  readonly run: number;
  /** Unique for each start, so that timers of an earlier start have no effect. */
  readonly startToken: object;
  /** Whether the run doesn't end on its own. */
  isHanging: boolean;
}

/** A `hold` call, which is a poll of the driver process, that waits for an end. */
interface PendingHold {
  readonly answer: () => void;
  isOpen: boolean;
}

/** Interval between two heartbeats of a worker. */
export const HEARTBEAT_MS = 1500;
/** Maximum duration of a lease; longer grants are shortened to it. */
const MAX_LEASE_MS = 1000;
/** Time from the start of a deadly task until it crashes its worker. */
const DEADLY_DELAY_MS = 10;
/** Time from such a crash until the next incarnation of the worker is up. */
const CRASH_RESTART_MS = 3000;
/** Ends that a worker lists at a time; the others follow once these are acknowledged. */
const MAX_LISTED_ENDS = 500;
/** Time that a run takes to stop. */
const STOP_DURATION_MS = 30;
/**
 * Maximum time from the start of an incarnation until a call is executed that has
 * arrived while the worker was down.
 */
const MAX_HELD_MS = 2000;
/** Maximum latency of a call, and of its reply, when no fault affects it. */
const MAX_TRANSIT_MS = 1;
/** Share of the calls that the late and reply-losing modes affect. */
const AFFECTED_CALL_RATE = 0.5;
/**
 * Maximum delay of an affected call in the late modes. Workers of the platform
 * carry out late calls within this time.
 */
const MAX_DELAY_MS = 12_000;
/**
 * Longer than the time after which a draining worker may receive no more starts,
 * so that the oracle notices later ones.
 */
export const DRAIN_DURATION_MS = 2500;
/** Capacity of each simulated worker that was not resized. */
export const WORKER_CAPACITY: Room = {
  cpuMilli: 4000,
  memoryMb: 8192,
  accelerators: 0,
};

/**
 * A simulated worker: executes runs under a lease in virtual time, lists their
 * ends until they are acknowledged and shows the injected fault. It reports
 * starts and ends to the oracle.
 */
export class SimWorker {
  mode = WorkerMode.Healthy;
  private _capacity = WORKER_CAPACITY;
  private readonly _options: SimWorkerOptions;
  private readonly _activeRuns = new Map<string, ActiveSimRun>();
  /** Highest run number of each task that has ended or was stopped. */
  private readonly _highestClosedRun = new Map<string, number>();
  private readonly _pendingHolds = new Set<PendingHold>();
  /** Calls that have arrived while the worker was down. */
  private _heldCalls: (() => void)[] = [];
  private _incarnation = 0;
  private _bootedAtMs = 0;
  private _isUp = false;
  private _isDraining = false;
  private _sequence = 0;
  private _listedEnds: ListedEnd[] = [];
  private _nextEndNumber = 1;
  private _ackedThrough = 0;
  private _fencingToken = 0;
  private _leaseUntilMs = 0;

  /** @param options - Names, virtual time, oracle, randomness and receivers. */
  constructor(options: SimWorkerOptions) {
    this._options = options;
    this.boot();
  }

  /** Name of the VM, which is also a label of the worker. */
  get vm(): string {
    return this._vm;
  }

  get service(): string {
    return this._options.service;
  }

  /** Whether the worker is up and accepts new runs. */
  get isAccepting(): boolean {
    return this._isUp && !this._isDraining;
  }

  /** Starts a new incarnation without state of earlier ones, unless it is up. */
  boot(): void {
    if (this._isUp) {
      return;
    }
    this._incarnation += 1;
    this._isUp = true;
    this._isDraining = false;
    this._bootedAtMs = this._options.queue.nowMs;
    this._sequence = 0;
    this._listedEnds = [];
    this._nextEndNumber = 1;
    this._ackedThrough = 0;
    this._fencingToken = 0;
    this._leaseUntilMs = 0;
    this._highestClosedRun.clear();
    const { firstHeartbeatMs, queue, random } = this._options;
    for (const execute of this._heldCalls.splice(0)) {
      queue.after(random() * MAX_HELD_MS, execute);
    }
    const incarnation = this._incarnation;
    queue.after(incarnation === 1 ? 0 : firstHeartbeatMs(), () => {
      this._sendHeartbeats(incarnation);
    });
  }

  /** Ends all runs at once without a report to the driver process. */
  crash(): void {
    this._end(true);
  }

  private _crashAndRestart(): void {
    this.crash();
    this._options.queue.after(CRASH_RESTART_MS, () => {
      this.boot();
    });
  }

  private _end(isCrash: boolean): void {
    this._isUp = false;
    for (const { task, run } of this._activeRuns.values()) {
      this._options.oracle.onLost(this._vm, task, run, isCrash);
    }
    this._activeRuns.clear();
    this._options.oracle.onGone(this._vm);
    for (const pendingHold of this._pendingHolds) {
      pendingHold.isOpen = false;
    }
    this._pendingHolds.clear();
  }

  /**
   * Changes the capacity; the next heartbeat reports it.
   *
   * @param share - Share of {@link WORKER_CAPACITY}.
   */
  resize(share: number): void {
    const cpuMilli = WORKER_CAPACITY.cpuMilli * share;
    this._capacity = { ...WORKER_CAPACITY, cpuMilli };
    this._options.oracle.onCapacity(this._vm, cpuMilli);
  }

  /** Lets the active run of a task fail, if there is one. */
  fail(task: string): void {
    const active = this._activeRuns.get(task);
    if (active) {
      this._endRun(active, EndKind.FAILED);
    }
  }

  /** Lets the active run of a task, if there is one, go on until it is stopped. */
  hang(task: string): void {
    const active = this._activeRuns.get(task);
    if (active) {
      active.isHanging = true;
    }
  }

  /** Begins a planned leave: drains, then reports the leave and ends. */
  drain(): void {
    if (!this._isUp || this._isDraining) {
      return;
    }
    this._isDraining = true;
    const incarnation = this._incarnation;
    this._sendHeartbeat();
    this._options.queue.after(DRAIN_DURATION_MS, () => {
      if (this._incarnation === incarnation && this._isUp) {
        this._options.onLeave(this._id);
        this._end(false);
      }
    });
  }

  /**
   * Executes a call of the worker driver process.
   *
   * @param call - The call.
   * @param onReply - Receives the reply, or `no-answer` after the timeout.
   */
  call(call: WorkerCall, onReply: (reply: WorkerReply) => void): void {
    const { queue, random } = this._options;
    let isOpen = true;
    const reply = (answer: WorkerReply): void => {
      if (isOpen) {
        isOpen = false;
        onReply(answer);
      }
    };
    if (!this._isUp) {
      queue.after(MAX_TRANSIT_MS, () => {
        reply({ kind: 'unreachable' });
      });
      return;
    }
    queue.after(call.timeoutMs, () => {
      reply({ kind: 'no-answer', detail: 'timed out' });
    });
    const isIgnored =
      this.mode === WorkerMode.IgnoringStops && call.kind === 'stop';
    if (this.mode === WorkerMode.Unresponsive || isIgnored) {
      return;
    }
    const isAffected = random() < AFFECTED_CALL_RATE;
    const shiftsGrants = this.mode === WorkerMode.LateGrants;
    const isDelayed =
      (shiftsGrants || this.mode === WorkerMode.Late) && isAffected;
    const isLost = this.mode === WorkerMode.LosingReplies && isAffected;
    const delayMs = isDelayed
      ? random() * MAX_DELAY_MS
      : MAX_TRANSIT_MS * random();
    const sentAtMs = this._clockMs;
    const execute = (): void => {
      if (!this._isUp) {
        this._heldCalls.push(execute);
        return;
      }
      const shiftMs = shiftsGrants ? this._clockMs - sentAtMs : 0;
      this._executeCall(shiftGrant(call, shiftMs), isDelayed, (answer) => {
        if (!isDelayed && !isLost) {
          queue.after(MAX_TRANSIT_MS * random(), () => {
            reply(answer);
          });
        }
      });
    };
    queue.after(delayMs, execute);
  }

  private get _id(): string {
    const { vm, keepsId } = this._options;
    return keepsId ? vm : `${vm}-${String(this._incarnation)}`;
  }

  private get _vm(): string {
    return this._options.vm;
  }

  private get _clockMs(): number {
    const { queue, clockRate } = this._options;
    return (queue.nowMs - this._bootedAtMs) * clockRate + 1;
  }

  private _executeCall(
    call: WorkerCall,
    isDelayed: boolean,
    reply: (answer: WorkerReply) => void,
  ): void {
    if (call.id !== undefined && call.id !== this._id) {
      this._reject(reply, WorkerRejection.OtherIncarnation);
      return;
    }
    if (call.token < this._fencingToken) {
      this._reject(reply, WorkerRejection.Fenced);
      return;
    }
    this._fencingToken = call.token;
    switch (call.kind) {
      case 'start':
        this._start(call, isDelayed, reply);
        return;
      case 'stop':
        this._stop(call.task, call.run);
        reply({ kind: 'done', clockMs: this._clockMs });
        return;
      case 'hold':
        this._hold(call, reply);
    }
  }

  private _reject(
    reply: (answer: WorkerReply) => void,
    reason: WorkerRejection,
  ): void {
    reply({ kind: 'rejected', reason, clockMs: this._clockMs });
  }

  private _start(
    call: Extract<WorkerCall, { kind: 'start' }>,
    isDelayed: boolean,
    reply: (answer: WorkerReply) => void,
  ): void {
    const { task, run, spec, untilMs } = call;
    const { oracle, queue } = this._options;
    if (this._activeRuns.get(task)?.run === run) {
      reply({ kind: 'done', clockMs: this._clockMs });
      return;
    }
    if (
      run <= (this._highestClosedRun.get(task) ?? 0) ||
      this._activeRuns.has(task)
    ) {
      this._extendLease(untilMs);
      this._reject(reply, WorkerRejection.StaleRun);
      return;
    }
    if (untilMs <= this._clockMs) {
      this._reject(reply, WorkerRejection.Expired);
      return;
    }
    this._extendLease(untilMs);
    const active: ActiveSimRun = {
      task,
      run,
      startToken: {},
      isHanging: false,
    };
    this._activeRuns.set(task, active);
    const { dataCentre, service, labels } = this._options;
    const placement = { vm: this._vm, dataCentre, service, labels };
    oracle.onStart({ placement, task, run, spec, isDelayed });
    this._options.onRun(RunMoment.Started, task);
    const whileActive = (ms: number, then: () => void): void => {
      queue.after(ms, () => {
        if (this._activeRuns.get(task)?.startToken === active.startToken) {
          then();
        }
      });
    };
    const isFailing = this.mode === WorkerMode.Failing;
    if (isDeadly(spec, task)) {
      whileActive(DEADLY_DELAY_MS, () => {
        this._crashAndRestart();
      });
    } else if (this.mode !== WorkerMode.Hanging) {
      whileActive(isFailing ? 1 : runMsOf(spec), () => {
        if (!active.isHanging) {
          this._endRun(active, isFailing ? EndKind.FAILED : EndKind.DONE);
        }
      });
    }
    reply({ kind: 'done', clockMs: this._clockMs });
  }

  private _stop(task: string, run: number): void {
    const active = this._activeRuns.get(task);
    this._highestClosedRun.set(
      task,
      Math.max(run, this._highestClosedRun.get(task) ?? 0),
    );
    if (active && active.run <= run) {
      this._options.queue.after(STOP_DURATION_MS, () => {
        if (this._activeRuns.get(task)?.startToken === active.startToken) {
          this._endRun(active, EndKind.STOPPED);
        }
      });
    }
  }

  private _hold(
    call: Extract<WorkerCall, { kind: 'hold' }>,
    reply: (answer: WorkerReply) => void,
  ): void {
    for (const end of this._listedEnds) {
      if (end.number <= call.ackedThrough) {
        this._options.oracle.onAcknowledged(this._vm, end.task, end.run);
      }
    }
    this._ackedThrough = Math.max(this._ackedThrough, call.ackedThrough);
    this._listedEnds = this._listedEnds.filter(
      (end) => end.number > this._ackedThrough,
    );
    if (call.untilMs !== undefined) {
      this._extendLease(call.untilMs);
    }
    const pendingHold: PendingHold = {
      isOpen: true,
      answer: () => {
        if (!pendingHold.isOpen) {
          return;
        }
        pendingHold.isOpen = false;
        this._pendingHolds.delete(pendingHold);
        reply({
          kind: 'held',
          clockMs: this._clockMs,
          bornMs: this._bootedAtMs,
          active: [...this._activeRuns.values()].map(({ task, run }) => ({
            task,
            run,
            checkpoint: '',
            percent: 100,
          })),
          ends: this._listedEnds.slice(0, MAX_LISTED_ENDS),
        });
      },
    };
    if (this._listedEnds.length > 0 || call.waitMs === 0) {
      pendingHold.answer();
      return;
    }
    this._pendingHolds.add(pendingHold);
    this._options.queue.after(call.waitMs, () => {
      pendingHold.answer();
    });
  }

  private _extendLease(untilMs: number): void {
    const until = Math.min(untilMs, this._clockMs + MAX_LEASE_MS);
    if (until <= this._leaseUntilMs) {
      return;
    }
    this._leaseUntilMs = until;
    const { queue, clockRate } = this._options;
    const incarnation = this._incarnation;
    queue.after((until - this._clockMs) / clockRate, () => {
      if (this._incarnation === incarnation && this._leaseUntilMs === until) {
        this._expireLease();
      }
    });
  }

  private _expireLease(): void {
    if (!this._isUp) {
      return;
    }
    this._options.oracle.onLeaseExpired(this._vm);
    for (const active of [...this._activeRuns.values()]) {
      this._endRun(active, EndKind.LAPSED);
    }
  }

  private _endRun(active: ActiveSimRun, kind: EndKind): void {
    const { task, run } = active;
    this._activeRuns.delete(task);
    this._highestClosedRun.set(
      task,
      Math.max(run, this._highestClosedRun.get(task) ?? 0),
    );
    const number = this._nextEndNumber;
    this._nextEndNumber += 1;
    this._listedEnds.push({ number, task, run, kind, checkpoint: '' });
    this._options.oracle.onEnd(this._vm, task, run, kind);
    this._options.onRun(RunMoment.Ended, task);
    for (const pendingHold of [...this._pendingHolds]) {
      pendingHold.answer();
    }
  }

  private _sendHeartbeats(incarnation: number): void {
    if (this._incarnation !== incarnation || !this._isUp) {
      return;
    }
    this._sendHeartbeat();
    this._options.queue.after(HEARTBEAT_MS, () => {
      this._sendHeartbeats(incarnation);
    });
  }

  private _sendHeartbeat(): void {
    const { service, dataCentre, labels, onHeartbeat, oracle } = this._options;
    this._sequence += 1;
    const isAcknowledged = onHeartbeat({
      id: this._id,
      bornMs: this._bootedAtMs,
      sequence: this._sequence,
      service,
      dataCentre,
      accepting: !this._isDraining,
      capacity: this._capacity,
      labels,
    });
    if (this._isDraining && isAcknowledged) {
      oracle.onDrainAcknowledged(this._vm);
    }
  }
}

/** Moves the lease end that a call grants. */
const shiftGrant = (call: WorkerCall, ms: number): WorkerCall =>
  call.kind === 'stop' || call.untilMs === undefined
    ? call
    : { ...call, untilMs: call.untilMs + ms };
