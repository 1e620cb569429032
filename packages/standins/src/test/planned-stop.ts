import { once } from 'node:events';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { CONNECTION_FAILED, openCall } from '../lib/platform/desk-client.js';
import type {
  FleetCluster,
  FleetProcess,
} from '../lib/platform/fleet-cluster.js';
import {
  FLEET_HOST,
  FRONT_PORT,
  READY_PORT,
} from '../lib/platform/fleet-settings.js';
import type { JsonRequest } from '../lib/platform/json-server.js';
import { partOfCall, writtenValues } from '../lib/platform/table-store.js';
import type { TableStoreMode } from '../lib/platform/table-store.js';
import { delay, job, newId, withCluster } from './cluster-checks.js';

/** Time from SIGTERM to SIGKILL on the platform (`grace_s`). */
const GRACE_MS = 6000;
/** Time after SIGTERM from which an entry accepts no job any more. */
const LATE_MS = 5000;
/**
 * A connection that closes without a response within this time after the request
 * may have closed before the request was read (`loss_slack_ms`).
 */
const LOSS_SLACK_MS = 200;
/** Time after SIGTERM within which a readiness check may still succeed. */
const SIGNAL_SLACK_MS = 100;
const POLL_MS = 100;
const READY_TIMEOUT_MS = 1000;
const HTTP_OK = 200;
/** Run time of jobs that last longer than a planned stop, in milliseconds. */
export const LONG_MS = 8000;
/** A planned stop without open jobs ends 2.5 s after SIGTERM. */
export const BEFORE_END_MS = 2300;
/** Path of the queue, which also returns the number of pending jobs. */
export const QUEUE_PATH = '/short/';

/** Options of {@link PlannedStop}. */
export interface PlannedStopOptions {
  /** Time after SIGTERM from which no job may be accepted, in milliseconds. */
  readonly acceptsUntilMs?: number;
}

/** How often a fault was seen, and when first after SIGTERM. */
interface SeenFault {
  count: number;
  readonly firstMs: number;
}

/**
 * Stops an entry with SIGTERM and checks what its users are promised: it ends by
 * itself before the grace ends, is not ready from the signal on, accepts no job
 * late in the stop, and answers every request that it has read.
 */
export class PlannedStop {
  private readonly _process: FleetProcess;
  private readonly _url: string;
  private readonly _acceptsUntilMs: number;
  private readonly _agent = new Agent({ keepAlive: true, scheduling: 'fifo' });
  private readonly _faults = new Map<string, SeenFault>();
  private readonly _pending: Promise<unknown>[] = [];
  private _signalledAtMs = Number.POSITIVE_INFINITY;
  private _hasEnded = false;
  private _end: Promise<string[]> | undefined;

  /**
   * @param cluster - The cluster.
   * @param entry - Index of the entry to stop.
   * @param options - What is checked.
   */
  constructor(
    cluster: FleetCluster,
    entry: number,
    { acceptsUntilMs = LATE_MS }: PlannedStopOptions = {},
  ) {
    this._process = cluster.processOf('entry', entry);
    this._url = cluster.frontUrl(entry);
    this._acceptsUntilMs = acceptsUntilMs;
  }

  /** Time since SIGTERM in milliseconds; negative before. */
  get elapsedMs(): number {
    return Date.now() - this._signalledAtMs;
  }

  /** Sends SIGTERM. */
  begin(): void {
    this._process.child.kill('SIGTERM');
    this._signalledAtMs = Date.now();
    this._pending.push(this._watchReadiness());
  }

  /** @returns A promise that resolves this time after SIGTERM. */
  at(ms: number): Promise<void> {
    return delay(ms - this.elapsedMs);
  }

