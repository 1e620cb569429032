import {
  OverdueReason,
  StallDetector,
  WorkerHealth,
  chooseWorker,
  longAfterMs,
  maxSlownessOf,
  stalledAfterMs,
} from '@sapphiremux/core';
import type { Candidate, Room } from '@sapphiremux/core';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EventQueue } from '../lib/sim/event-queue.js';

/** Kinds of jobs of the deployment with uneven workers, for the whole fleet. */
const KINDS = [
  { queue: 'short', perSecond: 127, width: 8, runMs: 73 },
  { queue: 'middle', perSecond: 369, width: 2, runMs: 243 },
  { queue: 'long', perSecond: 23, width: 4, runMs: 1086 },
];
const FLEET_WORKERS = 71;
const WORKERS = 12;
const ENTRIES = 2;
const SPEEDS = [0.6, 1, 1.6];
const CAPACITIES_MILLI = [16_000, 24_000];
const NEEDS: Room = { cpuMilli: 1700, memoryMb: 64, accelerators: 0 };
const SWING = { share: 0.55, periodMs: 13_000 };
const ESTIMATE_ERROR = 0.4;
const TASK_DEVIATION = 0.15;
const LONG_TASKS = { share: 0.03, factor: 7 };
const OBJECTIVE = { stretch: 1.6, slackMs: 60 };
const LATE_FACTOR = 3;
const LATE_UTILITY = 0.2;
const TRANSIT_MS = 4;
const TICK_MS = 50;
const WARM_UP_MS = 6000;
const DURATION_MS = 32_000;

interface Options {
  /** Whether tasks are matched to workers by slack; otherwise by speed alone. */
  readonly matches: boolean;
  /** Whether long tasks are told from stalled ones. */
  readonly tellsLong: boolean;
  readonly hasLongTasks: boolean;
  /** Share of the tasks that stand still at one worker for some seconds. */
  readonly stallShare: number;
  /** Factor on the usual rate of jobs. */
  readonly load: number;
  readonly seed: number;
}

interface Job {
  readonly kind: (typeof KINDS)[number];
  readonly id: string;
  readonly estimateMs: number;
  readonly atMs: number;
  readonly objectiveMs: number;
  readonly isCounted: boolean;
  left: number;
}

interface Task {
  readonly job: Job;
  readonly workMs: number;
  readonly avoidedWorkers: Set<string>;
  stops: number;
}

interface Run {
  readonly task: Task;
  readonly view: View;
  readonly sinceMs: number;
  readonly isStalling: boolean;
  isStopped: boolean;
}

interface SimWorker {
  readonly name: string;
  readonly speed: number;
  readonly capacityMilli: number;
  usedMilli: number;
}

/** A worker as an entry knows it. */
interface View extends Candidate {
  readonly worker: SimWorker;
  readonly runs: Set<Run>;
  free: Room;
  slowness: number;
  hasPendingOrder: boolean;
  isEjected: boolean;
}

const STALL = { worker: 'w3', fromMs: 15_000, untilMs: 20_000 };

const room = (cpuMilli: number): Room => ({ ...NEEDS, cpuMilli });

/** Replays swings of load on workers of different speeds. */
class Replay {
  /** Utility of the jobs of each queue after the warm-up. */
  readonly utility = new Map<string, number>();
  readonly onTime = new Map<string, number>();
  readonly offered = new Map<string, number>();
  /** Processor time of all runs, and of those that were stopped. */
  workMs = 0;
  wastedMs = 0;
  /** Times from the limit of each stalled run until it was stopped. */
  readonly stopDelaysMs: number[] = [];
  private readonly _queue = new EventQueue();
  /** Random numbers of the load, the same for all ways of placement. */
  private readonly _random: () => number;
  private readonly _choiceRandom: () => number;
  private readonly _options: Options;
  private readonly _workers: SimWorker[];

