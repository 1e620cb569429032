import { EndKind, StartRefusal } from '../messages.js';
import type { RunEnd, WorkerCrash, WorkerReport } from '../messages.js';
import { TaskPhase, isFinal, isPlacedAs } from '../request/batch-job.js';
import type { BatchTask } from '../request/batch-job.js';
import { invalidFieldOf } from '../request/job-content.js';
import { jobIdOf, runKey } from '../request/run-key.js';
import {
  OverdueReason,
  StallDetector,
  longAfterMs,
  stalledAfterMs,
} from '../request/stalled-runs.js';
import type { RunTiming } from '../request/stalled-runs.js';
import type { LogFields } from './batch-events.js';
import type { CrashBulkhead } from './crash-bulkhead.js';
import type { CrashLedger } from './crash-ledger.js';
import { decodeJobRow, fleetKeys, partName, partOf } from './fleet-rows.js';
import type { JobPlacer } from './job-placer.js';
import type { OwnedJob, UnacknowledgedEnd } from './owned-job.js';
import type { PartStores } from './part-stores.js';
import { dataFactorOf } from './worker-choice.js';
import type { WorkerFleet } from './worker-fleet.js';
import type { WorkerHealth } from './worker-health.js';
import type { PlacedRun, WorkerView } from './worker-view.js';

/** Options of {@link RunReports}. */
export interface RunReportsOptions {
  /** Incarnation of the entry. */
  readonly incarnation: string;
  readonly stores: PartStores;
  readonly fleet: WorkerFleet;
  readonly placer: JobPlacer;
  readonly health: WorkerHealth;
  readonly crashes: CrashLedger;
  readonly bulkhead: CrashBulkhead;
  /** Ratio of a task's run time with remote data to that with local data. */
  readonly remoteDataFactor: number;
  /** Jobs that the entry runs, by id. */
  readonly jobs: ReadonlyMap<string, OwnedJob>;
  /** Whether the entry knows that the job has ended. */
  readonly isEnded: (id: string) => boolean;
  /** Called with a volatile job that must not be continued. */
  readonly onAbandon: (ownedJob: OwnedJob, reason: string, now: number) => void;
  /** Called when a job has reached its final state. */
  readonly onFinal: (ownedJob: OwnedJob, now: number) => void;
  /**
   * Called when a worker reports that this incarnation is fenced: another one
   * has replaced it.
   */
  readonly onFenced: (worker: string) => void;
  readonly log: (message: string, fields: LogFields) => void;
}

/** A current run that takes far longer than expected. */
interface OverdueRun {
  readonly task: BatchTask;
  readonly timing: RunTiming;
}

/** Tasks that a log line about a crash names. */
const MAX_LOGGED_TASKS = 20;
/** How long abandoned runs are remembered. */
const ABANDONED_RETENTION_MS = 120_000;

/**
 * Processes the workers' reports on runs: applies ends, refusals and snapshots
 * to the jobs of the entry, decides which ends are acknowledged as superseded,
 * abandons the runs of workers without contact and stops stalled runs.
 */
export class RunReports {
  private readonly _options: RunReportsOptions;
  /**
   * Times at which runs were abandoned, by run key. Workers may still report the
   * ends of these runs.
   */
  private readonly _abandoned = new Map<string, number>();
  private readonly _stalls = new StallDetector();

  /** @param options - Jobs, workers and callbacks. */
  constructor(options: RunReportsOptions) {
    this._options = options;
  }

  /**
   * Abandons the runs of workers without contact once these runs have provably
   * ended, and stops stalled runs.
   *
   * @param now - Current time in milliseconds.
   */
  pump(now: number): void {
    for (const view of this._options.fleet.views) {
      if (view.placed.size === 0) {
        continue;
      }
      for (const key of view.endedRuns(now)) {
        this._abandon(view, key, now);
      }
      this._stopStalledRuns(view, now);
    }
    for (const queue of this._options.bulkhead.release(now)) {
      this._options.log('queue released', { queue });
    }
    for (const [key, atMs] of this._abandoned) {
      if (now - atMs < ABANDONED_RETENTION_MS) {
        break;
      }
      this._abandoned.delete(key);
    }
  }

