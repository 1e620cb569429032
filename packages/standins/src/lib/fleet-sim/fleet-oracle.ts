import { BatchState, EndKind, jobIdOf } from '@sapphiremux/core';
import type { BatchContent, BatchReply, Room } from '@sapphiremux/core';
import type { Violation } from '../sim/oracle.js';
import type { StopEnd } from './sim-batch-entry.js';
import { isDeadly } from './sim-spec.js';

/** The worker on which a run starts. */
export interface Placement {
  readonly vm: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly labels: readonly string[];
}

/** A run that a worker has started. */
export interface ObservedStart {
  readonly placement: Placement;
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** Whether the worker executed the start order after an injected delay. */
  readonly isDelayed: boolean;
}

/** Options of {@link FleetOracle}. */
export interface FleetOracleOptions {
  /** Capacity of each worker that was not resized. */
  readonly workerCapacity: Room;
  /** Interval between two heartbeats of a worker, which report its capacity. */
  readonly heartbeatMs: number;
  /** Virtual time in milliseconds. */
  readonly now: () => number;
}

interface Run {
  readonly run: number;
  readonly placement: Placement;
  readonly atMs: number;
  endedAtMs: number | undefined;
  kind: EndKind | undefined;
  isAcknowledged: boolean;
  /** Whether no fault affected the process that sent the start. */
  readonly isInTouch: boolean;
  /** Whether it ended because its worker crashed. */
  isCrashed: boolean;
  /**
   * The worker's lease expired after the end, before it was acknowledged. Such
   * an end may have been superseded by a later run, so its acknowledgement does
   * not count as a recorded result.
   */
  isLeaseExpiredSinceEnd: boolean;
}

interface Job {
  readonly content: BatchContent;
  /** Services that its queue was routed to when the job was submitted. */
  readonly services: Set<string>;
  /** Whether at least one submission was accepted or got no reply. */
  mayHaveBeenAccepted: boolean;
  acceptedAtMs: number | undefined;
  cancelledAtMs: number | undefined;
  /** Whether a cancel was sent, with or without a reply. */
  mayBeCancelled: boolean;
}

/** Rules with a time bound apply to processes without a fault for this long. */
const FAULT_FREE_MS = 3000;
// Time bounds that the platform requires.
/** From the first acknowledged heartbeat of a draining worker to its last start. */
const DRAIN_BOUND_MS = 2000;
/** From the evacuation of a data centre to the last start in it. */
const EVACUATION_BOUND_MS = 5000;
/** From the reply to a cancel to the job's last start and the stop of its runs. */
const CANCEL_BOUND_MS = 3000;
/** Crashes under a task after which its job may be given up. */
const CRASHES_TO_GIVE_UP = 2;
/** Crashes under a task after which starts of it count. */
const CRASHES_BEFORE_LIMIT = 3;
/** Number of such starts that breaks the rule. */
const STARTS_BEYOND_CRASHES = 3;
/** Maximum duration of a stop at a worker. */
const MAX_STOP_MS = 50;
/** From the write of a configuration until every entry applies it. */
const CONFIG_BOUND_MS = 2000;
/** From the acceptance of a job until every entry knows it. */
const VISIBILITY_BOUND_MS = 3000;
/** Message of the alert that the limits of the store reject a row. */
const REJECTED_WRITE_MESSAGE = 'store write rejected';
/** Name under which faults of the store are recorded. */
export const STORE_NAME = 'store';

/**
 * Checks the rules of the platform in a simulation. It compares the runs that
 * workers start and end with what callers and operators have asked for, and
 * records a violation for each rule that is broken. It does not depend on the
 * state of entries or worker driver processes.
 */
