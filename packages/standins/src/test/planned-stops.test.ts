import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'earl';
import { TableStoreMode } from '../lib/platform/table-store.js';
import { delay, job, newId, withCluster } from './cluster-checks.js';
import {
  BEFORE_END_MS,
  LONG_MS,
  PlannedStop,
  QUEUE_PATH,
  checkStops,
  isJobCall,
  isLeaveWrite,
  memberRow,
  stopWithFailingStore,
} from './planned-stop.js';

// Guards against a stop that is forgotten when the incarnation is replaced: the
// process is ready again, accepts jobs and is killed with them.
for (const mode of [TableStoreMode.SlowReplies, TableStoreMode.LosingReplies]) {
  it(`stop: an entry that is fenced while it leaves ends (${mode})`, () =>
    withCluster(async (cluster) => {
      const { store } = cluster;
      store.modeOf = (req) => (isLeaveWrite(req) ? mode : store.mode);
      const stop = new PlannedStop(cluster, 0, { acceptsUntilMs: 3200 });
      stop.begin();
      stop.keepCalling(50);
      await checkStops(stop);
    }));
}

it('stop: an entry that is fenced in a planned stop ends', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0, { acceptsUntilMs: 1300 });
    void stop.submit(job(LONG_MS));
    stop.begin();
    stop.keepCalling(50);
    await stop.at(1000);
    const { key, value } = memberRow(cluster, 0);
    const fencedBy = memberRow(cluster, 1).key.replace('entry/', '');
    cluster.store.put('member', key, { ...value, fencedBy });
    await checkStops(stop);
  }));

it('stop: an entry that is frozen and replaced in a planned stop ends', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0, { acceptsUntilMs: 500 });
    void stop.submit(job(LONG_MS, 1, false));
    stop.begin();
    await stop.at(300);
    cluster.signal('entry', 0, 'SIGSTOP');
    await stop.at(4000);
    cluster.signal('entry', 0, 'SIGCONT');
    stop.keepCalling(50);
    await checkStops(stop);
  }));

// Guards against a stop that waits for the store until the process is killed,
// and against calls that are cut when it ends.
for (const mode of [
  TableStoreMode.Unavailable,
  TableStoreMode.Unresponsive,
  TableStoreMode.LosingReplies,
  TableStoreMode.Slow,
]) {
  it(`stop: ends in time when the store fails at its end (${mode})`, () =>
    stopWithFailingStore(mode));
}

// Guards against calls that are cut when the stop ends, since what they wait for
// has not arrived.
for (const method of ['POST', 'GET', 'DELETE']) {
  it(`stop: a ${method} that waits for the store is answered`, () =>
    withCluster(async (cluster) => {
      const { store } = cluster;
      store.modeOf = (req) =>
        isJobCall(req) ? TableStoreMode.Unresponsive : store.mode;
      const stop = new PlannedStop(cluster, 0);
      stop.begin();
      await stop.at(500);
      const body = method === 'POST' ? job(50, 1, false) : undefined;
      void stop.call(method, QUEUE_PATH + newId(), body);
      await checkStops(stop);
    }));
}

it('stop: a count that waits for a new entry is answered', () =>
  withCluster(async (cluster) => {
    const silent = createServer().listen(0, '127.0.0.1');
    const stop = new PlannedStop(cluster, 0);
    stop.begin();
    await stop.at(2400);
    const { port } = silent.address() as AddressInfo;
    cluster.store.put('member', 'entry/ffffffffffff', {
      name: 'entry-9',
      address: `127.0.0.1:${String(port)}`,
      dataCentre: 'dc-0',
    });
    void stop.call('GET', QUEUE_PATH);
    await checkStops(stop);
    silent.close();
  }));

it('stop: calls on open connections are answered until the process ends', () =>
  withCluster(async (cluster) => {
    const { store } = cluster;
    const stop = new PlannedStop(cluster, 0, { acceptsUntilMs: 2500 });
    await stop.openConnections(200);
    let isLeaving = false;
    store.modeOf = (req) => {
      if (isLeaveWrite(req) && !isLeaving) {
        isLeaving = true;
        stop.keepCalling(3);
      }
      const isSlow = isLeaveWrite(req) || isJobCall(req);
      return isSlow ? TableStoreMode.Slow : store.mode;
    };
    stop.begin();
    await checkStops(stop);
    expect(isLeaving).toEqual(true);
  }));

it('stop: calls that arrive in the last turn of the event loop are answered', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    stop.begin();
    await stop.at(2450);
    cluster.signal('entry', 0, 'SIGSTOP');
    for (let i = 0; i < 6; i += 1) {
      void stop.call('GET', QUEUE_PATH + newId());
      void stop.submit(job(50));
    }
    await delay(300);
    cluster.signal('entry', 0, 'SIGCONT');
    await checkStops(stop);
  }));

it('stop: jobs that arrive late in the stop are refused', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    void stop.submit(job(LONG_MS));
    await delay(300);
    stop.begin();
    await stop.at(4800);
    stop.keepCalling(20);
    await checkStops(stop);
  }));

// Guards against a grace that is counted from the time at which a process that
// was not scheduled reads the signal.
it('stop: ends in the grace of a signal that arrives at a frozen process', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    void stop.submit(job(LONG_MS, 1, false));
    await delay(300);
    cluster.signal('entry', 0, 'SIGSTOP');
    stop.begin();
    await stop.at(1900);
    cluster.signal('entry', 0, 'SIGCONT');
    await checkStops(stop);
  }));

// Guards against a signal that ends the process with its open calls.
it('stop: goes on after a second SIGTERM', () =>
  withCluster(async (cluster) => {
    const stop = new PlannedStop(cluster, 0);
    void stop.submit(job(2000));
    await delay(300);
    stop.begin();
    await stop.at(1000);
    cluster.signal('entry', 0, 'SIGTERM');
    await checkStops(stop);
  }));

// Guards against calls that are cut, since an entry ends in the moment in which
// they are looked up.
it('stop: stops of all entries in series answer their callers', () =>
  withCluster(async (cluster) => {
    const stops: PlannedStop[] = [];
    const stopTwice = async (entry: number): Promise<void> => {
      await delay(1300 * entry);
      for (let i = 0; i < 2; i += 1) {
        await cluster.waitUntilReady(cluster.processOf('entry', entry));
        const stop = new PlannedStop(cluster, entry, {
          acceptsUntilMs: Infinity,
        });
        stops.push(stop);
        await stop.openConnections(100);
        stop.keepCalling(20);
        await delay(500);
        stop.begin();
        await stop.end();
        cluster.restart('entry', entry);
      }
    };
    await Promise.all([0, 1, 2, 3].map(stopTwice));
    await checkStops(...stops);
  }, 4));

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