  /**
   * @param linkId - Link that brought the report.
   * @param report - The worker's report.
   * @param now - Current time in milliseconds.
   */
  onReport(linkId: number, report: WorkerReport, now: number): void {
    const view = this._options.fleet.byLinkId(linkId);
    if (!view) {
      return;
    }
    if (report.fenced) {
      this._options.onFenced(view.name);
      return;
    }
    if (report.hello && report.hello.worker !== view.name) {
      // It proves nothing about the runs that were placed at the VM of the row.
      this._options.fleet.onOtherWorker(linkId, report.hello.worker, now);
      return;
    }
    const before = view.hello;
    view.applyReport(report, now);
    const isNewDriver =
      before !== undefined && before.incarnation !== view.hello?.incarnation;
    if (before?.life !== view.hello?.life) {
      this._options.health.reset(view.name);
      this._stalls.reset(view.name);
    }
    const crashing = report.crashes.flatMap((crash) =>
      this._recordCrash(view, crash, now),
    );
    for (const end of report.ends) {
      this._onEnd(view, end, now);
    }
    for (const ownedJob of new Set(crashing)) {
      this.giveUpCrashing(ownedJob, now);
      this._abandonConfined(ownedJob, now);
    }
    for (const { task, run, reason } of report.refused) {
      this._onRefused(view, task, run, reason, now);
    }
    for (const run of report.active) {
      this._onActive(view, run.task, run.run, run.owner, now);
    }
    if (report.snapshot) {
      this._onSnapshot(view, report, isNewDriver, now);
    }
  }

  /**
   * Stops stalled runs, so that their tasks start again on other workers. Runs
   * of tasks that take long at any worker may go on for longer.
   */
  private _stopStalledRuns(view: WorkerView, now: number): void {
    const overdue: OverdueRun[] = [];
    for (const placed of view.placed.values()) {
      const ownedJob = this._options.jobs.get(placed.job);
      const task = ownedJob?.job.task(placed.task);
      if (!ownedJob || !task || !isPlacedAs(task, placed.run, view.name)) {
        continue;
      }
      const timing = this._timingOf(ownedJob, task, view);
      if (task.isStalled || now - task.sinceMs > stalledAfterMs(timing)) {
        overdue.push({ task, timing });
      }
    }
    const runs = {
      worker: view.name,
      active: view.placed.size,
      overdue: overdue.length,
    };
    for (const { task, timing } of overdue) {
      if (task.isStalled) {
        continue;
      }
      const reason = this._stalls.reasonOf(runs, task.sinceMs, now);
      switch (reason) {
        case OverdueReason.Stalled:
          this._stopRun(view, task, {
            message: 'run stopped, it stands still',
            limitMs: stalledAfterMs(timing),
            now,
          });
          this._stalls.onStalled(view.name, now);
          if (this._options.health.onFailed(view.name, now)) {
            this._options.log('worker set aside', { worker: view.name });
          }
          break;
        case OverdueReason.Long:
          if (!task.isLong) {
            task.isLong = true;
            this._logLongRun(view, task, now);
          }
          if (now - task.sinceMs > longAfterMs(timing)) {
            this._stopRun(view, task, {
              message: 'run stopped, it takes too long',
              limitMs: longAfterMs(timing),
              now,
            });
          }
          break;
      }
    }
  }

  private _timingOf(
    ownedJob: OwnedJob,
    task: BatchTask,
    view: WorkerView,
  ): RunTiming {
    const { health } = this._options;
    const { content } = ownedJob.job;
    const estimateMs = this._estimateMs(ownedJob, task, view);
    return {
      expectedMs: health.expectedMs(content.queue, estimateMs),
      slowness: health.slowness(view.name),
      earlierStops: task.stalledStops,
    };
  }

  /** Returns the estimate for a task, given its access to its data there. */
  private _estimateMs(
    ownedJob: OwnedJob,
    task: BatchTask,
    view: WorkerView,
  ): number {
    const { affinity, estimateMs } = ownedJob.job.stepOf(task);
    const { remoteDataFactor } = this._options;
    const labels = view.hello?.labels ?? [];
    return estimateMs * dataFactorOf(affinity, labels, remoteDataFactor);
  }

