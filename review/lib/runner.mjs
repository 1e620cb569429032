import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { callJson, serveJson } from './http.mjs';
import { nowMs } from './record.mjs';

const MAX_HOLD_MS = 1000;
const STOP_MS = 20;
const MAX_LISTED = 500;
const HEARTBEAT_MS = 1500;
const MAX_WAIT_MS = 2000;

/**
 * Stand-in of a runner: executes runs under a lease, lists their ends until
 * they are acknowledged, and sends heartbeats to the process on its machine.
 * What a run does stands in its `spec`: `{ ms, how }`.
 */
export class Runner {
  /** Every start, also of earlier lives at this address. */
  starts;
  /** Whether starts are rejected with 503; nothing is done then. */
  isUnhealthy = false;
  /**
   * Returns after which time a start is carried out, if late. It gets no answer,
   * and its time counts from then.
   */
  lateOf = () => undefined;
  #options;
  #record;
  #born = Date.now();
  #bornAtMs = nowMs();
  #active = new Map();
  #closed = new Map();
  #ends = [];
  #nextEnd = 1;
  #token = 0;
  #leaseUntilMs = 0;
  #lapsedAtMs = 0;
  #seq = 0;
  #state = 'ready';
  #waiting = new Set();
  #server;
  #heartbeats;
  #leaseTimer;
  #isUp = true;

  constructor({ record, starts, ...options }) {
    this.#record = record;
    this.starts = starts;
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  get activeRuns() {
    return [...this.#active.values()];
  }

  get unacknowledged() {
    return this.#ends.length;
  }

  async start() {
    const { id, host, port } = this.#options;
    this.#record.write('runner-up', { runner: id, born: this.#born });
    this.#server = await serveJson((req) => this.#handle(req), { host, port });
    void this.#sendHeartbeat();
    this.#heartbeats = setInterval(() => {
      void this.#sendHeartbeat();
    }, HEARTBEAT_MS);
  }

  /** Ends the process without notice. */
  async crash() {
    this.#record.write('runner-crash', { runner: this.id });
    await this.#end('crashed');
  }

  /** Announces the end, serves on for the given time, deregisters and ends. */
  async leave(drainMs) {
    this.#state = 'draining';
    this.#record.write('runner-draining', { runner: this.id });
    await this.#sendHeartbeat();
    await delay(drainMs);
    const { id, control } = this.#options;
    const url = `http://${control}/instances/${id}`;
    const { status } = await callJson({ url, method: 'DELETE' });
    this.#record.write('runner-left', { runner: id, status });
    await this.#end('left');
  }

  async #end(how) {
    if (!this.#isUp) {
      return;
    }
    this.#isUp = false;
    clearInterval(this.#heartbeats);
    clearTimeout(this.#leaseTimer);
    for (const run of this.activeRuns) {
      this.#finish(run, how, false);
    }
    this.#wake();
    await this.#server?.close();
  }

  get #clockMs() {
    return Math.floor(nowMs() - this.#bornAtMs) + 1;
  }

  async #sendHeartbeat() {
    const { id, service, host, port, zone, control } = this.#options;
    const { cpu = 16_000, labels = ['a', 'r1-1'] } = this.#options;
    this.#seq += 1;
    await callJson({
      url: `http://${control}/instances/${id}`,
      method: 'PUT',
      timeoutMs: 1000,
      body: {
        service,
        address: `${host}:${port}`,
        zone,
        version: 'v1',
        slots: 8,
        state: this.#state,
        cold_left_ms: 0,
        capacity: { cpu, mem_mb: 65_536, gpus: 0 },
        labels,
        clock_ms: this.#clockMs,
        born: this.#born,
        seq: this.#seq,
      },
    });
  }

  async #handle(req) {
    const lateMs = req.path === '/run-start' ? this.lateOf() : undefined;
    if (lateMs === undefined) {
      return this.#isUp ? this.#execute(req) : undefined;
    }
    const { task, run, until_ms: untilMs } = req.body;
    this.#record.write('start-late', { runner: this.id, task, run, lateMs });
    const grantMs = untilMs - this.#clockMs;
    await delay(lateMs);
    if (this.#isUp) {
      const body = { ...req.body, until_ms: this.#clockMs + grantMs };
      await this.#execute({ ...req, body });
    }
    return undefined;
  }

