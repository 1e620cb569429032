import { randomBytes } from 'node:crypto';
import { expect } from 'earl';
import { BROKEN, sendJson } from '../lib/platform/desk-client.js';
import { FLEET_HOST, FleetEstate } from '../lib/platform/fleet-estate.js';
import { StoreMode } from '../lib/platform/table-store.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

const newId = (): string => randomBytes(8).toString('hex');

const job = (runMs: number, count = 2, isVolatile = true): object => ({
  ...(isVolatile ? { best_effort: true } : {}),
  spec: String(runMs),
  steps: [{ count, cpu: 1600, mem_mb: 64, estimate_ms: runMs }],
});

const submit = (
  estate: FleetEstate,
  entry: number,
  body: object,
  id = newId(),
): Promise<number> =>
  sendJson(`${estate.frontOf(entry)}/short/${id}`, FLEET_HOST, body);

const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

const stateOf = async (
  estate: FleetEstate,
  entry: number,
  id: string,
): Promise<string> => {
  const { state } = await estate.readState(entry, `/short/${id}`);
  return state;
};

const untilState = async (
  estate: FleetEstate,
  entry: number,
  id: string,
  wanted: string,
): Promise<string> => {
  const endsAt = Date.now() + 12_000;
  for (;;) {
    const state = await stateOf(estate, entry, id);
    if (state === wanted || Date.now() > endsAt) {
      return state;
    }
    await delay(100);
  }
};

/** Number of runs that overlap a later run of the same task on any worker. */
const overlaps = (estate: FleetEstate): number => {
  const starts = estate.workers.flatMap((worker) => worker.starts);
  return starts.filter((a) =>
    starts.some(
      (b) =>
        a !== b &&
        a.task === b.task &&
        a.startedAtMs <= b.startedAtMs &&
        b.startedAtMs < a.endedAtMs,
    ),
  ).length;
};

const withEstate = async (
  check: (estate: FleetEstate) => Promise<void>,
): Promise<void> => {
  const estate = new FleetEstate({ entries: 2, workers: 3 });
  try {
    await estate.start();
    await delay(800);
    await check(estate);
  } finally {
    await estate.close();
  }
};

it('fleet: a volatile job is answered when it ends, and each task runs once', () =>
  withEstate(async (estate) => {
    // Each wave fits into the capacity of the workers, so no job may be refused.
    for (let wave = 0; wave < 4; wave += 1) {
      const statuses = await Promise.all(
        Array.from({ length: 9 }, (_, i) => submit(estate, i % 2, job(50, 3))),
      );
      expect(new Set(statuses)).toEqual(new Set([HTTP_OK]));
    }
    const starts = estate.workers.flatMap((worker) => worker.starts);
    expect(starts.length).toEqual(108);
    expect(overlaps(estate)).toEqual(0);
  }));

it('fleet: a recorded job completes after the entry that accepted it is killed', () =>
  withEstate(async (estate) => {
    const id = newId();
    expect(await submit(estate, 0, job(1500, 4, false), id)).toEqual(HTTP_OK);
    await delay(300);
    estate.signal('entry', 0, 'SIGKILL');
    expect(await untilState(estate, 1, id, 'completed')).toEqual('completed');
    expect(overlaps(estate)).toEqual(0);
  }));

it('fleet: no task runs twice at a time when a worker driver is killed and restarted', () =>
  withEstate(async (estate) => {
    const answers = Array.from({ length: 6 }, (_, i) =>
      submit(estate, i % 2, job(900, 4)),
    );
    await delay(300);
    estate.signal('worker', 0, 'SIGKILL');
    await delay(200);
    estate.restart('worker', 0);
    const statuses = await Promise.all(answers);
    expect(statuses.every((status) => status === HTTP_OK)).toEqual(true);
    expect(overlaps(estate)).toEqual(0);
  }));

it('fleet: a resend to another entry starts no run beside one that is still active', () =>
  withEstate(async (estate) => {
    const id = newId();
    const first = submit(estate, 0, job(2500, 3), id);
    await delay(300);
    estate.signal('entry', 0, 'SIGKILL');
    expect(await first).toEqual(BROKEN);
    await delay(1300);
    expect(await submit(estate, 1, job(300, 3), id)).toEqual(HTTP_OK);
    expect(overlaps(estate)).toEqual(0);
  }));

it('fleet: while the store is unavailable volatile jobs run and others are refused', () =>
  withEstate(async (estate) => {
    estate.store.mode = StoreMode.Busy;
    await delay(1500);
    expect(await submit(estate, 0, job(50))).toEqual(HTTP_OK);
    expect(await submit(estate, 0, job(50, 1, false))).toEqual(
      HTTP_UNAVAILABLE,
    );
    estate.store.mode = StoreMode.Serving;
    await delay(1500);
    expect(await submit(estate, 0, job(50, 1, false))).toEqual(HTTP_OK);
  }));

it('fleet: a planned stop of an entry completes its open requests', () =>
  withEstate(async (estate) => {
    const answers = Array.from({ length: 5 }, () =>
      submit(estate, 0, job(1200)),
    );
    await delay(200);
    estate.signal('entry', 0, 'SIGTERM');
    expect(new Set(await Promise.all(answers))).toEqual(new Set([HTTP_OK]));
  }));

it('fleet: a task runs once when the answers to its starts are lost', () =>
  withEstate(async (estate) => {
    const [worker] = estate.workers;
    if (worker) {
      worker.losesAnswers = true;
    }
    const statuses = await Promise.all(
      Array.from({ length: 8 }, (_, i) => submit(estate, i % 2, job(200))),
    );
    expect(new Set(statuses)).toEqual(new Set([HTTP_OK]));
    expect(overlaps(estate)).toEqual(0);
  }));