  constructor(options: Options) {
    this._options = options;
    this._random = randomFrom(options.seed);
    this._choiceRandom = randomFrom(-options.seed);
    this._workers = Array.from({ length: WORKERS }, (_, index) => ({
      name: `w${String(index)}`,
      speed: SPEEDS[index % 3] ?? 1,
      capacityMilli: CAPACITIES_MILLI[Math.floor(index / 3) % 2] ?? 0,
      usedMilli: 0,
    }));
    for (let entry = 0; entry < ENTRIES; entry += 1) {
      this._startEntry(entry);
    }
    this._queue.runUntil(DURATION_MS);
  }

  meanOf(values: ReadonlyMap<string, number>): number {
    const sum = (counts: ReadonlyMap<string, number>): number =>
      [...counts.values()].reduce((total, value) => total + value, 0);
    return sum(values) / sum(this.offered);
  }

  private _normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this._random()));
    return radius * Math.cos(2 * Math.PI * this._random());
  }

  private _startEntry(entry: number): void {
    const { matches, tellsLong } = this._options;
    const queue = this._queue;
    const health = new WorkerHealth();
    const stalls = new StallDetector();
    const views = this._workers.map((worker): View => ({
      worker,
      name: worker.name,
      runs: new Set(),
      dataCentre: 'dc',
      free: room(worker.capacityMilli),
      capacity: room(worker.capacityMilli),
      labels: [],
      slowness: 1,
      hasPendingOrder: false,
      isEjected: false,
      hasSuspect: false,
      // The workers of each speed are divided among the entries.
      isPreferred:
        Math.floor(Number(worker.name.slice(1)) / 3) % ENTRIES === entry,
    }));
    let waiting: Task[] = [];

    const expectedMsOf = ({ kind, estimateMs }: Job): number =>
      health.expectedMs(kind.queue, estimateMs);

    /** Time until the job is late or, if it is late already, of no use. */
    const dueInMsOf = (job: Job): number => {
      const { stretch, slackMs } = OBJECTIVE;
      const expectedMs = expectedMsOf(job);
      const objectiveMs = stretch * expectedMs + slackMs;
      const passedMs = queue.nowMs - job.atMs;
      return passedMs + expectedMs <= objectiveMs
        ? objectiveMs - passedMs
        : LATE_FACTOR * objectiveMs - passedMs;
    };

    const place = (): void => {
      const now = queue.nowMs;
      let capacityMilli = 0;
      let freeMilli = 0;
      for (const view of views) {
        view.slowness = health.slowness(view.name);
        view.isEjected = health.isEjected(view.name, now);
        view.hasPendingOrder = false;
        capacityMilli += view.capacity.cpuMilli;
        freeMilli += view.free.cpuMilli;
      }
      waiting = waiting
        .map((task) => ({
          task,
          slackMs: dueInMsOf(task.job) - expectedMsOf(task.job),
        }))
        .sort((a, b) => a.slackMs - b.slackMs)
        .map(({ task }) => task)
        .filter((task) => {
          const view = chooseWorker(
            {
              needs: NEEDS,
              requires: undefined,
              affinity: undefined,
              remoteDataFactor: 1,
              avoidedWorkers: task.avoidedWorkers,
              reserve: () => 0,
              dataCentre: 'dc',
              usedShare: 1 - freeMilli / capacityMilli,
              maxSlowness: matches
                ? maxSlownessOf({
                    dueInMs: dueInMsOf(task.job),
                    expectedMs: expectedMsOf(task.job),
                    laterMs: 0,
                    width: task.job.kind.width,
                  })
                : undefined,
            },
            views,
            this._choiceRandom,
          );
          if (view) {
            view.free = room(view.free.cpuMilli - NEEDS.cpuMilli);
            view.hasPendingOrder = true;
            start(task, view);
          }
          return view === undefined;
        });
    };

    const start = (task: Task, view: View): void => {
      const { worker } = view;
      const { stallShare } = this._options;
      const now = queue.nowMs;
      const isStalling =
        worker.name === STALL.worker &&
        now > STALL.fromMs &&
        now < STALL.untilMs &&
        this._choiceRandom() < stallShare;
      const run = { task, view, sinceMs: now, isStalling, isStopped: false };
      view.runs.add(run);
      queue.after(TRANSIT_MS, () => {
        if (worker.usedMilli + NEEDS.cpuMilli > worker.capacityMilli) {
          queue.after(TRANSIT_MS, () => {
            view.runs.delete(run);
            waiting.push(task);
          });
          return;
        }
        worker.usedMilli += NEEDS.cpuMilli;
        if (!isStalling) {
          queue.after(task.workMs / worker.speed, () => {
            finish(run);
          });
        }
      });
    };

    const finish = (run: Run): void => {
      if (run.isStopped) {
        return;
      }
      const { task, view, sinceMs } = run;
      const { job } = task;
      const { queue: name } = job.kind;
      view.worker.usedMilli -= NEEDS.cpuMilli;
      this.workMs += queue.nowMs - sinceMs;
      queue.after(TRANSIT_MS, () => {
        const now = queue.nowMs;
        view.runs.delete(run);
        stalls.onDone(view.name, sinceMs, now);
        const fields = { queue: name, worker: view.name, job: job.id };
        health.onDone(fields, job.estimateMs, now - sinceMs);
        job.left -= 1;
        if (job.left === 0 && job.isCounted) {
          const tookMs = now - job.atMs;
          if (tookMs <= job.objectiveMs) {
            count(this.onTime, name, 1);
            count(this.utility, name, 1);
          } else if (tookMs <= LATE_FACTOR * job.objectiveMs) {
            count(this.utility, name, LATE_UTILITY);
          }
        }
        place();
      });
    };

    const stopOverdue = (view: View): void => {
      const now = queue.nowMs;
      const overdue = [...view.runs].flatMap((run) => {
        const timing = {
          expectedMs: expectedMsOf(run.task.job),
          slowness: health.slowness(view.name),
          earlierStops: run.task.stops,
        };
        const isOverdue = now - run.sinceMs > stalledAfterMs(timing);
        return isOverdue ? [{ run, timing }] : [];
      });
      const active = view.runs.size;
      const runs = { worker: view.name, active, overdue: overdue.length };
      for (const { run, timing } of overdue) {
        const isLong =
          tellsLong &&
          stalls.reasonOf(runs, run.sinceMs, now) === OverdueReason.Long;
        if (!isLong) {
          stalls.onStalled(view.name, now);
          health.onFailed(view.name, now);
        }
        const ranMs = now - run.sinceMs;
        if (!isLong || ranMs > longAfterMs(timing)) {
          stop(run);
          if (run.isStalling) {
            this.stopDelaysMs.push(ranMs - stalledAfterMs(timing));
          }
        }
      }
    };

    const stop = (run: Run): void => {
      const { task, view, sinceMs, isStalling } = run;
      const ranMs = queue.nowMs - sinceMs;
      run.isStopped = true;
      view.runs.delete(run);
      view.worker.usedMilli -= NEEDS.cpuMilli;
      this.workMs += ranMs;
      this.wastedMs += isStalling ? 0 : ranMs;
      task.stops += 1;
      task.avoidedWorkers.add(view.name);
      waiting.push(task);
    };

    const report = (view: View): void => {
      const freeMilli = view.worker.capacityMilli - view.worker.usedMilli;
      queue.after(TRANSIT_MS, () => {
        view.free = room(freeMilli);
      });
    };

    const tick = (): void => {
      views.forEach(stopOverdue);
      views.forEach(report);
      place();
      queue.after(TICK_MS, tick);
    };

    KINDS.forEach((kind) => {
      this._submit(kind, (tasks) => {
        waiting.push(...tasks);
        place();
      });
    });
    tick();
  }

  private _submit(
    kind: (typeof KINDS)[number],
    accept: (tasks: Task[]) => void,
  ): void {
    const now = this._queue.nowMs;
    const phase = (2 * Math.PI * now) / SWING.periodMs;
    const perMs =
      (this._options.load *
        kind.perSecond *
        WORKERS *
        (1 + SWING.share * Math.sin(phase))) /
      (1000 * FLEET_WORKERS * ENTRIES);
    const job: Job = {
      kind,
      id: String(this._random()),
      estimateMs: kind.runMs * Math.exp(ESTIMATE_ERROR * this._normal()),
      atMs: now,
      objectiveMs: OBJECTIVE.stretch * kind.runMs + OBJECTIVE.slackMs,
      isCounted: now > WARM_UP_MS && now < DURATION_MS - WARM_UP_MS,
      left: kind.width,
    };
    const tasks = Array.from({ length: kind.width }, (): Task => {
      const isLong =
        this._options.hasLongTasks && this._random() < LONG_TASKS.share;
      const deviation = Math.max(0.5, 1 + TASK_DEVIATION * this._normal());
      return {
        job,
        workMs: kind.runMs * deviation * (isLong ? LONG_TASKS.factor : 1),
        avoidedWorkers: new Set(),
        stops: 0,
      };
    });
    if (job.isCounted) {
      count(this.offered, kind.queue, 1);
    }
    accept(tasks);
    this._queue.after(-Math.log(1 - this._random()) / perMs, () => {
      this._submit(kind, accept);
    });
  }
}

