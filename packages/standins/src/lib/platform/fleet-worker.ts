import { startJsonServer } from './json-server.js';
import type { JsonAnswer, JsonCall, JsonServer } from './json-server.js';

/** Maximum duration of a lease; longer requests are shortened to it. */
const MAX_LEASE_MS = 1000;
const HEARTBEAT_MS = 500;

interface ActiveRun {
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  readonly timer: NodeJS.Timeout;
}

/** Number, task, run, kind of end and checkpoint. */
type ListedEnd = [number, string, number, string, string];

/** Options of {@link FleetWorker}. */
export interface FleetWorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Address at which the worker driver process receives heartbeats. */
  readonly control: string;
  /** Address at which the worker listens. */
  readonly listen: { readonly host: string; readonly port: number };
  readonly cpuMilli?: number;
  /**
   * Returns the run time of a task in milliseconds, given its specification.
   * By default the specification is the run time itself.
   */
  readonly runMs?: (spec: string) => number;
}

/** A run that the worker has started, for assertions in tests. */
export interface StartRecord {
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  /** Infinite until the run has ended. */
  endedAtMs: number;
  /** Kind of the end; empty until the run has ended. */
  how: string;
}

/**
 * Stand-in for a worker, with its HTTP interface: executes runs under a lease,
 * lists their ends until they are acknowledged and sends heartbeats to its
 * driver process. A run does nothing but last for its run time.
 */
export class FleetWorker {
  readonly starts: StartRecord[] = [];
  /** Whether runs fail right after their start. */
  failsAll = false;
  /** Whether starts are executed without an answer. */
  losesAnswers = false;
  private readonly _options: FleetWorkerOptions;
  private readonly _active = new Map<string, ActiveRun>();
  /** Highest run number of each task that has ended or was stopped. */
  private readonly _lowestRun = new Map<string, number>();
  private _ends: ListedEnd[] = [];
  private _nextEnd = 1;
  private _token = 0;
  private _leaseUntilMs = 0;
  private _bornMs = Date.now();
  private _sequence = 0;
  private _waiting = new Set<() => void>();
  private _server: JsonServer | undefined;
  private _heartbeat: NodeJS.Timeout | undefined;
  private _leaseTimer: NodeJS.Timeout | undefined;

  /** @param options - Names, addresses and run times. */
  constructor(options: FleetWorkerOptions) {
    this._options = options;
  }

  /** Starts the server and the heartbeats. */
  async start(): Promise<void> {
    this._bornMs = Date.now();
    this._server = await startJsonServer(
      (call) => this._serve(call),
      this._options.listen,
    );
    void this.beat();
    this._heartbeat = setInterval(() => void this.beat(), HEARTBEAT_MS);
  }

  /** Simulates a crash: stops the server and ends all runs without a report. */
  async close(): Promise<void> {
    clearInterval(this._heartbeat);
    clearTimeout(this._leaseTimer);
    for (const run of [...this._active.values()]) {
      this._end(run, 'crashed', false);
    }
    for (const wake of this._waiting) {
      wake();
    }
    await this._server?.close();
  }

