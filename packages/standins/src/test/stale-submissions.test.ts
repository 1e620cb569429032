import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'earl';
import type { FleetCluster } from '../lib/platform/fleet-cluster.js';
import { FLEET_HOST, FRONT_PORT } from '../lib/platform/fleet-settings.js';
import {
  countOverlaps,
  delay,
  job,
  newId,
  submit,
  withCluster,
} from './cluster-checks.js';

const HTTP_OK = 200;
const JOB_COUNT = 6;
/** Time that an entry stands still; less than any of its time limits. */
const STALL_MS = 150;

const ids = (): string[] => Array.from({ length: JOB_COUNT }, newId);

/** Sends a submission on a connection of its own, without reading the reply. */
const sendSubmission = async (
  cluster: FleetCluster,
  id: string,
  body: object,
): Promise<Socket> => {
  const { hostname } = new URL(cluster.frontUrl(0));
  const socket = connect(FRONT_PORT, hostname);
  socket.on('error', () => undefined);
  const text = JSON.stringify(body);
  await new Promise<void>((resolve) => {
    socket.write(
      [
        `POST /short/${id} HTTP/1.1`,
        `host: ${FLEET_HOST}`,
        'content-type: application/json',
        `content-length: ${String(text.length)}`,
        'x-sapphiremux-deadline-ms: 10000',
        '',
        text,
      ].join('\r\n'),
      () => {
        resolve();
      },
    );
  });
  return socket;
};

/** Submissions whose callers disconnect before a busy entry reads them. */
const submitAndDisconnect = async (
  cluster: FleetCluster,
  jobIds: readonly string[],
  disconnect: (socket: Socket) => void,
): Promise<void> => {
  cluster.signal('entry', 0, 'SIGSTOP');
  for (const id of jobIds) {
    disconnect(await sendSubmission(cluster, id, job(300)));
  }
  await delay(STALL_MS);
};

// Guards against runs of callers that have already moved on to another entry.
it('fleet: a submission whose caller reset the connection before it was read starts nothing', () =>
  withCluster(async (cluster) => {
    await submitAndDisconnect(cluster, ids(), (socket) => {
      socket.resetAndDestroy();
    });
    cluster.signal('entry', 0, 'SIGCONT');
    await delay(600);
    expect(cluster.workers.flatMap(({ starts }) => starts)).toEqual([]);
  }));

it('fleet: a submission whose caller closed the connection before it was read starts nothing', () =>
  withCluster(async (cluster) => {
    await submitAndDisconnect(cluster, ids(), (socket) => {
      socket.destroy();
    });
    cluster.signal('entry', 0, 'SIGCONT');
    await delay(600);
    expect(cluster.workers.flatMap(({ starts }) => starts)).toEqual([]);
  }));

// Guards against two entries that run the same task at the same time (TWICE).
it('fleet: a resend runs no task beside the submission that a busy entry reads late', () =>
  withCluster(async (cluster) => {
    const jobIds = ids();
    await submitAndDisconnect(cluster, jobIds, (socket) => {
      socket.resetAndDestroy();
    });
    cluster.signal('entry', 0, 'SIGCONT');
    const statuses = await Promise.all(
      jobIds.map((id) => submit(cluster, 1, job(300), id)),
    );
    expect(new Set(statuses)).toEqual(new Set([HTTP_OK]));
    expect(countOverlaps(cluster)).toEqual(0);
  }));
