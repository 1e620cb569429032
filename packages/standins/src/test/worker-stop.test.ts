import { once } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { FleetCluster } from '../lib/platform/fleet-cluster.js';
import { CONTROL_PORT } from '../lib/platform/fleet-settings.js';
import { TableStoreMode } from '../lib/platform/table-store.js';

/** Time after which the platform kills a process that it has asked to stop. */
const GRACE_MS = 6000;

const withOneWorker = async (
  check: (cluster: FleetCluster) => Promise<void>,
): Promise<void> => {
  const cluster = new FleetCluster({ entries: 0, workers: 1 });
  try {
    await cluster.start();
    // Leaves time for the start and a heartbeat.
    for (let left = 100; left > 0 && !isRegistered(cluster); left -= 1) {
      await delay(100);
      await cluster.workers[0]?.sendHeartbeat();
    }
    await check(cluster);
  } finally {
    await cluster.close();
  }
};

const isRegistered = ({ store }: FleetCluster): boolean =>
  store.rows('member').some(({ value }) => value.includes('"worker":'));

/** Stops the driver process; returns its exit code or the signal. */
const stopDriver = async (cluster: FleetCluster): Promise<unknown> => {
  const { child } = cluster.processOf('worker', 0);
  const exited = once(child, 'exit') as Promise<[unknown, unknown]>;
  child.kill('SIGTERM');
  const [code, signal] = await exited;
  return code ?? signal;
};

// Guards against a row of a worker that has left, which the next process
// restores and entries go on connecting to.
it('stop: a deregistration that was acknowledged is stored before the process ends', () =>
  withOneWorker(async (cluster) => {
    const { host } = cluster.processOf('worker', 0);
    await cluster.workers[0]?.close();
    cluster.store.mode = TableStoreMode.Unavailable;
    const res = await fetch(
      `http://${host}:${String(CONTROL_PORT)}/instances/i-0`,
      { method: 'DELETE' },
    );
    expect(res.status).toEqual(200);
    const status = stopDriver(cluster);
    await delay(450);
    cluster.store.mode = TableStoreMode.Serving;
    expect(await status).toEqual(0);
    expect(isRegistered(cluster)).toEqual(false);
  }));

// Guards against a stop that the store or the worker can hold up.
it('stop: a silent store and a silent worker do not keep a driver beyond its grace', () =>
  withOneWorker(async (cluster) => {
    const { host } = cluster.processOf('worker', 0);
    cluster.store.mode = TableStoreMode.Unresponsive;
    await fetch(`http://${host}:${String(CONTROL_PORT)}/instances/i-0`, {
      method: 'DELETE',
    });
    await cluster.workers[0]?.close();
    const beganAtMs = performance.now();
    expect(await stopDriver(cluster)).toEqual(0);
    expect(performance.now() - beganAtMs < GRACE_MS).toEqual(true);
  }));