  /**
   * Sends one heartbeat.
   *
   * @param state - State of the worker to report.
   */
  async beat(state = 'ready'): Promise<void> {
    const { id, service, dataCentre, cpuMilli = 16_000 } = this._options;
    this._sequence += 1;
    const body = {
      service,
      address: `${this._options.listen.host}:${String(this._options.listen.port)}`,
      zone: dataCentre,
      version: 'v1',
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity: { cpu: cpuMilli, mem_mb: 65_536, gpus: 0 },
      labels: ['a', 'r1-1'],
      clock_ms: this._clock(),
      born: this._bornMs,
      seq: this._sequence,
    };
    await fetch(`http://${this._options.control}/instances/${id}`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    }).catch(() => undefined);
  }

  private _clock(): number {
    return Date.now() - this._bornMs + 1;
  }

  private async _serve(call: JsonCall): Promise<JsonAnswer | undefined> {
    const expected = call.headers['x-sapphiremux-expect-instance'];
    if (expected !== undefined && expected !== this._options.id) {
      return { status: 421 };
    }
    const body = call.body as Record<string, unknown>;
    const token = Number(body.fencing_token ?? 0);
    if (token < this._token) {
      return this._answer(409, { reason: 'fence' });
    }
    this._token = token;
    switch (call.path) {
      case '/run-start': {
        const answer = this._start(body);
        return this.losesAnswers ? undefined : answer;
      }
      case '/run-stop':
        return this._stop(String(body.task), Number(body.run));
      case '/hold':
        return this._hold(body);
      default:
        return { status: 404 };
    }
  }

  private _answer(status: number, body: object): JsonAnswer {
    return {
      status,
      body: { clock_ms: this._clock(), born: this._bornMs, ...body },
    };
  }

  private _start(body: Record<string, unknown>): JsonAnswer {
    const task = String(body.task);
    const run = Number(body.run);
    const untilMs = Number(body.until_ms);
    if (this._active.get(task)?.run === run) {
      return this._answer(200, {});
    }
    if (run <= (this._lowestRun.get(task) ?? 0)) {
      this._extend(untilMs);
      return this._answer(409, { reason: 'old' });
    }
    if (untilMs <= this._clock()) {
      return this._answer(409, { reason: 'late' });
    }
    this._extend(untilMs);
    const spec = String(body.spec);
    const runMs = this._options.runMs?.(spec) ?? Number(spec);
    const active: ActiveRun = {
      task,
      run,
      startedAtMs: Date.now(),
      timer: setTimeout(
        () => {
          this._end(active, this.failsAll ? 'failed' : 'done');
        },
        this.failsAll ? 1 : runMs,
      ),
    };
    this._active.set(task, active);
    this.starts.push({
      task,
      run,
      startedAtMs: active.startedAtMs,
      endedAtMs: Number.POSITIVE_INFINITY,
      how: '',
    });
    return this._answer(200, {});
  }

  private _stop(task: string, run: number): JsonAnswer {
    const active = this._active.get(task);
    this._lowestRun.set(task, Math.max(run, this._lowestRun.get(task) ?? 0));
    if (active && active.run <= run) {
      this._end(active, 'stopped');
    }
    return this._answer(200, {});
  }

  private async _hold(body: Record<string, unknown>): Promise<JsonAnswer> {
    const ackedThrough = Number(body.acked_through ?? 0);
    this._ends = this._ends.filter(([number]) => number > ackedThrough);
    if (body.until_ms !== undefined) {
      this._extend(Number(body.until_ms));
    }
    const waitMs = Number(body.wait_ms ?? 0);
    if (waitMs > 0 && this._ends.length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this._waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return this._answer(200, {
      running: [...this._active.values()].map(({ task, run }) => [
        task,
        run,
        '',
        100,
      ]),
      finished: this._ends,
    });
  }

  private _extend(untilMs: number): void {
    const until = Math.min(untilMs, this._clock() + MAX_LEASE_MS);
    if (until <= this._leaseUntilMs) {
      return;
    }
    this._leaseUntilMs = until;
    clearTimeout(this._leaseTimer);
    this._leaseTimer = setTimeout(() => {
      for (const run of [...this._active.values()]) {
        this._end(run, 'lapsed');
      }
    }, until - this._clock());
  }

  private _end(run: ActiveRun, how: string, isListed = true): void {
    clearTimeout(run.timer);
    this._active.delete(run.task);
    this._lowestRun.set(
      run.task,
      Math.max(run.run, this._lowestRun.get(run.task) ?? 0),
    );
    const record = this.starts.findLast(
      (start) => start.task === run.task && start.run === run.run,
    );
    if (record) {
      record.endedAtMs = Date.now();
      record.how = how;
    }
    if (isListed) {
      this._ends.push([this._nextEnd, run.task, run.run, how, '']);
      this._nextEnd += 1;
    }
    const waiting = this._waiting;
    this._waiting = new Set();
    for (const wake of waiting) {
      wake();
    }
  }
}