export class FleetOracle {
  readonly violations: Violation[] = [];
  private readonly _options: FleetOracleOptions;
  private readonly _jobs = new Map<string, Job>();
  private readonly _runs = new Map<string, Run[]>();
  /** Jobs for which a cancel was sent before their first submission. */
  private readonly _cancelledBeforeSubmit = new Set<string>();
  /** When a heartbeat of each draining worker was first acknowledged, by VM. */
  private readonly _drainingSinceMs = new Map<string, number>();
  /** When each data centre that is out of service was taken out. */
  private readonly _evacuatedAtMs = new Map<string, number>();
  /** Last seen configuration version of each incarnation of an entry. */
  private readonly _versionByIncarnation = new Map<string, number>();
  /** End of the last fault of each process or store; infinite while it lasts. */
  private readonly _faultEndedAtMs = new Map<string, number>();
  /** CPU capacities of each resized worker and when they began, by VM. */
  private readonly _capacities = new Map<
    string,
    { readonly cpuMilli: number; readonly atMs: number }[]
  >();
  private _config = { version: 0, atMs: 0 };

  /** @param options - Capacity of the workers and virtual time. */
  constructor(options: FleetOracleOptions) {
    this._options = options;
  }

  /** Ids of jobs that were accepted and for which no cancel was sent. */
  get acceptedJobIds(): string[] {
    return [...this._jobs]
      .filter(
        ([, job]) => job.acceptedAtMs !== undefined && !job.mayBeCancelled,
      )
      .map(([id]) => id);
  }

  /**
   * Records the beginning or the end of a fault.
   *
   * @param name - Name of the affected process, or {@link STORE_NAME}. A worker
   * driver process has the name of its worker's VM.
   * @param hasEnded - Whether the fault has ended.
   */
  onFault(name: string, hasEnded: boolean): void {
    const { now } = this._options;
    this._faultEndedAtMs.set(name, hasEnded ? now() : Number.POSITIVE_INFINITY);
  }

  /** Records the beginning or the end of a fault of a worker. */
  onWorkerFault(vm: string, hasEnded: boolean): void {
    this.onFault(workerName(vm), hasEnded);
  }

  /**
   * Records that an operator has written a configuration.
   *
   * @param version - Version of the configuration.
   */
  onConfig(version: number): void {
    this._config = { version, atMs: this._options.now() };
  }

  /** Records that an operator has taken a data centre out of or into service. */
  onEvacuation(dataCentre: string, isOutOfService: boolean): void {
    if (isOutOfService) {
      this._evacuatedAtMs.set(dataCentre, this._options.now());
    } else {
      this._evacuatedAtMs.delete(dataCentre);
    }
  }

  /** Records that a worker has changed its CPU capacity. */
  onCapacity(vm: string, cpuMilli: number): void {
    const changes = this._capacities.get(vm) ?? [];
    changes.push({ cpuMilli, atMs: this._options.now() });
    this._capacities.set(vm, changes);
  }

  /** Records that a heartbeat of a draining worker was acknowledged. */
  onDrainAcknowledged(vm: string): void {
    if (!this._drainingSinceMs.has(vm)) {
      this._drainingSinceMs.set(vm, this._options.now());
    }
  }

  /** Checks how a planned stop of an entry has ended. */
  onStopEnd(entry: string, end: StopEnd): void {
    if (end.wasReady) {
      this._report('a planned stop ends in time', `${entry} is ready again`);
    }
    if (end.wasDelayed) {
      return;
    }
    if (end.isKilled) {
      this._report('a planned stop ends in time', `${entry} is killed`);
    }
    const { unanswered } = end;
    if (unanswered.length > 0) {
      const kinds = [...new Set(unanswered)].sort().join(', ');
      this._report(
        'a planned stop answers every call',
        `${entry}: ${String(unanswered.length)} of ${kinds}`,
      );
    }
  }

  /**
   * Checks a log line of an entry. Rows that can't be stored are refused before
   * a job is accepted, so an alert that the store's limits reject a row means
   * that this check is missing or leaves too little room for the row to grow.
   */
  onLog(entry: string, message: string, fields: object): void {
    if (message === REJECTED_WRITE_MESSAGE) {
      this._report(
        'no accepted row is over the limits',
        `${entry}: ${JSON.stringify(fields)}`,
      );
    }
  }