  /**
   * Sends a request and checks that it is answered.
   *
   * @param method - HTTP method.
   * @param path - Path of the request.
   * @param body - The body; `undefined` sends none.
   * @returns Status of the response, or {@link CONNECTION_FAILED}.
   */
  call(method: string, path: string, body?: object): Promise<number> {
    const url = this._url + path;
    const sentMs = this.elapsedMs;
    const sentAtMs = Date.now();
    const kind = method === 'GET' && path === QUEUE_PATH ? 'count' : method;
    const call = openCall({
      url,
      host: FLEET_HOST,
      method,
      body,
      agent: this._agent,
    });
    const status = call.reply.then((reply) => {
      const heldMs = Date.now() - sentAtMs;
      if (reply.status === CONNECTION_FAILED && heldMs > LOSS_SLACK_MS) {
        this._note(`${kind} not answered`, sentMs);
      }
      const isAccepted = method === 'POST' && reply.status === HTTP_OK;
      if (isAccepted && sentMs > this._acceptsUntilMs) {
        this._note('job accepted', sentMs);
      }
      return reply.status;
    });
    this._pending.push(status);
    return status;
  }

  /** Submits a job; see {@link call}. */
  submit(body: object): Promise<number> {
    return this.call('POST', QUEUE_PATH + newId(), body);
  }

  /**
   * Opens connections for later calls. An entry that stops closes a connection
   * with the next response on it.
   *
   * @param count - Number of connections.
   */
  async openConnections(count: number): Promise<void> {
    const calls = Array.from({ length: count }, () =>
      this.call('GET', QUEUE_PATH),
    );
    await Promise.all(calls);
  }

  /**
   * Sends calls of all kinds until the process has ended.
   *
   * @param intervalMs - Time between two calls.
   */
  keepCalling(intervalMs: number): void {
    const calls = [
      () => this.submit(job(50, 1)),
      () => this.submit(job(50, 1, false)),
      () => this.call('GET', QUEUE_PATH + newId()),
      () => this.call('DELETE', QUEUE_PATH + newId()),
      () => this.call('GET', QUEUE_PATH),
    ];
    const run = async (): Promise<void> => {
      for (let i = 0; !this._hasEnded; i += 1) {
        void calls[i % calls.length]?.();
        await delay(intervalMs);
      }
    };
    this._pending.push(run());
  }

  /**
   * Sends requests without their last bytes.
   *
   * @param methods - HTTP method of each request.
   * @returns A function that sends the last bytes of all.
   */
  async sendPartially(methods: readonly string[]): Promise<() => void> {
    const lasts = methods.map(async (method) => {
      const { hostname } = new URL(this._url);
      const socket = connect(FRONT_PORT, hostname);
      await once(socket, 'connect');
      const body = method === 'POST' ? JSON.stringify(job(50, 1)) : '';
      const text = [
        `${method} ${QUEUE_PATH}${newId()} HTTP/1.1`,
        `host: ${FLEET_HOST}`,
        'content-type: application/json',
        `content-length: ${String(body.length)}`,
        '',
        body,
      ].join('\r\n');
      socket.write(text.slice(0, -1));
      return () => {
        this._pending.push(this._finish(method, socket, text.slice(-1)));
      };
    });
    const finish = await Promise.all(lasts);
    return () => {
      finish.forEach((send) => {
        send();
      });
    };
  }

  /** Waits until the entry accepts no connections any more. */
  async frontClosed(): Promise<void> {
    const { hostname } = new URL(this._url);
    for (;;) {
      const socket = connect(FRONT_PORT, hostname);
      const isOpen = await once(socket, 'connect').then(
        () => true,
        () => false,
      );
      socket.destroy();
      if (!isOpen || this.elapsedMs > GRACE_MS) {
        return;
      }
      await delay(5);
    }
  }

  /**
   * Waits for the end of the process and of all calls, and kills the process at
   * the end of its grace.
   *
   * @returns What broke the promise; empty if nothing did.
   */
  end(): Promise<string[]> {
    this._end ??= this._waitForEnd();
    return this._end;
  }