const randomFrom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const count = (
  counts: Map<string, number>,
  key: string,
  amount: number,
): void => {
  counts.set(key, (counts.get(key) ?? 0) + amount);
};

const replay = (options: Partial<Options>): Replay =>
  new Replay({
    matches: true,
    tellsLong: true,
    hasLongTasks: false,
    stallShare: 0,
    load: 1,
    seed: 1,
    ...options,
  });

const SEEDS = [1, 2, 3, 4];

const meanOver = (
  options: Partial<Options>,
  valueOf: (result: Replay) => number,
): number =>
  SEEDS.reduce((sum, seed) => sum + valueOf(replay({ ...options, seed })), 0) /
  SEEDS.length;

const onTimeShareOf =
  (queue: string) =>
  (result: Replay): number =>
    (result.onTime.get(queue) ?? 0) / (result.offered.get(queue) ?? 1);

// Guards against long tasks that miss their objective on slow workers while
// short ones, which could afford these, take the fast workers.
it('matching slack to speed halves the late jobs of long tasks, at no cost to short ones', () => {
  const shareOf = (queue: string, matches: boolean): number =>
    meanOver({ matches }, onTimeShareOf(queue));
  const lateWithout = 1 - shareOf('long', false);
  expect(1 - shareOf('long', true)).toBeLessThan(lateWithout / 2);
  expect(shareOf('short', true)).toBeGreaterThan(
    shareOf('short', false) - 0.01,
  );
});

