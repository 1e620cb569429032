import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'earl';
import { DEFAULT_RUN_BOUNDS } from '@sapphiremux/core';
import type {
  BatchContent,
  FollowReply,
  WorkerOrder,
  WorkerReport,
} from '@sapphiremux/core';
import { decodeWorkerOrder, encodeWorkerReport } from '@sapphiremux/wire';
import { callerOf } from '../lib/connection/caller.js';
import type { Caller } from '../lib/connection/caller.js';
import { MessageSocket } from '../lib/connection/message-socket.js';
import { BatchHost } from '../lib/process/batch-host.js';
import { now } from '../lib/process/clock.js';
import { createLogger } from '../lib/process/logger.js';

const CONTENT: BatchContent = {
  queue: 'q',
  service: 's',
  spec: '',
  steps: [],
  attempts: 1,
  isVolatile: true,
  priority: 0,
  stretch: 1,
  slackMs: 0,
};
const JOB: BatchContent = {
  ...CONTENT,
  steps: [
    {
      count: 1,
      needs: { cpuMilli: 1000, memoryMb: 1, accelerators: 0 },
      estimateMs: 100,
      after: [],
      checkpointing: false,
    },
  ],
  stretch: 100,
};
/** Less than the time limit of runs, more than the age that a poll may have. */
const STAND_STILL_MS = 250;
const CALLER = { isGone: false, onGone: () => undefined };
/** Minimum duration of a planned stop. */
const STOP_MS = 2500;
const MEMBER_TABLE = 'member';

/** Hosts an entry over a store that answers calls for changes on request. */
class HostHarness {
  hasStopped = false;
  readonly host: BatchHost;
  private _version = 0;
  private _incarnations = 0;
  private _followers: ((reply: FollowReply) => void)[] = [];

  /**
   * @param name - First part of the names of its incarnations.
   * @param port - Port for calls of other entries, once it is started.
   */
  constructor(name = 'i', port = 1) {
    this.host = new BatchHost({
      entry: {
        name: 'e',
        address: '127.0.0.1:1',
        dataCentre: 'a',
        operatorTable: 'op',
        decodeOperatorRow: ({ key }) => ({ kind: 'other', key, detail: '' }),
      },
      newIncarnation: () => `${name}${String(++this._incarnations)}`,
      listen: { host: '127.0.0.1', port },
      openStore: () => ({
        call: () =>
          Promise.resolve({ kind: 'committed', version: ++this._version }),
        follow: ({ table }) =>
          new Promise((resolve) => {
            if (table === MEMBER_TABLE) {
              this._followers.push(resolve);
            }
          }),
        close: () => Promise.resolve(),
      }),
      log: createLogger({
        level: 'error',
        format: 'json',
        name: 'e',
        write: () => undefined,
      }),
      onStopped: () => {
        this.hasStopped = true;
      },
    });
  }

  /** Lets the entry act as its timers would, and its store calls be answered. */
  async tick(): Promise<void> {
    this.host.dispatch({ kind: 'tick' });
    this.host.dispatch({ kind: 'flush' });
    await delay(10);
  }

  /** Answers the open calls for changes: another entry has fenced this one. */
  async fence(): Promise<void> {
    const row = { name: 'e', address: '', dataCentre: 'a', fencedBy: 'other' };
    const rows = [
      {
        key: `entry/i${String(this._incarnations)}`,
        value: JSON.stringify(row),
        version: ++this._version,
      },
    ];
    for (const reply of this._followers.splice(0)) {
      reply({ kind: 'table', rows, version: this._version });
    }
    await this.tick();
  }

  /** @returns Kind of the reply to a call; `none` if there is no reply. */
  async kindOf(reply: Promise<{ kind: string }>): Promise<string> {
    return Promise.race([
      reply.then((value) => value.kind),
      delay(500, 'none'),
    ]);
  }

  /**
   * Answers the open calls for changes with the row of a worker, and waits until
   * the entry has received its first report.
   *
   * @param address - Address of the worker driver.
   * @param entryAddress - Address of another entry, if there is one.
   */
  async addWorker(address: string, entryAddress?: string): Promise<void> {
    const worker = { address, dataCentre: 'a' };
    const entry = { name: 'f', address: entryAddress, dataCentre: 'a' };
    const members = entryAddress
      ? { 'worker/w': worker, 'entry/f1': entry }
      : { 'worker/w': worker };
    const rows = Object.entries(members).map(([key, row]) => ({
      key,
      value: JSON.stringify(row),
      version: ++this._version,
    }));
    for (const reply of this._followers.splice(0)) {
      reply({ kind: 'table', rows, version: this._version });
    }
    for (let turns = 0; turns < 10; turns += 1) {
      await this.tick();
    }
  }