  /** Records that a caller submits a job. */
  onSubmit(id: string, content: BatchContent): void {
    if (!this._jobs.has(id)) {
      this._jobs.set(id, {
        content,
        services: new Set(),
        mayHaveBeenAccepted: false,
        acceptedAtMs: undefined,
        cancelledAtMs: undefined,
        // A cancel that was sent earlier may still arrive and cancel the new job.
        mayBeCancelled: this._cancelledBeforeSubmit.has(id),
      });
    }
    this._jobs.get(id)?.services.add(content.service);
  }

  /**
   * Records the reply to a submission.
   *
   * @param id - The submitted job.
   * @param reply - The reply; `undefined` if there was none.
   */
  onSubmitReply(id: string, reply: BatchReply | undefined): void {
    const job = this._jobs.get(id);
    if (!job) {
      return;
    }
    job.mayHaveBeenAccepted ||=
      reply?.kind !== 'refused' && reply?.kind !== 'too-large';
    if (reply?.kind === 'accepted') {
      job.acceptedAtMs ??= this._options.now();
    }
    if (reply?.kind === 'ended') {
      this._checkState(id, reply.state);
    }
  }

  /** Records that a caller cancels a job. */
  onCancel(id: string): void {
    const job = this._jobs.get(id);
    if (job) {
      job.mayBeCancelled = true;
    } else {
      this._cancelledBeforeSubmit.add(id);
    }
  }

  /**
   * Records the reply to a cancel.
   *
   * @param id - The job to be cancelled.
   * @param reply - The reply; `undefined` if there was none.
   */
  onCancelReply(id: string, reply: BatchReply | undefined): void {
    const job = this._jobs.get(id);
    // That no such job exists is an answer to a cancel as well: a recorded job
    // must not begin after it. Nobody looks for a volatile one at other entries.
    const isAnswered =
      reply?.kind === 'cancelled' ||
      (reply?.kind === 'unknown-job' && job?.content.isVolatile === false);
    if (job && isAnswered) {
      job.cancelledAtMs ??= this._options.now();
    }
  }

  /**
   * Checks the reply to a status request.
   *
   * @param id - The job whose status was requested.
   * @param entry - The entry that replied.
   * @param reply - The reply; `undefined` if there was none.
   */
  onStatus(id: string, entry: string, reply: BatchReply | undefined): void {
    const job = this._jobs.get(id);
    if (reply?.kind === 'state') {
      this._checkState(id, reply.state);
    }
    if (reply?.kind === 'unknown-job' && job && !job.mayBeCancelled) {
      const ageMs = this._options.now() - (job.acceptedAtMs ?? Infinity);
      if (ageMs > VISIBILITY_BOUND_MS && this._isFaultFree(entry, STORE_NAME)) {
        this._report('an accepted job is known', `${id} at ${entry}`);
      }
    }
  }

  /** Checks the configuration version of an entry that receives a call. */
  onVersion(entry: string, incarnation: string, version: number): void {
    const before = this._versionByIncarnation.get(incarnation) ?? 0;
    if (version < before) {
      this._report('configuration never reverts', `${incarnation} ${entry}`);
    }
    this._versionByIncarnation.set(incarnation, version);
    const isOverdue = this._elapsedMs(this._config.atMs) > CONFIG_BOUND_MS;
    if (
      isOverdue &&
      version < this._config.version &&
      this._isFaultFree(entry, STORE_NAME)
    ) {
      this._report(
        'configuration in force in time',
        `${entry}: ${String(version)}`,
      );
    }
  }

