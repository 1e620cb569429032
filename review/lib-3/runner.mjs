import { Agent } from 'node:http';
import { performance } from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import { SILENCE, callJson, closeServer, serveJson } from './http.mjs';

const MAX_HOLD_MS = 1000;
const HEARTBEAT_MS = 1500;
const MAX_LISTED_ENDS = 500;
const MAX_WAIT_MS = 2000;

/** Run time of a task, which the specification of its job holds for each step. */
const runMsOf = (task, spec) => {
  const [, , step] = task.split('.');
  const { ms } = JSON.parse(spec);
  return ms[Number(step)] ?? ms[0];
};

/**
 * Stand-in of a runner: runs tasks under a lease and lists their ends until they
 * are acknowledged. A task does nothing but last.
 */
export class Runner {
  /** Starts and ends of all runs, of all lives, in order. */
  log;
  _options;
  _isUp = false;
  /** Starts that came while the runner was dark, the first one of each run. */
  _held = [];

  /** @param options - `id`, `host`, `port`, `controlPort`, `service`, `zone`, `labels`, `cpu`, `log`; `keepsStarts`, `firstHeartbeatMs`, `lateMs`. */
  constructor(options) {
    this._options = options;
    this.log = options.log;
  }

  get isUp() {
    return this._isUp;
  }

  /** Starts a life that knows nothing of earlier ones. */
  async start() {
    const { host, port } = this._options;
    this._born = Date.now();
    this._startedAt = performance.now();
    this._active = new Map();
    this._closed = new Map();
    this._ends = [];
    this._nextEnd = 1;
    this._token = 0;
    this._leaseUntilMs = 0;
    this._waiting = new Set();
    this._seq = 0;
    this._agent = new Agent({ keepAlive: true });
    this._server = await serveJson(host, port, (req) => this._answer(req));
    this._isUp = true;
    for (const body of this._held.splice(0)) {
      this.log({
        what: 'carried-out-late',
        task: body.task,
        run: body.run,
        on: this._options.id,
      });
      this._start(body);
    }
    const { firstHeartbeatMs = 0 } = this._options;
    this._firstTimer = setTimeout(() => this._heartbeat(), firstHeartbeatMs);
    this._timer = setInterval(() => this._heartbeat(), HEARTBEAT_MS);
  }

  /**
   * Comes back after a loss of power under the same id. Starts that came in the
   * meantime and have no answer are carried out now.
   */
  async comeBack() {
    this._agent.destroy();
    await closeServer(this._server);
    await this.start();
  }

  /** Crashes: all that runs is gone, and nothing is reported. */
  async crash() {
    this._isUp = false;
    this._stopAll();
    this._agent.destroy();
    await closeServer(this._server);
  }

  _stopAll() {
    clearInterval(this._timer);
    clearTimeout(this._firstTimer);
    clearTimeout(this._leaseTimer);
    for (const run of this._active.values()) {
      clearTimeout(run.timer);
      this.log({
        what: 'crashed',
        task: run.task,
        run: run.run,
        on: this._options.id,
      });
    }
    this._active.clear();
  }

  /** Loses power: all that runs is gone, and connections to it hang. */
  goDark() {
    this._isUp = false;
    this._stopAll();
  }

  get _clockMs() {
    return Math.floor(performance.now() - this._startedAt) + 1;
  }

  _heartbeat() {
    const { id, host, port, controlPort, service, zone, labels, cpu } =
      this._options;
    this._seq += 1;
    void callJson({
      host,
      port: controlPort,
      method: 'PUT',
      path: `/instances/${id}`,
      timeoutMs: 1000,
      agent: this._agent,
      body: {
        service,
        address: `${host}:${port}`,
        zone,
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_left_ms: 0,
        capacity: { cpu, mem_mb: 65_536, gpus: 0 },
        labels,
        clock_ms: this._clockMs,
        seq: this._seq,
        born: this._born,
      },
    });
  }