  submit(
    content: BatchContent = CONTENT,
    caller: Caller = CALLER,
  ): Promise<{ kind: string }> {
    return this.host.dispatchSubmission(
      'j',
      (replyId) => ({
        kind: 'submit',
        replyId,
        id: 'j',
        content,
        deadlineMs: now() + 5000,
      }),
      caller,
    );
  }
}

const ROOM = { cpuMilli: 1000, memoryMb: 100, accelerators: 0 };
const NO_ROOM = { ...ROOM, cpuMilli: 0 };
const LINK_FORMAT = { encode: encodeWorkerReport, decode: decodeWorkerOrder };

/** A worker driver that reports the room that the test sets. */
class WorkerPeer {
  readonly starts: string[] = [];
  private _link: MessageSocket<WorkerReport, WorkerOrder> | undefined;
  private readonly _server: Server;

  constructor() {
    this._server = createServer((socket) => {
      const link = MessageSocket.accept(socket, LINK_FORMAT, {
        onOpen: () => {
          this._link = link;
          this.report(NO_ROOM, true);
        },
        onMessage: (order: WorkerOrder) => {
          for (const { runs } of order.starts) {
            this.starts.push(...runs.map(({ task }) => task));
          }
        },
        onClosed: () => undefined,
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this._server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this._server.address() as AddressInfo;
    return `127.0.0.1:${String(port)}`;
  }

  report(free: typeof ROOM, snapshot = false): void {
    this._link?.send({
      clockMs: now(),
      accepting: true,
      free,
      ends: [],
      refused: [],
      sequence: 1000,
      active: [],
      snapshot,
      adopted: [],
      fenced: false,
      crashes: [],
      unconfirmed: [],
      mayActLate: false,
      hello: {
        worker: 'w',
        incarnation: 'w1',
        dataCentre: 'a',
        service: 's',
        life: '1',
        labels: [],
        capacity: ROOM,
      },
    });
  }

  close(): void {
    this._link?.close();
    this._server.close();
  }
}

// Guards against a connection that is closed without an answer.
it('a submission that is held when a planned stop ends is refused', async () => {
  const harness = new HostHarness();
  harness.host.stop();
  await harness.tick();
  await delay(STOP_MS + 50);
  const reply = harness.submit();
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
  expect(await harness.kindOf(reply)).toEqual('refused');
});

// Guards against a grace that is counted from the end of the start, since the
// signal came during it.
it('a planned stop counts from the signal', async () => {
  const harness = new HostHarness();
  harness.host.stop(now() - STOP_MS);
  await harness.tick();
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
});

// Guards against a connection that is closed without an answer.
it('a call that arrives after the end of a planned stop is refused', async () => {
  const harness = new HostHarness();
  harness.host.stop();
  await harness.tick();
  await delay(STOP_MS + 50);
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
  const reply = harness.host.dispatchCall((replyId) => ({
    kind: 'status',
    replyId,
    id: 'j',
    deadlineMs: Date.now() + 1000,
  }));
  expect(await harness.kindOf(reply)).toEqual('refused');
});

// Guards against a process that turns ready again after SIGTERM.
it('an incarnation that begins during a planned stop goes on with the stop', async () => {
  const harness = new HostHarness();
  await harness.tick();
  harness.host.stop();
  const first = harness.host.core;
  await harness.fence();
  expect(harness.host.core !== first).toEqual(true);
  expect(harness.host.core.isStopping).toEqual(true);
  expect(await harness.kindOf(harness.submit())).toEqual('refused');
  await delay(STOP_MS);
  await harness.tick();
  await harness.tick();
  expect(harness.hasStopped).toEqual(true);
});

/** Lets a turn of the event loop take long, as a process that is frozen. */
const standStill = (ms: number): void => {
  const untilMs = now() + ms;
  while (now() < untilMs) {
    // Does not poll.
  }
};

/**
 * Lets the caller of a waiting job reset its connection while the entry stands
 * still.
 *
 * @param free - Tells the entry that there is room.
 * @returns Tasks that were started.
 */
const startsAfterReset = async (
  free: (worker: WorkerPeer, harness: HostHarness, reset: () => void) => void,
): Promise<readonly string[]> => {
  const worker = new WorkerPeer();
  const harness = new HostHarness();
  const desk = createHttpServer((_req, res) => {
    void harness.submit(JOB, callerOf(res));
  });
  desk.on('clientError', () => undefined);
  await new Promise<void>((resolve) => desk.listen(0, '127.0.0.1', resolve));
  await harness.tick();
  await harness.addWorker(await worker.listen());
  const { port } = desk.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1', () => {
    caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
  });
  caller.on('error', () => undefined);
  await delay(50);
  await harness.tick();
  expect(harness.host.core.waitingJobs).toEqual(1);
  expect(worker.starts).toEqual([]);
  free(worker, harness, () => {
    caller.resetAndDestroy();
  });
  await delay(300);
  await harness.host.close();
  worker.close();
  desk.closeAllConnections();
  desk.close();
  return worker.starts;
};

/**
 * Lets a test act when the entry is about to handle the report of free room.
 *
 * @param host - Host of the entry.
 * @param act - Receives the function that handles the report.
 */
const aroundFreeRoom = (
  host: BatchHost,
  act: (dispatch: () => void) => void,
): void => {
  const dispatch = host.dispatch.bind(host);
  host.dispatch = (event) => {
    if (
      event.kind === 'report' &&
      event.report.free?.cpuMilli === ROOM.cpuMilli
    ) {
      host.dispatch = dispatch;
      act(() => {
        dispatch(event);
      });
    } else {
      dispatch(event);
    }
  };
};

// Guards against runs for a caller whose reset has been read in the same turn.
it('a reset that is read together with a report of free room starts nothing', async () => {
  const starts = await startsAfterReset((worker, _harness, reset) => {
    worker.report(ROOM);
    reset();
  });
  expect(starts).toEqual([]);
});

// Guards against runs for a caller that left while the process was frozen
// between the poll of its sockets and the end of the turn.
it('a turn that takes long starts nothing for a caller that leaves meanwhile', async () => {
  const starts = await startsAfterReset((worker, { host }, reset) => {
    aroundFreeRoom(host, (dispatch) => {
      dispatch();
      reset();
      standStill(STAND_STILL_MS);
    });
    worker.report(ROOM);
  });
  expect(starts).toEqual([]);
});

it('a process that stands still before it reads a report starts nothing for a caller that leaves meanwhile', async () => {
  const starts = await startsAfterReset((worker, { host }, reset) => {
    aroundFreeRoom(host, (dispatch) => {
      reset();
      standStill(STAND_STILL_MS);
      dispatch();
    });
    worker.report(ROOM);
  });
  expect(starts).toEqual([]);
});

it('a caller that stays gets its runs after a turn that takes long', async () => {
  const starts = await startsAfterReset((worker, { host }) => {
    const dispatch = host.dispatch.bind(host);
    host.dispatch = (event) => {
      dispatch(event);
      if (event.kind === 'report') {
        standStill(STAND_STILL_MS);
      }
    };
    worker.report(ROOM);
  });
  expect(starts).toEqual(['j.0.0.0']);
});

// Guards against a flush of the same turn, for example that of a tick, after which
// an old poll counts as recent.
it('a submission that is passed on behind another flush of its turn starts nothing for a caller that leaves meanwhile', async () => {
  const worker = new WorkerPeer();
  const harness = new HostHarness();
  const { host } = harness;
  const desk = createHttpServer((_req, res) => {
    setImmediate(() => {
      setImmediate(() => {
        caller.resetAndDestroy();
        standStill(STAND_STILL_MS);
      });
      host.dispatch({ kind: 'tick' });
    });
    void harness.submit(JOB, callerOf(res));
  });
  desk.on('clientError', () => undefined);
  await new Promise<void>((resolve) => desk.listen(0, '127.0.0.1', resolve));
  await harness.tick();
  await harness.addWorker(await worker.listen());
  worker.report(ROOM);
  await harness.tick();
  const { port } = desk.address() as AddressInfo;
  const caller = connect(port, '127.0.0.1', () => {
    caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
  });
  caller.on('error', () => undefined);
  await delay(STAND_STILL_MS + 300);
  await host.close();
  worker.close();
  desk.closeAllConnections();
  desk.close();
  expect(worker.starts).toEqual([]);
});

/** @returns A port of the local host that nothing listens on. */
const freePort = async (): Promise<number> => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
};

// Guards against a second run of a job whose first one a worker begins late,
// because the process that has sent its start is gone.
it('a job whose run may begin late is answered in doubt by another entry', async () => {
  const port = await freePort();
  const other = new HostHarness('f', port);
  await other.host.start();
  const worker = new WorkerPeer();
  const harness = new HostHarness();
  let leave = (): void => undefined;
  const onGone = (listener: () => void): void => {
    leave = listener;
  };
  await harness.tick();
  const entryAddress = `127.0.0.1:${String(port)}`;
  await harness.addWorker(await worker.listen(), entryAddress);
  void harness.submit(JOB, { isGone: false, onGone });
  worker.report(ROOM);
  await delay(50);
  await harness.tick();
  expect(worker.starts.length).toEqual(1);
  worker.close();
  leave();
  const resendAtMs = now() + DEFAULT_RUN_BOUNDS.resendMs;
  while (now() < resendAtMs) {
    await harness.tick();
  }
  expect(await other.kindOf(other.submit(JOB))).toEqual('in-doubt');
  await harness.host.close();
  await other.host.close();
});