  /** Checks and records that a worker has started a run. */
  onStart(start: ObservedStart): void {
    const { task, run, placement } = start;
    const id = jobIdOf(task);
    const job = this._jobs.get(id);
    if (job?.content.spec !== start.spec) {
      this._report('only what was asked for runs', task);
      return;
    }
    const runs = this._runs.get(task) ?? [];
    this._runs.set(task, runs);
    this._checkRepeatedRun(task, job, runs, start);
    this._checkPlacement(task, job, start);
    if (!start.isDelayed) {
      this._checkTimeBounds(task, job, placement);
    }
    runs.push({
      run,
      placement,
      atMs: this._options.now(),
      endedAtMs: undefined,
      kind: undefined,
      isAcknowledged: false,
      isInTouch: this._isFaultFree(placement.vm),
      isCrashed: false,
      isLeaseExpiredSinceEnd: false,
    });
    this._checkCapacity(placement.vm, task);
    this._checkCrashes(task, job, runs);
  }

  /** Records the end of a run. */
  onEnd(vm: string, task: string, run: number, kind: EndKind): void {
    const record = this._findRun(vm, task, run);
    if (!record) {
      return;
    }
    record.kind = kind;
    record.endedAtMs = this._options.now();
    if (
      kind === EndKind.LAPSED &&
      this._isFaultFree(vm, workerName(vm), STORE_NAME)
    ) {
      this._report(
        'a worker in touch keeps its lease',
        `${task} #${String(run)} at ${vm}`,
      );
    }
    const job = this._jobs.get(jobIdOf(task));
    const cancelledAtMs = Math.max(job?.cancelledAtMs ?? Infinity, record.atMs);
    const isOverdue =
      this._elapsedMs(cancelledAtMs) > CANCEL_BOUND_MS + MAX_STOP_MS;
    if (isOverdue && this._isFaultFree(vm, STORE_NAME)) {
      this._report('a cancelled job stops', `${task} #${String(run)} at ${vm}`);
    }
  }

  /** Records that a run has ended with its worker. */
  onLost(vm: string, task: string, run: number, isCrash: boolean): void {
    const record = this._findRun(vm, task, run);
    if (record) {
      record.isCrashed = isCrash;
    }
    this.onEnd(vm, task, run, EndKind.LOST);
  }

  /** Records that the end of a run was acknowledged to its worker. */
  onAcknowledged(vm: string, task: string, run: number): void {
    const record = this._findRun(vm, task, run);
    const job = this._jobs.get(jobIdOf(task));
    if (!record || !job || record.isLeaseExpiredSinceEnd) {
      return;
    }
    record.isAcknowledged = true;
    if (job.content.isVolatile) {
      return;
    }
    const runs = this._runs.get(task) ?? [];
    const later = runs.find((other) => other.atMs > (record.endedAtMs ?? 0));
    if (record.kind === EndKind.DONE && later) {
      this._report('done once', `${task} #${String(later.run)} after its end`);
    }
    this._checkAttempts(task, job, runs);
  }

  /** Records that the lease of a worker has expired. */
  onLeaseExpired(vm: string): void {
    for (const record of this._allRuns()) {
      if (record.placement.vm === vm && !record.isAcknowledged) {
        record.isLeaseExpiredSinceEnd = record.endedAtMs !== undefined;
      }
    }
  }

  /** Records that a worker has crashed or left. */
  onGone(vm: string): void {
    this._drainingSinceMs.delete(vm);
  }

  /**
   * Checks, after a time without faults, that no cancelled job is still
   * running and that no refused job has run.
   */
  checkSettled(): void {
    for (const [task, runs] of this._runs) {
      const job = this._jobs.get(jobIdOf(task));
      const isActive = runs.some((run) => run.endedAtMs === undefined);
      if (isActive && job?.cancelledAtMs !== undefined) {
        this._report('a cancelled job stops', task);
      }
    }
    for (const [id, job] of this._jobs) {
      const hasRun = [...this._runs.keys()].some((t) => t.startsWith(`${id}.`));
      if (hasRun && !job.mayHaveBeenAccepted) {
        this._report('what is refused does not run', id);
      }
    }
  }

  /**
   * Records an accepted job that has not ended after a time without faults.
   *
   * @param id - The job.
   * @param detail - Its state, or that no entry has replied.
   */
  onUnfinishedJob(id: string, detail: string): void {
    this._report('an accepted job ends', `${id}: ${detail}`);
  }