  async #execute({ path, headers, body = {} }) {
    const expected = headers['x-sapphiremux-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return { status: 421 };
    }
    const token = body.fencing_token ?? 0;
    if (token < this.#token) {
      return this.#reply(409, { reason: 'fence' });
    }
    this.#token = token;
    switch (path) {
      case '/run-start':
        return this.#startRun(body);
      case '/run-stop':
        return this.#stopRun(body);
      case '/hold':
        return this.#hold(body);
      default:
        return { status: 404 };
    }
  }

  #reply(status, body = {}) {
    return {
      status,
      body: { clock_ms: this.#clockMs, born: this.#born, ...body },
    };
  }

  #startRun({ task, run, spec, until_ms: untilMs, checkpoint }) {
    if (this.isUnhealthy) {
      this.#record.write('start-503', { runner: this.id, task, run });
      return { status: 503 };
    }
    const key = `${task}#${run}`;
    if (this.#active.has(key)) {
      this.#extendLease(untilMs);
      return this.#reply(200);
    }
    if (run <= (this.#closed.get(task) ?? 0)) {
      this.#extendLease(untilMs);
      return this.#reply(409, { reason: 'old' });
    }
    if (untilMs <= this.#clockMs) {
      return this.#reply(409, { reason: 'late' });
    }
    this.#extendLease(untilMs);
    const { ms, how = 'done' } = JSON.parse(spec);
    const started = {
      task,
      run,
      spec,
      checkpoint,
      runner: this.id,
      startedAtMs: nowMs(),
      endedAtMs: Infinity,
      how: '',
      /** Whether the end was acknowledged without a lapse of the lease before. */
      isNoted: false,
      notedAtMs: Infinity,
    };
    started.timer = setTimeout(() => {
      this.#finish(started, how);
    }, ms);
    this.#active.set(key, started);
    this.starts.push(started);
    this.#record.write('start', { runner: this.id, task, run });
    return this.#reply(200);
  }

  async #stopRun({ task, run }) {
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0));
    const stopped = this.activeRuns.filter(
      (active) => active.task === task && active.run <= run,
    );
    if (stopped.length > 0) {
      await delay(STOP_MS);
      for (const active of stopped) {
        this.#finish(active, 'stopped');
      }
    }
    return this.#reply(200);
  }

  async #hold(body) {
    const { acked_through: ackedThrough = 0, wait_ms: waitMs = 0 } = body;
    for (const end of this.#ends) {
      if (end.number <= ackedThrough) {
        end.started.isNoted = this.#lapsedAtMs < end.started.endedAtMs;
        end.started.notedAtMs = nowMs();
        this.#record.write('noted', {
          runner: this.id,
          task: end.started.task,
          run: end.started.run,
          how: end.started.how,
          lapsed: !end.started.isNoted,
        });
      }
    }
    this.#ends = this.#ends.filter(({ number }) => number > ackedThrough);
    if (body.until_ms !== undefined) {
      this.#extendLease(body.until_ms);
    }
    if (waitMs > 0 && this.#ends.length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(waitMs, MAX_WAIT_MS));
        this.#waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return this.#reply(200, {
      running: this.activeRuns.map(({ task, run }) => [task, run, '', 50, 0]),
      finished: this.#ends
        .slice(0, MAX_LISTED)
        .map(({ number, started: { task, run, how } }) => [
          number,
          task,
          run,
          how,
          '',
        ]),
    });
  }

  #extendLease(untilMs) {
    const until = Math.min(untilMs, this.#clockMs + MAX_HOLD_MS);
    if (until <= this.#leaseUntilMs) {
      return;
    }
    this.#leaseUntilMs = until;
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      this.#lapsedAtMs = nowMs();
      for (const run of this.activeRuns) {
        this.#finish(run, 'lapsed');
      }
    }, until - this.#clockMs);
  }

  #finish(started, how, isListed = true) {
    const key = `${started.task}#${started.run}`;
    if (!this.#active.delete(key)) {
      return;
    }
    clearTimeout(started.timer);
    const { task, run } = started;
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0));
    started.endedAtMs = nowMs();
    started.how = how;
    this.#record.write('end', { runner: this.id, task, run, how });
    if (isListed) {
      this.#ends.push({ number: this.#nextEnd, started });
      this.#nextEnd += 1;
    }
    this.#wake();
  }

  #wake() {
    const waiting = this.#waiting;
    this.#waiting = new Set();
    for (const wake of waiting) {
      wake();
    }
  }
}
