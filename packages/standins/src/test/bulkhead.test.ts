import { CrashBulkhead, CrashLedger, chooseWorker } from '@sapphiremux/core';
import type { Candidate, Room } from '@sapphiremux/core';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EventQueue } from '../lib/sim/event-queue.js';

/** Kinds of jobs of a small site: jobs a second, tasks and their run time. */
const KINDS = [
  { queue: 'check', perSecond: 24.1, width: 8, runMs: 86 },
  { queue: 'swap', perSecond: 4.4, width: 4, runMs: 1286 },
  { queue: 'renewal', perSecond: 70, width: 2, runMs: 286 },
];
const DEADLY_QUEUE = 'check';
const DEADLY_SHARE = 0.1;
const DEADLY_DELAY_MS = 10;
const DEADLY_FROM_MS = 5000;
const DEADLY_UNTIL_MS = 15_000;
const DURATION_MS = 20_000;
const WORKERS = 11;
const CAPACITY_MILLI = 18_600;
const NEEDS: Room = { cpuMilli: 1600, memoryMb: 64, accelerators: 0 };
/** Time from a crash until the worker is back. */
const RESTART_MS = 3200;
/** Time from a crash until its runs are known to have ended. */
const DETECTION_MS = 1100;
/** Time after which callers give up, as a factor on the run time, and a bound. */
const PATIENCE_FACTOR = 5;
const MIN_PATIENCE_MS = 2000;

interface Job {
  readonly id: string;
  readonly queue: string;
  readonly runMs: number;
  readonly isDeadly: boolean;
  readonly giveUpAtMs: number;
  left: number;
  isOver: boolean;
}

interface Run {
  readonly job: Job;
  readonly task: string;
  readonly startedAtMs: number;
  isActive: boolean;
}

interface Worker extends Candidate {
  free: Room;
  hasSuspect: boolean;
  isUp: boolean;
  life: number;
  runs: Run[];
}

const room = (cpuMilli: number): Room => ({ ...NEEDS, cpuMilli });

/**
 * Replays ten seconds in which a tenth of the jobs of one queue has a task that
 * crashes the worker that starts it.
 *
 * @param hasBulkhead - Whether such queues are confined.
 * @returns Share of the jobs of each queue that complete for their callers.
 */