  private _report(guarantee: string, detail: string): void {
    this.violations.push({ guarantee, atMs: this._options.now(), detail });
  }

  private _elapsedMs(atMs: number): number {
    return this._options.now() - atMs;
  }

  private _isFaultFree(...names: string[]): boolean {
    return names.every((name) => {
      const endedAtMs =
        this._faultEndedAtMs.get(name) ?? Number.NEGATIVE_INFINITY;
      return this._elapsedMs(endedAtMs) > FAULT_FREE_MS;
    });
  }

  private _allRuns(): Run[] {
    return [...this._runs.values()].flat();
  }

  private _findRun(vm: string, task: string, run: number): Run | undefined {
    return this._runs
      .get(task)
      ?.findLast((other) => other.run === run && other.placement.vm === vm);
  }

  private _checkRepeatedRun(
    task: string,
    job: Job,
    runs: readonly Run[],
    start: ObservedStart,
  ): void {
    const active = runs.find((other) => other.endedAtMs === undefined);
    if (active) {
      const first = `#${String(active.run)} at ${active.placement.vm}`;
      const second = `#${String(start.run)} at ${start.placement.vm}`;
      this._report('one run at a time', `${task}: ${first}, ${second}`);
    }
    const isDone = runs.some(
      (other) => other.kind === EndKind.DONE && other.isAcknowledged,
    );
    if (isDone && !job.content.isVolatile) {
      this._report('done once', `${task} #${String(start.run)}`);
    }
  }

  private _checkAttempts(task: string, job: Job, runs: readonly Run[]): void {
    const failed = runs
      .filter((run) => run.kind === EndKind.FAILED && run.isAcknowledged)
      .map((run) => run.endedAtMs ?? 0)
      .sort((a, b) => a - b);
    const lastMs = failed[job.content.attempts - 1];
    if (lastMs !== undefined && runs.some((run) => run.atMs > lastMs)) {
      this._report('no run beyond the attempts', task);
    }
  }

  /** Checks a start of a recorded task that crashes its workers. */
  private _checkCrashes(task: string, job: Job, runs: readonly Run[]): void {
    const crashed = runs
      .filter((run) => run.isCrashed)
      .map((run) => run.endedAtMs ?? 0)
      .sort((a, b) => a - b);
    const lastMs = crashed[CRASHES_BEFORE_LIMIT - 1];
    const { spec, isVolatile } = job.content;
    if (lastMs === undefined || isVolatile || !isDeadly(spec, task)) {
      return;
    }
    const later = runs.filter((run) => run.isInTouch && run.atMs > lastMs);
    if (later.length >= STARTS_BEYOND_CRASHES) {
      this._report(
        'no endless crashes',
        `${task}: ${String(later.length)} starts`,
      );
    }
  }

  private _checkPlacement(
    task: string,
    job: Job,
    { placement }: ObservedStart,
  ): void {
    // A task name consists of the job id, 0, the step and the index in the step.
    const number = Number(task.split('.')[2]);
    const step = job.content.steps[number];
    if (!step) {
      this._report('only what was asked for runs', task);
      return;
    }
    if (!job.services.has(placement.service)) {
      this._report('runs where its queue goes', `${task} at ${placement.vm}`);
    }
    if (
      step.requires !== undefined &&
      !placement.labels.includes(step.requires)
    ) {
      this._report('runs where its label is', `${task} at ${placement.vm}`);
    }
    const id = jobIdOf(task);
    for (const earlier of step.after) {
      const count = job.content.steps[earlier]?.count ?? 0;
      for (let index = 0; index < count; index += 1) {
        const name = `${id}.0.${String(earlier)}.${String(index)}`;
        const isDone = this._runs
          .get(name)
          ?.some((run) => run.kind === EndKind.DONE);
        if (isDone !== true) {
          this._report('steps in order', `${task} before ${name}`);
        }
      }
    }
  }

