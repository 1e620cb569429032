import { expect } from 'earl';
import { TableStoreMode } from '../lib/platform/table-store.js';
import { delay, job, withCluster } from './cluster-checks.js';
import {
  BEFORE_END_MS,
  LONG_MS,
  PlannedStop,
  checkStops,
  stopWithFailingStore,
} from './planned-stop.js';

// Guards against a stop that waits for the store until the process is killed.
it('stop: ends in time when the store is slow at its end', () =>
  stopWithFailingStore(TableStoreMode.Slow));

// Guards against calls that are cut when the stop ends.
it('stop: a volatile job that outlasts the stop is answered', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    const status = stop.submit(job(LONG_MS));
    await delay(300);
    stop.begin();
    await checkStops(stop);
    expect(await status).toEqual(504);
  }));

it('stop: calls whose last bytes arrive after the stop are answered', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    const finish = await stop.sendPartially(['POST', 'GET', 'DELETE']);
    stop.begin();
    await stop.at(BEFORE_END_MS);
    await stop.frontClosed();
    finish();
    await checkStops(stop);
  }));

// Guards against a change or a signal that ends or undoes the stop.
it('stop: survives changes of the configuration', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    await stop.openConnections(100);
    stop.begin();
    stop.keepCalling(50);
    for (let version = 2; version < 8; version += 1) {
      cluster.configure(version);
      await stop.at(400 * version);
    }
    await checkStops(stop);
  }));
