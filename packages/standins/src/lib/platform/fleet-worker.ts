import { startJsonServer } from './json-server.js';
import type { JsonResponse, JsonRequest, JsonServer } from './json-server.js';

/**
 * Maximum duration of a lease; longer requests are shortened to it. The settings
 * of the driver process give the same value as `max_hold_ms`.
 */
const MAX_LEASE_MS = 1000;
const HEARTBEAT_MS = 500;
/** Ends that a worker lists at a time; the others follow once these are acknowledged. */
const MAX_LISTED_ENDS = 500;

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
  /** Time from the start to the first heartbeat in milliseconds; 0 by default. */
  readonly firstHeartbeatMs?: number | undefined;
}

/** A run that the worker has started, for assertions in tests. */
export interface StartRecord {
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  /** Infinite until the run has ended. */
  endedAtMs: number;
  /** Kind of the end; empty until the run has ended. */
  endKind: string;
  /** Whether the end was acknowledged before the worker's lease lapsed. */
  isAcknowledged: boolean;
}

/**
 * Fake of a worker, with its HTTP interface: executes runs under a lease,
 * lists their ends until they are acknowledged and sends heartbeats to its
 * driver process. A run does nothing but last for its run time.
 */
export class FleetWorker {
  readonly starts: StartRecord[] = [];
  /** Whether runs fail right after their start. */
  failsAllRuns = false;
  /** Whether starts are executed and their replies are lost. */
  losesStartReplies = false;
  /**
   * Whether starts are kept without an answer. If the worker starts again under
   * its id, the next incarnation executes them.
   */
  holdsStarts = false;
  /** Whether polls are kept in the same way. */
  holdsPolls = false;
  /** Starts and polls that were kept. */
  readonly heldStarts: JsonRequest[] = [];
  readonly heldPolls: JsonRequest[] = [];
  private readonly _options: FleetWorkerOptions;
  private readonly _activeRuns = new Map<string, ActiveRun>();
  /** Highest run number of each task that has ended or was stopped. */
  private readonly _highestClosedRun = new Map<string, number>();
  private _listedEnds: ListedEnd[] = [];
  /** Records of the ends listed since the last lapse, by number. */
  private readonly _listedRecords = new Map<number, StartRecord>();
  private _nextEndNumber = 1;
  private _fencingToken = 0;
  private _leaseUntilMs = 0;
  private _startedAtMs = Date.now();
  private _sequence = 0;
  private _pendingHolds = new Set<() => void>();
  private _isClosed = false;
  private _server: JsonServer | undefined;
  private _firstHeartbeatTimer: NodeJS.Timeout | undefined;
  private _heartbeatTimer: NodeJS.Timeout | undefined;
  private _leaseTimer: NodeJS.Timeout | undefined;

  /** @param options - Names, addresses and run times. */
  constructor(options: FleetWorkerOptions) {
    this._options = options;
  }

  /** Starts the server and the heartbeats. */
  async start(): Promise<void> {
    this._startedAtMs = Date.now();
    this._server = await startJsonServer(
      (req) => this._handle(req),
      this._options.listen,
    );
    this._firstHeartbeatTimer = setTimeout(() => {
      void this.sendHeartbeat();
      this._heartbeatTimer = setInterval(
        () => void this.sendHeartbeat(),
        HEARTBEAT_MS,
      );
    }, this._options.firstHeartbeatMs ?? 0);
  }

  /** Simulates a crash: stops the server and ends all runs without a report. */
  async close(): Promise<void> {
    this._isClosed = true;
    clearTimeout(this._firstHeartbeatTimer);
    clearInterval(this._heartbeatTimer);
    clearTimeout(this._leaseTimer);
    for (const run of [...this._activeRuns.values()]) {
      this._endRun(run, 'crashed', false);
    }
    for (const wake of this._pendingHolds) {
      wake();
    }
    await this._server?.close();
  }