  _answer({ path, headers, body }) {
    if (!this._isUp) {
      this._keep(path, body);
      return SILENCE;
    }
    const expected = headers['x-sapphiremux-expect-instance'];
    if (expected !== undefined && expected !== this._options.id) {
      return { status: 421 };
    }
    const token = body.fencing_token ?? 0;
    if (token < this._token) {
      return this._reply(409, { reason: 'fence' });
    }
    this._token = token;
    switch (path) {
      case '/run-start':
        if (this._delaysNext) {
          return this._startLate(body);
        }
        return this._start(body);
      case '/run-stop':
        return this._stop(body);
      case '/hold':
        return this._hold(body);
      default:
        return { status: 404 };
    }
  }

  _keep(path, body) {
    const isKept = this._held.some(
      ({ task, run }) => task === body.task && run === body.run,
    );
    if (path === '/run-start' && this._options.keepsStarts && !isKept) {
      this._held.push(body);
    }
  }

  /** Leaves the next start without an answer, and carries it out late. */
  delayNextStart() {
    this._delaysNext = true;
  }

  /** Answers all starts again. */
  delayNoStart() {
    this._delaysNext = false;
  }

  _startLate(body) {
    const { task, run } = body;
    const on = this._options.id;
    this._delaysNext = false;
    this.log({ what: 'no-answer', task, run, on });
    setTimeout(() => {
      this.log({ what: 'carried-out-late', task, run, on });
      // Its time counts from now.
      this._start({ ...body, until_ms: this._clockMs + MAX_HOLD_MS });
    }, this._options.lateMs);
    return SILENCE;
  }

  _reply(status, body) {
    return { status, body: { clock_ms: this._clockMs, ...body } };
  }

  _start({ task, run, spec, until_ms }) {
    if (this._active.get(task)?.run === run) {
      return this._reply(200, {});
    }
    if (run <= (this._closed.get(task) ?? 0)) {
      this._extend(until_ms);
      return this._reply(409, { reason: 'old' });
    }
    if (until_ms <= this._clockMs) {
      return this._reply(409, { reason: 'late' });
    }
    this._extend(until_ms);
    const active = { task, run };
    active.timer = setTimeout(
      () => this._end(active, 'done'),
      runMsOf(task, spec),
    );
    this._active.set(task, active);
    this.log({ what: 'start', task, run, on: this._options.id });
    return this._reply(200, {});
  }

  _stop({ task, run }) {
    const active = this._active.get(task);
    this._closed.set(task, Math.max(run, this._closed.get(task) ?? 0));
    if (active && active.run <= run) {
      this._end(active, 'stopped');
    }
    return this._reply(200, {});
  }

  async _hold({ until_ms, acked_through = 0, wait_ms = 0 }) {
    if (this._ends.some(([n]) => n <= acked_through)) {
      for (const [n, task, run, how] of this._ends) {
        if (n <= acked_through) {
          const on = this._options.id;
          this.log({ what: 'noted', task, run, how, on });
        }
      }
      this._ends = this._ends.filter(([n]) => n > acked_through);
    }
    if (until_ms !== undefined) {
      this._extend(until_ms);
    }
    if (wait_ms > 0 && this._ends.length === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(MAX_WAIT_MS, wait_ms));
        this._waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (!this._isUp) {
      return SILENCE;
    }
    return this._reply(200, {
      born: this._born,
      running: [...this._active.values()].map(({ task, run }) => [
        task,
        run,
        '',
        100,
      ]),
      finished: this._ends.slice(0, MAX_LISTED_ENDS),
    });
  }

  _extend(untilMs) {
    const until = Math.min(untilMs, this._clockMs + MAX_HOLD_MS);
    if (until <= this._leaseUntilMs) {
      return;
    }
    this._leaseUntilMs = until;
    clearTimeout(this._leaseTimer);
    this._leaseTimer = setTimeout(() => {
      this.log({ what: 'lapse', task: '', run: 0, on: this._options.id });
      for (const active of [...this._active.values()]) {
        this._end(active, 'lapsed');
      }
    }, until - this._clockMs);
  }

  _end(active, how) {
    const { task, run, timer } = active;
    clearTimeout(timer);
    this._active.delete(task);
    this._closed.set(task, Math.max(run, this._closed.get(task) ?? 0));
    this._ends.push([this._nextEnd, task, run, how, '']);
    this._nextEnd += 1;
    this.log({ what: 'end', task, run, how, on: this._options.id });
    const waiting = this._waiting;
    this._waiting = new Set();
    for (const wake of waiting) {
      wake();
    }
  }
}