  private _stopRun(
    view: WorkerView,
    task: BatchTask,
    options: {
      readonly message: string;
      readonly limitMs: number;
      readonly now: number;
    },
  ): void {
    const { message, limitMs, now } = options;
    task.isStalled = true;
    task.stalledStops += 1;
    task.avoidedWorkers.add(view.name);
    this._options.fleet.stop(view, task.name, task.run);
    this._options.log(message, {
      task: task.name,
      run: task.run,
      worker: view.name,
      sinceMs: Math.round(now - task.sinceMs),
      limitMs: Math.round(limitMs),
    });
  }

  private _logLongRun(view: WorkerView, task: BatchTask, now: number): void {
    this._options.log('run takes long', {
      task: task.name,
      run: task.run,
      worker: view.name,
      sinceMs: Math.round(now - task.sinceMs),
    });
  }

  /** @returns The jobs of this entry that had active runs at a new crash. */
  private _recordCrash(
    view: WorkerView,
    crash: WorkerCrash,
    now: number,
  ): OwnedJob[] {
    const { crashes, bulkhead, log } = this._options;
    const affected = crashes.add(view.name, crash);
    if (affected.length === 0) {
      return [];
    }
    const own = affected.filter((task) => this._jobOf(task));
    this._logCrash(view, crash, own);
    // The first report on a link may bring crashes of some time ago.
    const confined = view.hasSnapshot && bulkhead.onCrash(crash.runs, now);
    if (confined) {
      log('queue confined, its tasks crash workers', { queue: confined });
    }
    const ownedJobs = own.flatMap((task) => this._jobOf(task) ?? []);
    for (const ownedJob of ownedJobs) {
      ownedJob.hasUnsavedCrash = true;
    }
    return ownedJobs;
  }

  /**
   * Answers the callers of a volatile job of a confined queue at once, instead of
   * starting its lost tasks again: one of them may be what crashed the worker.
   */
  private _abandonConfined(ownedJob: OwnedJob, now: number): void {
    const { bulkhead, onAbandon } = this._options;
    const { content, state } = ownedJob.job;
    if (!isFinal(state) && bulkhead.confines(content)) {
      onAbandon(ownedJob, 'a worker crashed under it', now);
    }
  }

  /**
   * Fails a job if one of its tasks crashes the workers that start it.
   *
   * @param ownedJob - A job of the entry.
   * @param now - Current time in milliseconds.
   */
  giveUpCrashing(ownedJob: OwnedJob, now: number): void {
    const { crashes, log, onFinal } = this._options;
    const { job } = ownedJob;
    if (isFinal(job.state)) {
      return;
    }
    for (const task of job.tasks) {
      if (crashes.isGivenUp(task.name, job.content.isVolatile)) {
        job.giveUp(task);
      }
    }
    if (isFinal(job.state)) {
      const givenUp = job.tasks.filter((task) => task.isGivenUp);
      log('tasks given up, they crash workers', {
        job: ownedJob.id,
        tasks: givenUp.length,
        names: givenUp
          .slice(0, MAX_LOGGED_TASKS)
          .map(({ name }) => {
            const times = crashes
              .crashesOf(name)
              .map(({ activeMs, uncertaintyMs = 0 }) =>
                [activeMs - uncertaintyMs, activeMs].join('-'),
              );
            return `${name} (${times.join(', ')} ms)`;
          })
          .join(' '),
      });
      onFinal(ownedJob, now);
    }
  }

  /**
   * Fails a stored job whose tasks cannot be sent to a worker.
   *
   * @param ownedJob - A job of the entry.
   * @param now - Current time in milliseconds.
   */
  giveUpInvalid(ownedJob: OwnedJob, now: number): void {
    const { job } = ownedJob;
    const field = invalidFieldOf(job.content);
    if (field !== undefined && !isFinal(job.state)) {
      const { log, onFinal } = this._options;
      log('job given up, a field is invalid', { job: job.id, field });
      for (const task of job.tasks) {
        job.giveUp(task);
      }
      onFinal(ownedJob, now);
    }
  }

