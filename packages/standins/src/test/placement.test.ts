import { WorkerSubset, chooseWorker } from '@sapphiremux/core';
import type { Candidate, Room } from '@sapphiremux/core';
import { expect } from 'earl';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EventQueue } from '../lib/sim/event-queue.js';

const SEED = 1;
const ENTRIES = 6;
const WORKERS = 18;
const DATA_CENTRES = 6;
const NEEDS: Room = { cpuMilli: 2500, memoryMb: 64, accelerators: 0 };
/** Sizes and speeds of the workers on the sheet of the large levy desk. */
const CAPACITIES_MILLI = [16_000, 16_000, 24_000];
const SLOWNESS = [1, 1, 1.3];
const REPORT_INTERVAL_MS = 100;
const DURATION_MS = 20_000;
/** Kinds of jobs of the levy desk: share, number of tasks and run time. */
const KINDS = [
  { share: 0.24, width: 8, runMs: 86 },
  { share: 0.04, width: 4, runMs: 1286 },
  { share: 0.72, width: 2, runMs: 286 },
];
const LOAD = 0.59;

interface SimWorker {
  readonly name: string;
  readonly dataCentre: string;
  readonly capacityMilli: number;
  readonly slowness: number;
  usedMilli: number;
}

/** A worker as an entry knows it. */
interface View extends Candidate {
  readonly worker: SimWorker;
  free: Room;
  /** Runs that the last report does not include. */
  unreported: number;
}

const room = (cpuMilli: number): Room => ({ ...NEEDS, cpuMilli });

/**
 * Replays steady load on entries that place at the same time, with knowledge of
 * the free capacity that is some milliseconds old.
 *
 * @param hasPreferences - Whether entries prefer workers.
 * @param transitMs - Mean time of an order or a report.
 * @returns Share of the starts that find no capacity at the worker.
 */
const refusedShare = (hasPreferences: boolean, transitMs: number): number => {
  const queue = new EventQueue();
  const generator = xoroshiro128plus(SEED);
  const random = (): number => uniformFloat64(generator);
  const after = (ms: number, run: () => void): void => {
    queue.after(ms, run);
  };
  const transit = (): number => transitMs * (0.5 + random());
  const dataCentreOf = (index: number): string =>
    `dc${String(index % DATA_CENTRES)}`;
  const workers: SimWorker[] = Array.from({ length: WORKERS }, (_, i) => ({
    name: `w${String(i)}`,
    dataCentre: dataCentreOf(i),
    capacityMilli: CAPACITIES_MILLI[i % 3] ?? 0,
    slowness: SLOWNESS[Math.floor(i / 3) % 3] ?? 1,
    usedMilli: 0,
  }));
  const names = Array.from({ length: ENTRIES }, (_, i) => ({
    name: `e${String(i)}`,
    dataCentre: dataCentreOf(i),
  }));
  let placed = 0;
  let refused = 0;
  const candidates = workers.map((worker) => ({
    ...worker,
    service: '',
    countsTowardsSubset: true,
  }));
  const startEntry = (own: (typeof names)[number]): void => {
    const others = names.filter((other) => other !== own);
    const { name: entry, dataCentre } = own;
    const subset = new WorkerSubset({ entry, dataCentre });
    const preferred = subset.preferred(candidates, others);
    const views: View[] = workers.map((worker) => ({
      ...worker,
      worker,
      free: room(worker.capacityMilli),
      capacity: room(worker.capacityMilli),
      labels: [],
      hasPendingOrder: false,
      isEjected: false,
      hasSuspect: false,
      isPreferred: hasPreferences && preferred.has(worker.name),
      unreported: 0,
    }));
    const report = (view: View): void => {
      const freeMilli = view.worker.capacityMilli - view.worker.usedMilli;
      after(transit(), () => {
        view.free = room(freeMilli - view.unreported * NEEDS.cpuMilli);
      });
    };
    const place = (runMs: number): void => {
      const requirements = {
        needs: NEEDS,
        requires: undefined,
        affinity: undefined,
        remoteDataFactor: 1,
        avoidedWorkers: new Set<string>(),
        reserve: () => 0,
        dataCentre,
      };
      const view = chooseWorker(requirements, views, random);
      if (!view) {
        after(REPORT_INTERVAL_MS / 10, () => {
          place(runMs);
        });
        return;
      }
      placed += 1;
      view.unreported += 1;
      view.free = room(view.free.cpuMilli - NEEDS.cpuMilli);
      after(transit(), () => {
        start(view, runMs);
      });
    };
    const start = (view: View, runMs: number): void => {
      const { worker } = view;
      view.unreported -= 1;
      if (worker.usedMilli + NEEDS.cpuMilli > worker.capacityMilli) {
        refused += 1;
        report(view);
        after(transit(), () => {
          place(runMs);
        });
        return;
      }
      worker.usedMilli += NEEDS.cpuMilli;
      after(runMs * worker.slowness * (0.6 + 0.8 * random()), () => {
        worker.usedMilli -= NEEDS.cpuMilli;
        report(view);
      });
    };
    const reportAll = (): void => {
      views.forEach(report);
      after(REPORT_INTERVAL_MS, reportAll);
    };
    const submit = (): void => {
      let remaining = random();
      const kind = KINDS.find((k) => (remaining -= k.share) < 0) ?? KINDS[2];
      for (let task = 0; kind && task < kind.width; task += 1) {
        place(kind.runMs);
      }
      after(-Math.log(1 - random()) * meanIntervalMs, submit);
    };
    reportAll();
    submit();
  };
  const workOfJob = KINDS.reduce(
    (sum, k) => sum + k.share * k.width * k.runMs,
    0,
  );
  const capacityMilli = workers.reduce(
    (sum, w) => sum + w.capacityMilli / w.slowness,
    0,
  );
  const meanIntervalMs =
    (ENTRIES * workOfJob * NEEDS.cpuMilli) / (LOAD * capacityMilli);
  names.forEach(startEntry);
  queue.runUntil(DURATION_MS);
  return refused / placed;
};

it('preferred workers halve the starts that another entry has forestalled', () => {
  for (const transitMs of [2, 4, 10]) {
    const without = refusedShare(false, transitMs);
    expect(refusedShare(true, transitMs)).toBeLessThan(without / 2);
  }
});
