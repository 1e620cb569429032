import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { LocalCluster, call, waitUntil } from '../lib/local-cluster.js';
import type { ClusterProcess } from '../lib/local-cluster.js';
import { CLUSTER_TICKET, createJob } from './sample.js';

const HTTP_OK = 200;
/** Time for a process without work to end. */
const IDLE_STOP_MS = 8000;

/** Runs a check with one entry and one runner. */
const withOne = async (
  check: (entry: ClusterProcess, runner: ClusterProcess) => Promise<void>,
): Promise<void> => {
  const cluster = await LocalCluster.start({ entries: 1, runners: ['north'] });
  try {
    const [entry] = cluster.entries;
    const [runner] = cluster.runners;
    if (!entry || !runner) {
      throw new Error('the cluster has no entry or no runner');
    }
    await call(entry.port, 'POST', '/v1/tickets', CLUSTER_TICKET);
    await check(entry, runner);
  } finally {
    await cluster.close();
  }
};

const exitOf = async ({ child }: ClusterProcess): Promise<unknown> => {
  await waitUntil(
    () => Promise.resolve(child.exitCode !== null || child.signalCode !== null),
    IDLE_STOP_MS,
  );
  return child.signalCode ?? child.exitCode;
};

// Guards against a second signal that cuts the requests in progress.
it('stop: a second SIGTERM cuts no request of an entry', () =>
  withOne(async (entry) => {
    const request = call(entry.port, 'POST', '/v1/requests', {
      desk: 'dakar',
      endpoint: 'levy',
      deadlineMs: 10_000,
      payload: { ms: 1500 },
    }).catch((err: unknown) => ({ status: (err as Error).message }));
    await sleep(300);
    entry.child.kill('SIGTERM');
    await sleep(200);
    entry.child.kill('SIGTERM');
    expect((await request).status).toEqual(HTTP_OK);
    expect(await exitOf(entry)).toEqual(0);
  }));

/** Stops a process while a request whose body is incomplete is open at it. */
const stopDuringRequest = async (
  target: ClusterProcess,
  path: string,
): Promise<unknown> => {
  const socket = connect({ host: '127.0.0.1', port: target.port });
  socket.on('error', () => undefined);
  socket.write(
    `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{`,
  );
  await sleep(300);
  target.child.kill('SIGTERM');
  const status = await exitOf(target);
  socket.destroy();
  return status;
};

// Guards against a stop that one slow caller holds up until the process is
// killed.
it('stop: an entry ends while a caller has sent a part of a request', () =>
  withOne(async (entry) => {
    expect(await stopDuringRequest(entry, '/v1/jobs')).toEqual(0);
  }));

// Guards against the same at the local interface, with the links still open.
it('stop: a runner ends while an endpoint has sent a part of a request', () =>
  withOne(async (_entry, runner) => {
    expect(await stopDuringRequest(runner, '/v1/endpoint')).toEqual(0);
  }));

// Guards against a limit on the end of a stop that cuts calls which wait at
// another entry.
it('stop: a call that was forwarded to the owner of its job is answered', async () => {
  const cluster = await LocalCluster.start({ runners: ['north'] });
  try {
    const [owner, other] = cluster.entries;
    const ownerPort = owner?.port ?? 0;
    await call(ownerPort, 'POST', '/v1/tickets', CLUSTER_TICKET);
    await call(ownerPort, 'POST', '/v1/jobs', createJob('job', 1, 6000));
    const waiting = call(
      other?.port ?? 0,
      'GET',
      '/v1/jobs/job?wait=20000',
    ).catch((err: unknown) => ({ status: (err as Error).message, body: {} }));
    await sleep(500);
    other?.child.kill('SIGTERM');
    const { status, body } = await waiting;
    expect(status).toEqual(HTTP_OK);
    expect((body as { state: string }).state).toEqual('complete');
  } finally {
    await cluster.close();
  }
});