  private _logCrash(
    view: WorkerView,
    crash: WorkerCrash,
    own: readonly string[],
  ): void {
    const { crashes, log } = this._options;
    log('worker crashed', {
      worker: view.name,
      life: crash.life,
      runs: crash.runs.length,
      ownTasks: own.length,
      names: own
        .slice(0, MAX_LOGGED_TASKS)
        .map((task) => `${task} (${String(crashes.crashesOf(task).length)})`)
        .join(' '),
    });
  }

  private _jobOf(task: string): OwnedJob | undefined {
    return this._options.jobs.get(jobIdOf(task));
  }

  private _onEnd(view: WorkerView, end: RunEnd, now: number): void {
    const key = runKey(end);
    const placed = view.placed.get(key);
    view.placed.delete(key);
    const ownedJob = this._jobOf(end.task);
    const task = ownedJob?.job.task(end.task);
    const superseded =
      end.kind === EndKind.DONE &&
      (hasLaterRun(task, end.run) || this._abandoned.has(key));
    if (ownedJob && task) {
      supersedeDoneRun(ownedJob, task, end.run);
    }
    const pendingEnd: UnacknowledgedEnd = {
      worker: view.name,
      life: end.life,
      number: end.number,
      task: end.task,
      run: end.run,
      superseded: superseded || isOvertaken(task, end),
      isLocalRun: placed !== undefined,
    };
    if (!ownedJob) {
      this._onEndOfOtherJob(pendingEnd, end, placed, now);
      return;
    }
    // A worker lists a superseded end until its lease has expired.
    pendingEnd.superseded ||=
      this._options.fleet.wasAcknowledgedAsSuperseded(pendingEnd) === true;
    if (ownedJob.job.content.isVolatile) {
      this._options.fleet.acknowledge(
        [{ ...pendingEnd, superseded: false }],
        now,
      );
    } else if (end.number > 0) {
      this._queueAcknowledgement(ownedJob, pendingEnd, now);
    }
    if (!task || isFinal(ownedJob.job.state) || superseded) {
      return;
    }
    this._updateHealth(ownedJob, task, end, view, now);
    if (end.kind === EndKind.DONE && ownedJob.job.hasReplaced(task, end.run)) {
      // The adopted run is still active.
      this._options.fleet.stopRunOf(task);
    }
    ownedJob.job.applyEnd(task, end, view.name, now);
    if (end.kind !== EndKind.DONE) {
      this._options.log('run ended early', {
        task: end.task,
        run: end.run,
        worker: view.name,
        how: EndKind[end.kind],
        failures: task.failedRuns.size,
        crashes: this._options.crashes.crashesOf(end.task).length,
      });
    }
    if (isFinal(ownedJob.job.state)) {
      this._options.onFinal(ownedJob, now);
    } else if (ownedJob.job.ready.length > 0) {
      // Either the task is to be placed again, or its end has unblocked tasks.
      this._options.placer.add(ownedJob);
    }
  }

  private _updateHealth(
    ownedJob: OwnedJob,
    task: BatchTask,
    end: RunEnd,
    view: WorkerView,
    now: number,
  ): void {
    if (!isPlacedAs(task, end.run, view.name)) {
      return;
    }
    if (end.kind === EndKind.DONE) {
      this._options.health.onDone(
        {
          queue: ownedJob.job.content.queue,
          worker: view.name,
          job: ownedJob.id,
        },
        this._estimateMs(ownedJob, task, view),
        now - task.sinceMs,
      );
      this._stalls.onDone(view.name, task.sinceMs, now);
    } else if (end.kind === EndKind.FAILED) {
      if (this._options.health.onFailed(view.name, now)) {
        this._options.log('worker set aside', { worker: view.name });
      }
    }
  }

  private _queueAcknowledgement(
    ownedJob: OwnedJob,
    pendingEnd: UnacknowledgedEnd,
    now: number,
  ): void {
    // Two workers may have started in the same millisecond.
    const isKnown = ownedJob.unacknowledged.some(
      (other) =>
        other.worker === pendingEnd.worker &&
        other.number === pendingEnd.number &&
        other.life === pendingEnd.life,
    );
    if (isKnown) {
      return;
    }
    if (ownedJob.unacknowledged.length === 0) {
      ownedJob.unacknowledgedSinceMs = now;
    }
    ownedJob.unacknowledged.push(pendingEnd);
  }