  private _checkTimeBounds(task: string, job: Job, placement: Placement): void {
    const isAfter = (atMs: number | undefined, ms: number): boolean =>
      atMs !== undefined && this._elapsedMs(atMs) > ms;
    if (
      isAfter(this._drainingSinceMs.get(placement.vm), DRAIN_BOUND_MS) &&
      this._isFaultFree(placement.vm)
    ) {
      this._report(
        'no start at a worker that leaves',
        `${task} ${placement.vm}`,
      );
    }
    if (
      isAfter(
        this._evacuatedAtMs.get(placement.dataCentre),
        EVACUATION_BOUND_MS,
      ) &&
      this._isFaultFree(placement.vm, STORE_NAME)
    ) {
      this._report(
        'no start in a data centre that is out',
        `${task} ${placement.vm}`,
      );
    }
    if (
      isAfter(job.cancelledAtMs, CANCEL_BOUND_MS) &&
      this._isFaultFree(placement.vm, STORE_NAME)
    ) {
      this._report('no start of a cancelled job', task);
    }
  }

  private _checkCapacity(vm: string, task: string): void {
    let cpuMilli = 0;
    for (const [name, runs] of this._runs) {
      const isActive = runs.some(
        (run) => run.placement.vm === vm && run.endedAtMs === undefined,
      );
      if (isActive) {
        const [id = '', , step = ''] = name.split('.');
        const job = this._jobs.get(id);
        cpuMilli += job?.content.steps[Number(step)]?.needs.cpuMilli ?? 0;
      }
    }
    if (cpuMilli > this._capacityMilli(vm)) {
      this._report('within the room', `${task} at ${vm}: ${String(cpuMilli)}`);
    }
  }

  /**
   * Returns the CPU capacity that starts must not exceed. A capacity that has
   * shrunk counts once it has been reported and a process in touch knows it.
   */
  private _capacityMilli(vm: string): number {
    const { workerCapacity, heartbeatMs } = this._options;
    const initial = { cpuMilli: workerCapacity.cpuMilli, atMs: -Infinity };
    const changes = [initial, ...(this._capacities.get(vm) ?? [])];
    const knownAtMs = this._options.now() - FAULT_FREE_MS - heartbeatMs;
    const inForce = changes.findLastIndex(({ atMs }) => atMs <= knownAtMs);
    const allowed = changes.slice(Math.max(0, inForce));
    return Math.max(...allowed.map((change) => change.cpuMilli));
  }

  private _checkState(id: string, state: BatchState): void {
    const job = this._jobs.get(id);
    if (!job) {
      this._report('only submitted jobs are known', id);
      return;
    }
    const names = job.content.steps.flatMap((step, number) =>
      Array.from(
        { length: step.count },
        (_, index) => `${id}.0.${String(number)}.${String(index)}`,
      ),
    );
    const countEnds = (name: string, kind: EndKind): number =>
      (this._runs.get(name) ?? []).filter((run) => run.kind === kind).length;
    if (state === BatchState.Completed) {
      const missing = names.find((name) => countEnds(name, EndKind.DONE) === 0);
      if (missing !== undefined) {
        this._report('completed means all done', missing);
      }
    }
    if (state === BatchState.Failed) {
      const countCrashes = (name: string): number =>
        (this._runs.get(name) ?? []).filter((run) => run.isCrashed).length;
      const isCause = names.some(
        (name) =>
          countEnds(name, EndKind.FAILED) >= job.content.attempts ||
          countCrashes(name) >= CRASHES_TO_GIVE_UP,
      );
      if (!isCause) {
        this._report('failed has a cause', id);
      }
    }
    if (state === BatchState.Cancelled && !job.mayBeCancelled) {
      this._report('cancelled has a cause', id);
    }
  }
}

/** Name under which faults of a worker, not of its driver process, are recorded. */
const workerName = (vm: string): string => `worker of ${vm}`;