  private async _waitForEnd(): Promise<string[]> {
    const { name, child } = this._process;
    const hasExited = (): boolean =>
      child.exitCode !== null || child.signalCode !== null;
    while (!hasExited() && this.elapsedMs < GRACE_MS) {
      await delay(10);
    }
    if (!hasExited()) {
      this._note('still running', this.elapsedMs);
      child.kill('SIGKILL');
      await once(child, 'exit');
    } else if (child.exitCode !== 0) {
      const { exitCode, signalCode } = child;
      this._note(
        `ended with ${String(exitCode ?? signalCode)}`,
        this.elapsedMs,
      );
    }
    this._hasEnded = true;
    await Promise.all(this._pending);
    this._agent.destroy();
    return [...this._faults].map(
      ([fault, { count, firstMs }]) =>
        `${name}: ${fault} (${String(count)}, the first at ${firstMs.toFixed()} ms)`,
    );
  }

  private _note(fault: string, atMs: number): void {
    const seen = this._faults.get(fault);
    if (seen) {
      seen.count += 1;
    } else {
      this._faults.set(fault, { count: 1, firstMs: atMs });
    }
  }

  private async _finish(
    method: string,
    socket: Socket,
    last: string,
  ): Promise<void> {
    const sentMs = this.elapsedMs;
    const isAnswered = new Promise<boolean>((resolve) => {
      socket.on('data', () => {
        resolve(true);
        socket.destroy();
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        resolve(false);
      });
    });
    socket.write(last);
    if (!(await isAnswered)) {
      this._note(`${method} not answered`, sentMs);
    }
  }

  private async _watchReadiness(): Promise<void> {
    const url = `http://${this._process.host}:${String(READY_PORT)}/ready`;
    while (!this._hasEnded) {
      const askedMs = this.elapsedMs;
      const signal = AbortSignal.timeout(READY_TIMEOUT_MS);
      const res = await fetch(url, { signal }).catch(() => undefined);
      if (res?.status === HTTP_OK && askedMs > SIGNAL_SLACK_MS) {
        this._note('ready', askedMs);
      }
      await delay(POLL_MS);
    }
  }
}

/**
 * Waits for the end of planned stops.
 *
 * @param stops - Stops that have begun.
 * @throws Error that lists what broke the promise.
 */
export const checkStops = async (
  ...stops: readonly PlannedStop[]
): Promise<void> => {
  const faults = await Promise.all(stops.map((stop) => stop.end()));
  if (faults.flat().length > 0) {
    throw new Error(faults.flat().join('; '));
  }
};

/**
 * Checks the stops of an entry without calls and of one with a long job, a
 * submission and a lookup, while the store fails from shortly before the first
 * ends.
 *
 * @param mode - How the store fails.
 */
export const stopWithFailingStore = (mode: TableStoreMode): Promise<void> =>
  withCluster(async (cluster) => {
    const idle = new PlannedStop(cluster, 0);
    const busy = new PlannedStop(cluster, 1);
    void busy.submit(job(LONG_MS));
    await delay(300);
    idle.begin();
    busy.begin();
    await idle.at(BEFORE_END_MS);
    cluster.store.mode = mode;
    void busy.submit(job(50, 1, false));
    void busy.call('GET', QUEUE_PATH + newId());
    await checkStops(idle, busy);
  }, 3);

/** @returns Key and content of the member row of an entry. */
export const memberRow = (
  cluster: FleetCluster,
  entry: number,
): { key: string; value: object } => {
  const { name } = cluster.processOf('entry', entry);
  for (const { key, value } of cluster.store.rows('member')) {
    const row = JSON.parse(value) as { name?: string };
    if (row.name === name) {
      return { key, value: row };
    }
  }
  throw new Error(`${name} has no member row`);
};

/** @returns Whether an entry marks its member row as left with this call. */
export const isLeaveWrite = (req: JsonRequest): boolean =>
  writtenValues(req).some(
    (value) => value.includes('"hasLeft":true') && !value.includes('fencedBy'),
  );

/** @returns Whether a call reads or writes rows of jobs. */
export const isJobCall = (req: JsonRequest): boolean =>
  partOfCall(req).startsWith('p');