  /**
   * Acknowledges an end of a job that this entry does not run, if the job is
   * not open. If the job has ended, another run of the task may have begun
   * after this one, so the `DONE` end of a run that this entry did not send
   * counts as superseded. An end that is listed again is acknowledged as before.
   * A recorded job that this entry has run may be open at another owner.
   */
  private _onEndOfOtherJob(
    pendingEnd: UnacknowledgedEnd,
    end: RunEnd,
    placed: PlacedRun | undefined,
    now: number,
  ): void {
    if (pendingEnd.number === 0) {
      return;
    }
    const { fleet, isEnded, jobs, log, stores } = this._options;
    const id = jobIdOf(end.task);
    const earlierSuperseded = fleet.wasAcknowledgedAsSuperseded(pendingEnd);
    const isDone = end.kind === EndKind.DONE;
    if (earlierSuperseded !== undefined) {
      fleet.acknowledge(
        [{ ...pendingEnd, superseded: earlierSuperseded }],
        now,
      );
      return;
    }
    if (isEnded(id)) {
      const superseded =
        pendingEnd.superseded || (isDone && !pendingEnd.isLocalRun);
      fleet.acknowledge([{ ...pendingEnd, superseded }], now);
      return;
    }
    if (placed?.isVolatile) {
      fleet.acknowledge([pendingEnd], now);
      return;
    }
    const key = fleetKeys.job(id);
    const caller = stores.caller(partName(partOf(id)));
    caller.call({ kind: 'read', keys: [key] }, (reply, at) => {
      if (reply.kind !== 'rows' || jobs.has(id)) {
        return;
      }
      const row = reply.rows[0];
      const data = row && decodeJobRow(row.value);
      if (data?.kind !== 'open') {
        // A job without a row was volatile, so its runs may be repeated, or its
        // row was deleted after the retention period.
        const superseded = isDone && data !== undefined;
        log('end of a job that is not open acknowledged', {
          task: end.task,
          run: end.run,
          row: data?.kind ?? 'none',
        });
        fleet.acknowledge([{ ...pendingEnd, superseded }], at);
      }
    });
  }

  private _onRefused(
    view: WorkerView,
    name: string,
    run: number,
    reason: StartRefusal,
    now: number,
  ): void {
    view.placed.delete(runKey({ task: name, run }));
    const ownedJob = this._jobOf(name);
    const task = ownedJob?.job.task(name);
    this._options.log('start refused', {
      task: name,
      run,
      worker: view.name,
      reason: StartRefusal[reason],
    });
    if (!ownedJob || !task || !isPlacedAs(task, run, view.name)) {
      return;
    }
    switch (reason) {
      case StartRefusal.UNHEALTHY:
      case StartRefusal.NO_ANSWER:
      case StartRefusal.INVALID:
        if (this._options.health.onFailed(view.name, now)) {
          this._options.log('worker set aside', { worker: view.name });
        }
        task.avoidedWorkers.add(view.name);
        break;
      case StartRefusal.NO_ROOM:
      case StartRefusal.NOT_READY:
      case StartRefusal.FENCED:
      case StartRefusal.STALE_RUN:
      case StartRefusal.UNSPECIFIED:
        break;
    }
    ownedJob.job.onRefused(task, reason, now);
    this._options.placer.onStartRefused(ownedJob.job, task);
    this._options.placer.add(ownedJob);
  }

  private _onSnapshot(
    view: WorkerView,
    report: WorkerReport,
    isNewDriver: boolean,
    now: number,
  ): void {
    const active = new Set(report.active.map(runKey));
    if (view.hasSnapshot) {
      // Only the first snapshot on a link is compared with the placed runs.
      return;
    }
    this._options.fleet.onSnapshot(view, now);
    for (const [key, placed] of [...view.placed]) {
      if (active.has(key)) {
        continue;
      }
      if (isNewDriver) {
        this._abandon(view, key, now);
      } else {
        // The start may still arrive over the earlier link.
        view.order.stops.push({ task: placed.task, run: placed.run });
        view.isDirty = true;
      }
    }
  }