  /**
   * Sends one heartbeat.
   *
   * @param state - State of the worker to report.
   */
  async sendHeartbeat(state = 'ready'): Promise<void> {
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
      clock_ms: this._clockMs(),
      born: this._startedAtMs,
      seq: this._sequence,
    };
    await fetch(`http://${this._options.control}/instances/${id}`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    }).catch(() => undefined);
  }

  private _clockMs(): number {
    return Date.now() - this._startedAtMs + 1;
  }

  /** Executes a call that an earlier incarnation has kept. */
  async executeHeld(req: JsonRequest): Promise<void> {
    if (!this._isClosed) {
      await this._handle(req);
    }
  }

  private async _handle(req: JsonRequest): Promise<JsonResponse | undefined> {
    if (this.holdsStarts && req.path === '/run-start') {
      this.heldStarts.push(req);
      return undefined;
    }
    if (this.holdsPolls && req.path === '/hold') {
      this.heldPolls.push(req);
      return undefined;
    }
    const expected = req.headers['x-sapphiremux-expect-instance'];
    if (expected !== undefined && expected !== this._options.id) {
      return { status: 421 };
    }
    const body = req.body as Record<string, unknown>;
    const token = Number(body.fencing_token ?? 0);
    if (token < this._fencingToken) {
      return this._createResponse(409, { reason: 'fence' });
    }
    this._fencingToken = token;
    switch (req.path) {
      case '/run-start': {
        const response = this._start(body);
        return this.losesStartReplies ? undefined : response;
      }
      case '/run-stop':
        return this._stop(String(body.task), Number(body.run));
      case '/hold':
        return this._hold(body);
      default:
        return { status: 404 };
    }
  }

  private _createResponse(status: number, body: object): JsonResponse {
    return {
      status,
      body: { clock_ms: this._clockMs(), ...body },
    };
  }

  private _start(body: Record<string, unknown>): JsonResponse {
    const task = String(body.task);
    const run = Number(body.run);
    const untilMs = Number(body.until_ms);
    if (this._activeRuns.get(task)?.run === run) {
      return this._createResponse(200, {});
    }
    if (run <= (this._highestClosedRun.get(task) ?? 0)) {
      this._extendLease(untilMs);
      return this._createResponse(409, { reason: 'old' });
    }
    if (untilMs <= this._clockMs()) {
      return this._createResponse(409, { reason: 'late' });
    }
    this._extendLease(untilMs);
    const spec = String(body.spec);
    const runMs = this._options.runMs?.(spec) ?? Number(spec);
    const active: ActiveRun = {
      task,
      run,
      startedAtMs: Date.now(),
      timer: setTimeout(
        () => {
          this._endRun(active, this.failsAllRuns ? 'failed' : 'done');
        },
        this.failsAllRuns ? 1 : runMs,
      ),
    };
    this._activeRuns.set(task, active);
    this.starts.push({
      task,
      run,
      startedAtMs: active.startedAtMs,
      endedAtMs: Number.POSITIVE_INFINITY,
      endKind: '',
      isAcknowledged: false,
    });
    return this._createResponse(200, {});
  }

  private _stop(task: string, run: number): JsonResponse {
    const active = this._activeRuns.get(task);
    this._highestClosedRun.set(
      task,
      Math.max(run, this._highestClosedRun.get(task) ?? 0),
    );
    if (active && active.run <= run) {
      this._endRun(active, 'stopped');
    }
    return this._createResponse(200, {});
  }

  private async _hold(body: Record<string, unknown>): Promise<JsonResponse> {
    const ackedThrough = Number(body.acked_through ?? 0);
    for (const [number, record] of this._listedRecords) {
      if (number <= ackedThrough) {
        record.isAcknowledged = true;
        this._listedRecords.delete(number);
      }
    }
    this._listedEnds = this._listedEnds.filter(
      ([number]) => number > ackedThrough,
    );
    if (body.until_ms !== undefined) {
      this._extendLease(Number(body.until_ms));
    }
    const waitMs = Number(body.wait_ms ?? 0);
    if (waitMs > 0 && this._listedEnds.length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this._pendingHolds.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return this._createResponse(200, {
      born: this._startedAtMs,
      running: [...this._activeRuns.values()].map(({ task, run }) => [
        task,
        run,
        '',
        100,
      ]),
      finished: this._listedEnds.slice(0, MAX_LISTED_ENDS),
    });
  }

  private _extendLease(untilMs: number): void {
    const until = Math.min(untilMs, this._clockMs() + MAX_LEASE_MS);
    if (until <= this._leaseUntilMs) {
      return;
    }
    this._leaseUntilMs = until;
    clearTimeout(this._leaseTimer);
    this._leaseTimer = setTimeout(() => {
      this._listedRecords.clear();
      for (const run of [...this._activeRuns.values()]) {
        this._endRun(run, 'lapsed');
      }
    }, until - this._clockMs());
  }

  private _endRun(run: ActiveRun, endKind: string, isListed = true): void {
    clearTimeout(run.timer);
    this._activeRuns.delete(run.task);
    this._highestClosedRun.set(
      run.task,
      Math.max(run.run, this._highestClosedRun.get(run.task) ?? 0),
    );
    const record = this.starts.findLast(
      (start) => start.task === run.task && start.run === run.run,
    );
    if (record) {
      record.endedAtMs = Date.now();
      record.endKind = endKind;
    }
    if (isListed) {
      if (record) {
        this._listedRecords.set(this._nextEndNumber, record);
      }
      this._listedEnds.push([
        this._nextEndNumber,
        run.task,
        run.run,
        endKind,
        '',
      ]);
      this._nextEndNumber += 1;
    }
    const pendingHolds = this._pendingHolds;
    this._pendingHolds = new Set();
    for (const wake of pendingHolds) {
      wake();
    }
  }
}
