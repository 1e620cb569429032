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

/** Fault that a worker shows. */
export enum WorkerMode {
  Healthy = 'healthy',
  /** Executes about half of its calls after a delay and does not answer them. */
  Late = 'late',
  /** Like `Late`, and extends the granted lease by the delay. */
  LateGrants = 'late-grants',
  /** Executes calls and loses about half of the answers. */
  LosingAnswers = 'losing-answers',
  /** Fails every run. */
  Failing = 'failing',
  /** Runs stall and do not end on their own. */
  Hanging = 'hanging',
  /** Neither answers nor executes calls. */
  Silent = 'silent',
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
  /** Receives heartbeats; returns whether they were acknowledged. */
  readonly onHeartbeat: (worker: WorkerHeartbeat) => boolean;
  /** Receives the id of a worker that has drained and leaves. */
  readonly onLeave: (id: string) => void;
}

/** A run that the worker executes. */
interface Active {
  readonly task: string;
  readonly run: number;
  /** Unique for each start, so that timers of an earlier start have no effect. */
  readonly mark: object;
}

/** A hold call that waits for an end. */
interface Waiter {
  readonly answer: () => void;
  isOpen: boolean;
}

const HEARTBEAT_MS = 1500;
const MAX_LEASE_MS = 1000;
const STOP_MS = 30;
const ANSWER_MS = 1;
const LATE_SHARE = 0.5;
const MAX_LATE_MS = 3000;
const DRAIN_MS = 2500;
/** Capacity of each simulated worker. */
export const WORKER_ROOM: Room = {
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
  private readonly _options: SimWorkerOptions;
  private readonly _active = new Map<string, Active>();
  /** Highest run number of each task that has ended or was stopped. */
  private readonly _lowestRun = new Map<string, number>();
  private readonly _waiters = new Set<Waiter>();
  private _life = 0;
  private _bornMs = 0;
  private _isUp = false;
  private _isDraining = false;
  private _sequence = 0;
  private _ends: ListedEnd[] = [];
  private _nextEnd = 1;
  private _ackedThrough = 0;
  private _token = 0;
  private _leaseUntilMs = 0;

  /** @param options - Names, virtual time, oracle, randomness and receivers. */
  constructor(options: SimWorkerOptions) {
    this._options = options;
    this.boot();
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
    this._life += 1;
    this._isUp = true;
    this._isDraining = false;
    this._bornMs = this._options.queue.nowMs;
    this._sequence = 0;
    this._ends = [];
    this._nextEnd = 1;
    this._ackedThrough = 0;
    this._token = 0;
    this._leaseUntilMs = 0;
    this._lowestRun.clear();
    const life = this._life;
    this._options.queue.after(0, () => {
      this._beatFor(life);
    });
  }

  /** Ends all runs at once without a report to the driver process. */
  crash(): void {
    this._isUp = false;
    for (const { task, run } of this._active.values()) {
      this._options.oracle.onEnd(this._place, task, run, EndKind.LOST);
    }
    this._active.clear();
    this._options.oracle.onCrash(this._place);
    for (const waiter of this._waiters) {
      waiter.isOpen = false;
    }
    this._waiters.clear();
  }

  /** Begins a planned leave: drains, then reports the leave and ends. */
  drain(): void {
    if (!this._isUp || this._isDraining) {
      return;
    }
    this._isDraining = true;
    const life = this._life;
    this._beat();
    this._options.queue.after(DRAIN_MS, () => {
      if (this._life === life && this._isUp) {
        this._options.onLeave(this._id);
        this.crash();
      }
    });
  }

  /**
   * Executes a call of the worker driver process.
   *
   * @param call - The call.
   * @param onReply - Receives the answer, or `no-answer` after the call's timeout.
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
      queue.after(ANSWER_MS, () => {
        reply({ kind: 'no-answer', detail: 'no connection' });
      });
      return;
    }
    queue.after(call.timeoutMs, () => {
      reply({ kind: 'no-answer', detail: 'timed out' });
    });
    if (this.mode === WorkerMode.Silent) {
      return;
    }
    const isOdd = random() < LATE_SHARE;
    const isShifted = this.mode === WorkerMode.LateGrants;
    const isLate = (isShifted || this.mode === WorkerMode.Late) && isOdd;
    const isLost = this.mode === WorkerMode.LosingAnswers && isOdd;
    const delayMs = isLate ? random() * MAX_LATE_MS : ANSWER_MS * random();
    const life = this._life;
    const sentAtMs = this._clockMs;
    queue.after(delayMs, () => {
      if (this._life !== life || !this._isUp) {
        return;
      }
      const shiftMs = isShifted ? this._clockMs - sentAtMs : 0;
      this._carryOut(shifted(call, shiftMs), isLate, (answer) => {
        if (!isLate && !isLost) {
          queue.after(ANSWER_MS * random(), () => {
            reply(answer);
          });
        }
      });
    });
  }

  private get _id(): string {
    return `${this._options.vm}-${String(this._life)}`;
  }

  private get _place(): string {
    return this._options.vm;
  }

  private get _clockMs(): number {
    const { queue, clockRate } = this._options;
    return (queue.nowMs - this._bornMs) * clockRate + 1;
  }

  private _carryOut(
    call: WorkerCall,
    isLate: boolean,
    reply: (answer: WorkerReply) => void,
  ): void {
    if (call.id !== undefined && call.id !== this._id) {
      this._reject(reply, WorkerRejection.OtherLife);
      return;
    }
    if (call.token < this._token) {
      this._reject(reply, WorkerRejection.Fenced);
      return;
    }
    this._token = call.token;
    switch (call.kind) {
      case 'start':
        this._start(call, isLate, reply);
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
    isLate: boolean,
    reply: (answer: WorkerReply) => void,
  ): void {
    const { task, run, spec, untilMs } = call;
    const { oracle, queue } = this._options;
    if (this._active.get(task)?.run === run) {
      reply({ kind: 'done', clockMs: this._clockMs });
      return;
    }
    if (run <= (this._lowestRun.get(task) ?? 0) || this._active.has(task)) {
      this._extend(untilMs);
      this._reject(reply, WorkerRejection.StaleRun);
      return;
    }
    if (untilMs <= this._clockMs) {
      this._reject(reply, WorkerRejection.Expired);
      return;
    }
    this._extend(untilMs);
    const active: Active = { task, run, mark: {} };
    this._active.set(task, active);
    const { dataCentre, service, labels } = this._options;
    const place = { vm: this._place, dataCentre, service, labels };
    oracle.onStart({ place, task, run, spec, isLate });
    const isFailing = this.mode === WorkerMode.Failing;
    if (this.mode !== WorkerMode.Hanging) {
      queue.after(isFailing ? 1 : Number(spec), () => {
        if (this._active.get(task)?.mark === active.mark) {
          this._end(active, isFailing ? EndKind.FAILED : EndKind.DONE);
        }
      });
    }
    reply({ kind: 'done', clockMs: this._clockMs });
  }

  private _stop(task: string, run: number): void {
    const active = this._active.get(task);
    this._lowestRun.set(task, Math.max(run, this._lowestRun.get(task) ?? 0));
    if (active && active.run <= run) {
      this._options.queue.after(STOP_MS, () => {
        if (this._active.get(task)?.mark === active.mark) {
          this._end(active, EndKind.STOPPED);
        }
      });
    }
  }

  private _hold(
    call: Extract<WorkerCall, { kind: 'hold' }>,
    reply: (answer: WorkerReply) => void,
  ): void {
    for (const end of this._ends) {
      if (end.number <= call.ackedThrough) {
        this._options.oracle.onAcknowledged(this._place, end.task, end.run);
      }
    }
    this._ackedThrough = Math.max(this._ackedThrough, call.ackedThrough);
    this._ends = this._ends.filter((end) => end.number > this._ackedThrough);
    if (call.untilMs !== undefined) {
      this._extend(call.untilMs);
    }
    const waiter: Waiter = {
      isOpen: true,
      answer: () => {
        if (!waiter.isOpen) {
          return;
        }
        waiter.isOpen = false;
        this._waiters.delete(waiter);
        reply({
          kind: 'held',
          clockMs: this._clockMs,
          bornMs: this._bornMs,
          active: [...this._active.values()].map(({ task, run }) => ({
            task,
            run,
            checkpoint: '',
            percent: 100,
          })),
          ends: [...this._ends],
        });
      },
    };
    if (this._ends.length > 0 || call.waitMs === 0) {
      waiter.answer();
      return;
    }
    this._waiters.add(waiter);
    this._options.queue.after(call.waitMs, () => {
      waiter.answer();
    });
  }

  private _extend(untilMs: number): void {
    const until = Math.min(untilMs, this._clockMs + MAX_LEASE_MS);
    if (until <= this._leaseUntilMs) {
      return;
    }
    this._leaseUntilMs = until;
    const { queue, clockRate } = this._options;
    const life = this._life;
    queue.after((until - this._clockMs) / clockRate, () => {
      if (this._life === life && this._leaseUntilMs === until) {
        this._lapse();
      }
    });
  }

  private _lapse(): void {
    if (!this._isUp) {
      return;
    }
    this._options.oracle.onLapsed(this._place);
    for (const active of [...this._active.values()]) {
      this._end(active, EndKind.LAPSED);
    }
  }

  private _end(active: Active, kind: EndKind): void {
    const { task, run } = active;
    this._active.delete(task);
    this._lowestRun.set(task, Math.max(run, this._lowestRun.get(task) ?? 0));
    const number = this._nextEnd;
    this._nextEnd += 1;
    this._ends.push({ number, task, run, kind, checkpoint: '' });
    this._options.oracle.onEnd(this._place, task, run, kind);
    for (const waiter of [...this._waiters]) {
      waiter.answer();
    }
  }

  private _beatFor(life: number): void {
    if (this._life !== life || !this._isUp) {
      return;
    }
    this._beat();
    this._options.queue.after(HEARTBEAT_MS, () => {
      this._beatFor(life);
    });
  }

  private _beat(): void {
    const { service, dataCentre, labels, onHeartbeat, oracle } = this._options;
    this._sequence += 1;
    const isAcknowledged = onHeartbeat({
      id: this._id,
      bornMs: this._bornMs,
      sequence: this._sequence,
      service,
      dataCentre,
      accepting: !this._isDraining,
      capacity: WORKER_ROOM,
      labels,
    });
    if (this._isDraining && isAcknowledged) {
      oracle.onDraining(this._place);
    }
  }
}

const shifted = (call: WorkerCall, ms: number): WorkerCall =>
  call.kind === 'stop' || call.untilMs === undefined
    ? call
    : { ...call, untilMs: call.untilMs + ms };