// Guards against tasks that wait for fast workers while capacity is scarce.
it('matching slack to speed makes no fewer jobs on time near an overload', () => {
  const shareOf = (matches: boolean): number =>
    meanOver({ matches, load: 1.3 }, (result) => result.meanOf(result.onTime));
  expect(shareOf(true)).toBeGreaterThan(shareOf(false) - 0.005);
});

// Guards against tasks that take seven times as long anywhere and are stopped
// and started from the beginning.
it('telling long tasks from stalled ones halves the work that is thrown away', () => {
  const wastedShare = (tellsLong: boolean): number =>
    meanOver(
      { tellsLong, hasLongTasks: true },
      ({ wastedMs, workMs }) => wastedMs / workMs,
    );
  expect(wastedShare(true)).toBeLessThan(wastedShare(false) / 2);
});

// Guards against stalled runs that count as long, because other tasks at the
// worker go on or did so until shortly before.
it('stalled runs are stopped at their limit, also if only some tasks there stall', () => {
  for (const stallShare of [0.3, 1]) {
    const delaysMs = SEEDS.flatMap(
      (seed) => replay({ stallShare, hasLongTasks: true, seed }).stopDelaysMs,
    );
    const late = delaysMs.filter((delayMs) => delayMs > 2 * TICK_MS);
    expect(delaysMs.length).toBeGreaterThan(20);
    expect(late.length / delaysMs.length).toBeLessThan(0.15);
  }
});