const servedShares = (
  hasBulkhead: boolean,
  seed: number,
): Record<string, number> => {
  const queue = new EventQueue();
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const ledger = new CrashLedger();
  const bulkhead = new CrashBulkhead();
  const workers = Array.from({ length: WORKERS }, (_, index): Worker => ({
    name: `w${String(index)}`,
    dataCentre: 'dc',
    free: room(CAPACITY_MILLI),
    capacity: room(CAPACITY_MILLI),
    labels: [],
    slowness: 1,
    hasPendingOrder: false,
    isEjected: false,
    isPreferred: false,
    hasSuspect: false,
    isUp: true,
    life: 1,
    runs: [],
  }));
  const services = workers.map(({ name }) => ({ name, service: 's' }));
  let waiting: { readonly job: Job; readonly task: string }[] = [];
  const offered = new Map<string, number>();
  const served = new Map<string, number>();
  const count = (counts: Map<string, number>, key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  };

  const place = (): void => {
    bulkhead.release(queue.nowMs);
    const confinedTo = bulkhead.workers(services);
    const isLate = ({ job }: { readonly job: Job }): boolean =>
      job.isOver || queue.nowMs > job.giveUpAtMs;
    waiting = waiting.filter((entry) => !isLate(entry));
    waiting = waiting.filter(({ job, task }) => {
      const isConfined = bulkhead.isConfined(job.queue);
      const worker = chooseWorker(
        {
          needs: NEEDS,
          requires: undefined,
          affinity: undefined,
          remoteDataFactor: 1,
          avoidedWorkers: isConfined ? new Set() : confinedTo,
          reserve: () => 0,
          dataCentre: 'dc',
        },
        workers.filter(
          ({ name, isUp }) => isUp && (!isConfined || confinedTo.has(name)),
        ),
        random,
      );
      if (worker) {
        start(worker, job, task);
      }
      return worker === undefined;
    });
  };

  const start = (worker: Worker, job: Job, task: string): void => {
    const run = { job, task, startedAtMs: queue.nowMs, isActive: true };
    worker.runs.push(run);
    worker.free = room(worker.free.cpuMilli - NEEDS.cpuMilli);
    worker.hasSuspect ||= ledger.isSuspect(task);
    const isDeadly = job.isDeadly && task.endsWith('.0');
    const runMs = job.runMs * (0.6 + 0.8 * random());
    queue.after(isDeadly ? DEADLY_DELAY_MS : runMs, () => {
      if (!run.isActive) {
        return;
      }
      if (isDeadly) {
        crash(worker);
        return;
      }
      end(worker, run);
      job.left -= 1;
      if (job.left === 0 && !job.isOver && queue.nowMs <= job.giveUpAtMs) {
        count(served, job.queue);
      }
      place();
    });
  };

  const end = (worker: Worker, run: Run): void => {
    run.isActive = false;
    worker.runs = worker.runs.filter((other) => other !== run);
    worker.free = room(worker.free.cpuMilli + NEEDS.cpuMilli);
    worker.hasSuspect = worker.runs.some(({ task }) => ledger.isSuspect(task));
  };

  const crash = (worker: Worker): void => {
    const lost = [...worker.runs];
    const life = String(worker.life);
    const runs = lost.map(({ task, job, startedAtMs }) => ({
      task,
      run: 1,
      queue: job.queue,
      activeMs: queue.nowMs - startedAtMs,
      uncertaintyMs: 0,
    }));
    lost.forEach((run) => {
      end(worker, run);
    });
    worker.isUp = false;
    worker.life += 1;
    queue.after(RESTART_MS, () => {
      worker.isUp = true;
      place();
    });
    queue.after(DETECTION_MS, () => {
      ledger.add(worker.name, { life, runs });
      if (hasBulkhead) {
        bulkhead.onCrash(runs, queue.nowMs);
      }
      for (const { job, task } of lost) {
        job.isOver ||=
          ledger.isGivenUp(task, true) || bulkhead.isConfined(job.queue);
        waiting.push({ job, task });
      }
      place();
    });
  };

  const submit = (kind: (typeof KINDS)[number], number: number): void => {
    const now = queue.nowMs;
    const isInWave = now > DEADLY_FROM_MS && now < DEADLY_UNTIL_MS;
    const job: Job = {
      id: `${kind.queue}${String(number)}`,
      queue: kind.queue,
      runMs: kind.runMs,
      isDeadly:
        isInWave && kind.queue === DEADLY_QUEUE && random() < DEADLY_SHARE,
      giveUpAtMs: now + Math.max(MIN_PATIENCE_MS, PATIENCE_FACTOR * kind.runMs),
      left: kind.width,
      isOver: false,
    };
    if (!job.isDeadly) {
      count(offered, kind.queue);
    }
    for (let index = 0; index < kind.width; index += 1) {
      waiting.push({ job, task: `${job.id}.0.0.${String(index)}` });
    }
    place();
    const intervalMs = (-Math.log(1 - random()) * 1000) / kind.perSecond;
    queue.after(intervalMs, () => {
      submit(kind, number + 1);
    });
  };

  KINDS.forEach((kind) => {
    submit(kind, 0);
  });
  queue.runUntil(DURATION_MS);
  return Object.fromEntries(
    KINDS.map(({ queue: name }) => [
      name,
      (served.get(name) ?? 0) / (offered.get(name) ?? 1),
    ]),
  );
};

// Guards against crashes under one queue that take the workers of all others.
it('a bulkhead halves the loss of other queues while one crashes workers', () => {
  for (const seed of [1, 2, 3]) {
    const without = servedShares(false, seed);
    const shares = servedShares(true, seed);
    for (const name of ['swap', 'renewal']) {
      const lostBefore = 1 - (without[name] ?? 0);
      const lost = 1 - (shares[name] ?? 0);
      expect(lost).toBeLessThanOrEqual(lostBefore / 2);
    }
  }
});