  private _onActive(
    view: WorkerView,
    name: string,
    run: number,
    owner: string,
    now: number,
  ): void {
    const ownedJob = this._jobOf(name);
    const task = ownedJob?.job.task(name);
    const id = jobIdOf(name);
    if (!ownedJob || !task) {
      // A restarted worker driver process does not know the owner of a run.
      const isAbandoned =
        owner === '' &&
        view.placed.get(runKey({ task: name, run }))?.isVolatile === true;
      const isOwn = owner === this._options.incarnation || isAbandoned;
      if (isOwn || this._options.isEnded(id)) {
        this._options.fleet.stop(view, name, run, owner);
      }
      return;
    }
    supersedeDoneRun(ownedJob, task, run);
    if (task.phase === TaskPhase.Unknown && !isFinal(ownedJob.job.state)) {
      ownedJob.job.adopt(task, run, view.name, now);
    }
    const isCurrent =
      isPlacedAs(task, run, view.name) && !isFinal(ownedJob.job.state);
    if (!isCurrent) {
      this._options.fleet.stop(view, name, run, owner);
      return;
    }
    const { needs } = ownedJob.job.stepOf(task);
    const isSuspect = this._options.crashes.isSuspect(name);
    view.placed.set(runKey({ task: name, run }), {
      job: ownedJob.id,
      task: name,
      run,
      needs,
      isSuspect,
      trialEndsAtMs: isSuspect
        ? task.sinceMs + this._options.crashes.trialMs(name)
        : undefined,
      isVolatile: ownedJob.job.content.isVolatile,
      sequence: 0,
    });
    if (task.isStalled) {
      // Its stop was lost with the link or the worker driver process before.
      this._options.fleet.stop(view, name, run);
    }
    if (owner === '') {
      // The worker driver process has found the run at the worker and does not
      // know its owner.
      view.order.claims.push({
        spec: '',
        needs,
        runs: [{ task: name, run, checkpoint: '' }],
        queue: ownedJob.job.content.queue,
        volatile: ownedJob.job.content.isVolatile,
        priority: 0,
        maxWaitMs: 0,
      });
      view.isDirty = true;
    }
  }

  /**
   * Abandons a run that has provably ended or never began, and queues its task
   * for another run.
   */
  private _abandon(view: WorkerView, key: string, now: number): void {
    const placed = view.placed.get(key);
    view.placed.delete(key);
    if (!placed) {
      return;
    }
    this._abandoned.set(key, now);
    const ownedJob = this._options.jobs.get(placed.job);
    const task = ownedJob?.job.task(placed.task);
    if (ownedJob && task && isPlacedAs(task, placed.run, view.name)) {
      this._options.log('run given up', {
        task: placed.task,
        run: placed.run,
        worker: view.name,
        silentMs: Math.round(now - view.lastReportAtMs),
      });
      ownedJob.job.requeue(task, now);
      this._options.placer.add(ownedJob);
    }
  }
}

/**
 * Whether a run of the task has begun after the given one, or is about to: a
 * task that waits for a worker is started whatever ends are listed meanwhile.
 */
const hasLaterRun = (task: BatchTask | undefined, run: number): boolean => {
  switch (task?.phase) {
    case TaskPhase.Blocked:
    case TaskPhase.Ready:
      return true;
    case TaskPhase.Placed:
      return task.run > run;
    case TaskPhase.Done:
      return task.doneRun !== run;
    case undefined:
    case TaskPhase.Unknown:
      return false;
  }
};

/**
 * Whether a later run, which a previous owner of the job started, has ended
 * already. The task is done all the same.
 */
const isOvertaken = (task: BatchTask | undefined, end: RunEnd): boolean =>
  end.kind === EndKind.DONE &&
  task?.phase === TaskPhase.Unknown &&
  task.endedRun > end.run;

/**
 * Marks the unacknowledged end of the run that completed a task as superseded
 * if the given run began after it. A previous owner of the job started such a
 * run.
 */
const supersedeDoneRun = (
  ownedJob: OwnedJob,
  task: BatchTask,
  run: number,
): void => {
  if (task.phase !== TaskPhase.Done || run <= task.doneRun) {
    return;
  }
  for (const pendingEnd of ownedJob.unacknowledged) {
    if (pendingEnd.task === task.name && pendingEnd.run === task.doneRun) {
      pendingEnd.superseded = true;
    }
  }
};
