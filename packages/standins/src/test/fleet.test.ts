import { request } from 'node:http';
import { expect } from 'earl';
import { waitUntil } from '../lib/local-cluster.js';
import { CONNECTION_FAILED } from '../lib/platform/desk-client.js';
import type { FleetCluster } from '../lib/platform/fleet-cluster.js';
import { FLEET_HOST } from '../lib/platform/fleet-settings.js';
import { TableStoreMode } from '../lib/platform/table-store.js';
import {
  countOverlaps,
  delay,
  job,
  newId,
  submit,
  withCluster,
} from './cluster-checks.js';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Submits a job and closes the connection after some time. */
const submitAndLeave = async (
  cluster: FleetCluster,
  entry: number,
  body: object,
  afterMs: number,
  id = newId(),
): Promise<void> => {
  const req = request(`${cluster.frontUrl(entry)}/short/${id}`, {
    method: 'POST',
    headers: { host: FLEET_HOST, 'content-type': 'application/json' },
  });
  req.on('error', () => undefined);
  req.end(JSON.stringify(body));
  await delay(afterMs);
  req.destroy();
};

const readState = async (
  cluster: FleetCluster,
  entry: number,
  id: string,
): Promise<string> => {
  const { state } = await cluster.readState(entry, `/short/${id}`);
  return state;
};

const waitForState = async (
  cluster: FleetCluster,
  entry: number,
  id: string,
  wanted: string,
): Promise<string> => {
  const endsAt = Date.now() + 12_000;
  for (;;) {
    const state = await readState(cluster, entry, id);
    if (state === wanted || Date.now() > endsAt) {
      return state;
    }
    await delay(100);
  }
};

it('fleet: a volatile job is answered when it ends, and each task runs once', () =>
  withCluster(async (cluster) => {
    // Each wave fits into the capacity of the workers, so no job may be refused.
    for (let wave = 0; wave < 4; wave += 1) {
      const statuses = await Promise.all(
        Array.from({ length: 9 }, (_, i) => submit(cluster, i % 2, job(50, 3))),
      );
      expect(new Set(statuses)).toEqual(new Set([HTTP_OK]));
    }
    const starts = cluster.workers.flatMap((worker) => worker.starts);
    expect(starts.length).toEqual(108);
    expect(countOverlaps(cluster)).toEqual(0);
  }));

it('fleet: a recorded job completes after the entry that accepted it is killed', () =>
  withCluster(async (cluster) => {
    const id = newId();
    expect(await submit(cluster, 0, job(1500, 4, false), id)).toEqual(HTTP_OK);
    await delay(300);
    cluster.signal('entry', 0, 'SIGKILL');
    expect(await waitForState(cluster, 1, id, 'completed')).toEqual(
      'completed',
    );
    expect(countOverlaps(cluster)).toEqual(0);
  }));

it('fleet: no task runs twice at a time when a worker driver is killed and restarted', () =>
  withCluster(async (cluster) => {
    const answers = Array.from({ length: 6 }, (_, i) =>
      submit(cluster, i % 2, job(900, 4)),
    );
    await delay(300);
    cluster.signal('worker', 0, 'SIGKILL');
    await delay(200);
    cluster.restart('worker', 0);
    const statuses = await Promise.all(answers);
    expect(statuses.every((status) => status === HTTP_OK)).toEqual(true);
    expect(countOverlaps(cluster)).toEqual(0);
  }));

it('fleet: a resend to another entry starts no run beside one that is still active', () =>
  withCluster(async (cluster) => {
    const id = newId();
    const first = submit(cluster, 0, job(2500, 3), id);
    await delay(300);
    cluster.signal('entry', 0, 'SIGKILL');
    expect(await first).toEqual(CONNECTION_FAILED);
    await delay(1300);
    expect(await submit(cluster, 1, job(300, 3), id)).toEqual(HTTP_OK);
    expect(countOverlaps(cluster)).toEqual(0);
  }));

it('fleet: while the store is unavailable volatile jobs run and others are refused', () =>
  withCluster(async (cluster) => {
    cluster.store.mode = TableStoreMode.Unavailable;
    await delay(1500);
    expect(await submit(cluster, 0, job(50))).toEqual(HTTP_OK);
    expect(await submit(cluster, 0, job(50, 1, false))).toEqual(
      HTTP_UNAVAILABLE,
    );
    cluster.store.mode = TableStoreMode.Serving;
    await delay(1500);
    expect(await submit(cluster, 0, job(50, 1, false))).toEqual(HTTP_OK);
  }));

it('fleet: a planned stop of an entry completes its open requests', () =>
  withCluster(async (cluster) => {
    const answers = Array.from({ length: 5 }, () =>
      submit(cluster, 0, job(1200)),
    );
    await delay(200);
    cluster.signal('entry', 0, 'SIGTERM');
    expect(new Set(await Promise.all(answers))).toEqual(new Set([HTTP_OK]));
  }));

