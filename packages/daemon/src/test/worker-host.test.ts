import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import type {
  WorkerCall,
  WorkerOrder,
  WorkerReply,
  WorkerReport,
} from '@sapphiremux/core';
import { decodeWorkerReport, encodeWorkerOrder } from '@sapphiremux/wire';
import { MessageSocket } from '../lib/connection/message-socket.js';
import { createLogger } from '../lib/process/logger.js';
import { WorkerHost } from '../lib/process/worker-host.js';

const LOCAL_HOST = '127.0.0.1';
const CLOCK_MS = 5000;
/** Long enough for each test. */
const LIMIT_MS = 10_000;
/** Time for events to pass through the sockets. */
const SETTLE_MS = 100;

type EntryLink = MessageSocket<WorkerOrder, WorkerReport>;

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, LOCAL_HOST, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(port);
      });
    });
  });

const orderOf = (task?: string): WorkerOrder => ({
  entry: 'e',
  incarnation: 'e1',
  holdUntilMs: CLOCK_MS + LIMIT_MS,
  adopt: [],
  starts: task
    ? [
        {
          spec: '',
          needs: { cpuMilli: 100, memoryMb: 1, accelerators: 0 },
          queue: 'q',
          volatile: true,
          priority: 0,
          maxWaitMs: 0,
          runs: [{ task, run: 1, checkpoint: '' }],
        },
      ]
    : [],
  stops: [],
  recorded: [],
  claims: [],
  sequence: 1,
  operatorVersion: 0,
  out: false,
  life: '',
  linkNumber: 0,
});

/** Hosts a driver of a worker that carries out all calls. */
class HostHarness {
  readonly started: string[] = [];
  /** Links that the entry has seen closing, in order of opening. */
  readonly closedLinks: number[] = [];
  private _address = '';
  private readonly _links: EntryLink[] = [];
  private _host: WorkerHost | undefined;

  async start(): Promise<void> {
    const port = await freePort();
    this._address = `${LOCAL_HOST}:${String(port)}`;
    this._host = new WorkerHost({
      driver: { name: 'vm', incarnation: 'w1', token: 1 },
      worker: {
        call: (call) => this._call(call),
        close: () => Promise.resolve(),
      },
      listen: { host: LOCAL_HOST, port },
      log: createLogger({
        level: 'error',
        format: 'json',
        name: 'vm',
        write: () => undefined,
      }),
      readDataCentre: () =>
        Promise.resolve({ version: 1, isOutOfService: false }),
      onConfirmed: () => undefined,
      onRegistrationSeen: () => undefined,
      onStopped: () => undefined,
    });
    this._host.dispatch({
      kind: 'announce',
      worker: {
        id: 'i',
        bornMs: 1,
        sequence: 1,
        service: 's',
        dataCentre: 'a',
        accepting: true,
        capacity: { cpuMilli: 1000, memoryMb: 100, accelerators: 0 },
        labels: [],
      },
    });
    await this._host.start();
  }

  /** Opens a link of the entry and waits until the driver has served it. */
  async openLink(): Promise<EntryLink> {
    const format = { encode: encodeWorkerOrder, decode: decodeWorkerReport };
    const number = this._links.length + 1;
    const handlers = {
      onMessage: () => undefined,
      onClosed: () => {
        this.closedLinks.push(number);
      },
    };
    const link = MessageSocket.connect(this._address, format, handlers);
    this._links.push(link);
    link.send(orderOf());
    await delay(SETTLE_MS);
    return link;
  }

  async close(): Promise<void> {
    for (const link of this._links) {
      link.close();
    }
    await this._host?.close();
  }

  private async _call(call: WorkerCall): Promise<WorkerReply> {
    if (call.kind === 'start') {
      this.started.push(call.task);
    }
    if (call.kind !== 'hold') {
      return { kind: 'done', clockMs: CLOCK_MS };
    }
    await delay(call.waitMs);
    return { kind: 'held', clockMs: CLOCK_MS, bornMs: 1, active: [], ends: [] };
  }
}

// A frozen driver finds the start and the reset in one read; its entry has given
// the run up.
it('a start is not sent if its link is reset behind it', async () => {
  const harness = new HostHarness();
  await harness.start();
  const link = await harness.openLink();
  link.send(orderOf('a.0.0.0'));
  process.nextTick(() => {
    link.reset();
  });
  await delay(SETTLE_MS);
  const next = await harness.openLink();
  next.send(orderOf('a.0.0.1'));
  await delay(SETTLE_MS);
  expect(harness.started).toEqual(['a.0.0.1']);
  await harness.close();
});

it('a start on an earlier link of an entry is not sent', async () => {
  const harness = new HostHarness();
  await harness.start();
  const earlier = await harness.openLink();
  const newer = await harness.openLink();
  earlier.send(orderOf('a.0.0.0'));
  newer.send(orderOf('a.0.0.1'));
  await delay(SETTLE_MS);
  expect(harness.started).toEqual(['a.0.0.1']);
  await harness.close();
});

// An entry that is never told would send its orders to nobody.
it('the connection of an earlier link of an entry is closed', async () => {
  const harness = new HostHarness();
  await harness.start();
  await harness.openLink();
  expect(harness.closedLinks).toEqual([]);
  await harness.openLink();
  expect(harness.closedLinks).toEqual([1]);
  await harness.close();
});