it('fleet: a task runs once when the answers to its starts are lost', () =>
  withCluster(async (cluster) => {
    const [worker] = cluster.workers;
    if (worker) {
      worker.losesStartReplies = true;
    }
    const statuses = await Promise.all(
      Array.from({ length: 8 }, (_, i) => submit(cluster, i % 2, job(200))),
    );
    expect(new Set(statuses)).toEqual(new Set([HTTP_OK]));
    expect(countOverlaps(cluster)).toEqual(0);
  }));

// A driver that was not scheduled reads the start and the stop together.
it('fleet: a frozen driver begins no run whose stop it has received', () =>
  withCluster(async (cluster) => {
    const drivers = cluster.workers.map((_, index) => index);
    for (const index of drivers) {
      cluster.signal('worker', index, 'SIGSTOP');
    }
    await submitAndLeave(cluster, 0, job(500, 6), 150);
    await delay(100);
    for (const index of drivers) {
      cluster.signal('worker', index, 'SIGCONT');
    }
    await delay(800);
    expect(cluster.workers.flatMap(({ starts }) => starts)).toEqual([]);
    // The workers are served again.
    expect(await submit(cluster, 0, job(50, 6))).toEqual(HTTP_OK);
  }));

// The entry can't tell that its caller has left and has gone elsewhere.
it('fleet: the runs of a frozen entry end before its callers submit again', () =>
  withCluster(async (cluster) => {
    const ids = Array.from({ length: 3 }, newId);
    const gone = ids.map((id) =>
      submitAndLeave(cluster, 0, job(2500, 2), 200, id),
    );
    await delay(150);
    cluster.signal('entry', 0, 'SIGSTOP');
    await Promise.all(gone);
    await delay(1300);
    const again = ids.map((id) => submit(cluster, 1, job(600, 2), id));
    await delay(300);
    cluster.signal('entry', 0, 'SIGCONT');
    const statuses = new Set(await Promise.all(again));
    expect(statuses).toEqual(new Set([HTTP_OK]));
    const starts = cluster.workers.flatMap((worker) => worker.starts);
    expect(starts.length >= 12).toEqual(true);
    expect(countOverlaps(cluster)).toEqual(0);
  }));

// Guards against a start that is executed after a restart, while its task runs
// elsewhere.
it('fleet: a start that a worker executes after a restart runs beside no other one', () =>
  withCluster(async (cluster) => {
    const [worker] = cluster.workers;
    if (!worker) {
      throw new Error('the cluster has no worker');
    }
    worker.holdsStarts = true;
    const id = newId();
    expect(await submit(cluster, 0, job(900, 12, false), id)).toEqual(HTTP_OK);
    await waitUntil(() => Promise.resolve(worker.heldStarts.length > 0));
    expect(worker.heldStarts.length > 0).toEqual(true);
    await worker.close();
    await delay(300);
    const next = await cluster.replaceWorker(0);
    await delay(600);
    await Promise.all(worker.heldStarts.map((req) => next.executeHeld(req)));
    expect(await waitForState(cluster, 0, id, 'completed')).toEqual(
      'completed',
    );
    expect(countOverlaps(cluster)).toEqual(0);
  }));

// Guards against an acknowledgement that was meant for the worker before its
// restart, and makes it forget the end of a run that nobody has read.
it('fleet: ends of a restarted worker are read before they are acknowledged', () =>
  withCluster(async (cluster) => {
    const workers = [...cluster.workers];
    const [worker] = workers;
    if (!worker) {
      throw new Error('the cluster has no worker');
    }
    // Some ends of the worker have been acknowledged.
    const jobs = Array.from({ length: 60 }, () => newId());
    const submitAll = async (ids: readonly string[]): Promise<void> => {
      for (const id of ids) {
        void submit(cluster, 0, job(10, 6, false), id);
        await delay(25);
      }
    };
    await submitAll(jobs.slice(0, 20));
    worker.holdsStarts = true;
    worker.holdsPolls = true;
    await submitAll(jobs.slice(20));
    await worker.close();
    const next = await cluster.replaceWorker(0, { firstHeartbeatMs: 1000 });
    workers.push(next);
    await Promise.all(worker.heldStarts.map((req) => next.executeHeld(req)));
    await delay(30);
    await Promise.all(worker.heldPolls.map((req) => next.executeHeld(req)));
    for (const id of jobs) {
      expect(await waitForState(cluster, 0, id, 'completed')).toEqual(
        'completed',
      );
    }
    const starts = workers.flatMap((each) => each.starts);
    const repeated = starts.filter((done) =>
      starts.some(
        (later) =>
          done.endKind === 'done' &&
          done.isAcknowledged &&
          later.task === done.task &&
          later.startedAtMs > done.endedAtMs,
      ),
    );
    expect(repeated).toEqual([]);
  }));
