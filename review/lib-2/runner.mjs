// A worker that follows the page on running tasks: leases on its own steady
// clock, fencing tokens, run numbers, and ends that are listed until acknowledged.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';

const MAX_LISTED = 500;

/**
 * What a task does, by its specification: `ms=600` is its run time, `fail=2` makes
 * the first two runs fail, `fail=always` all of them.
 */
const readSpec = (spec) => {
  const fields = new Map(
    spec.split(';').map((field) => field.split('=', 2).map((s) => s.trim())),
  );
  const fail = fields.get('fail') ?? '0';
  return {
    ms: Number(fields.get('ms') ?? 100),
    failures: fail === 'always' ? Infinity : Number(fail),
  };
};

export class Runner {
  /** Starts on all workers of the deployment, in their order. */
  static starts = [];

  constructor({
    id,
    host,
    port,
    control,
    zone,
    log,
    bounds,
    cpu = 16_000,
    labels = ['a', 'r1-1'],
  }) {
    Object.assign(this, { id, host, port, control, zone, log, bounds, cpu });
    this.bornMs = Date.now();
    this.bornAt = performance.now();
    this.seq = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.active = new Map();
    this.closedRuns = new Map();
    this.ends = [];
    this.nextEnd = 1;
    this.waiting = new Set();
    this.labels = labels;
    /** How late a start is carried out, without an answer; mostly not at all. */
    this.lateMsOf = () => undefined;
    this.state = 'ready';
  }

  get clock() {
    return Math.floor(performance.now() - this.bornAt) + 1;
  }

  async start() {
    this.server = http.createServer((req, res) => {
      const chunks = [];
      req.on('data', (chunk) => chunks.push(chunk));
      req.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const call = text === '' ? {} : JSON.parse(text);
        const lateMs =
          req.url === '/run-start' ? this.lateMsOf(call) : undefined;
        if (lateMs !== undefined) {
          this.carryOutLate(req, call, lateMs);
          return;
        }
        void this.handle(req, call).then(({ status, body }) => {
          res.writeHead(status, { 'content-type': 'application/json' });
          res.end(
            JSON.stringify({
              clock_ms: this.clock,
              born: this.bornMs,
              ...body,
            }),
          );
        });
      });
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.beat = setInterval(() => this.heartbeat(), 1500);
    this.heartbeat();
  }

  /** Carries a call out late; the time that it grants counts from then. */
  carryOutLate(req, call, lateMs) {
    const { task, run } = call;
    const leftMs = call.until_ms - this.clock;
    this.log('call held', { worker: this.id, task, run, lateMs });
    setTimeout(() => {
      const late = { ...call, until_ms: this.clock + leftMs };
      void this.handle(req, late).then(({ status, body }) => {
        this.log('call carried out late', { task, run, status, ...body });
      });
    }, lateMs);
  }

  heartbeat() {
    this.seq += 1;
    const body = JSON.stringify({
      service: 'svc',
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_left_ms: 0,
      capacity: { cpu: this.cpu, mem_mb: 65_536, gpus: 0 },
      labels: this.labels,
      clock_ms: this.clock,
      born: this.bornMs,
      seq: this.seq,
    });
    const [host, port] = this.control.split(':');
    const req = http.request({
      host,
      port,
      method: 'PUT',
      path: `/instances/${this.id}`,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
      timeout: 1000,
    });
    req.on('error', () => undefined);
    req.on('timeout', () => req.destroy());
    req.on('response', (res) => res.resume());
    req.end(body);
  }

  async handle(req, body) {
    const expected = req.headers['x-sapphiremux-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return { status: 421, body: {} };
    }
    const token = body.fencing_token ?? 0;
    if (token < this.token) {
      return { status: 409, body: { reason: 'fence' } };
    }
    this.token = token;
    switch (req.url) {
      case '/run-start':
        return this.startRun(body);
      case '/run-stop':
        return this.stopRun(body);
      case '/hold':
        return this.hold(body);
      default:
        return { status: 404, body: {} };
    }
  }

  startRun({ task, run, spec, until_ms: until }) {
    if (this.active.get(task)?.run === run) {
      return { status: 200, body: {} };
    }
    const closed = this.closedRuns.get(task) ?? 0;
    if (run <= Math.max(closed, this.active.get(task)?.run ?? 0)) {
      this.extend(until);
      return { status: 409, body: { reason: 'old' } };
    }
    if (until <= this.clock) {
      return { status: 409, body: { reason: 'late' } };
    }
    this.extend(until);
    const { ms, failures } = readSpec(spec);
    const earlier = Runner.starts.filter((other) => other.task === task);
    const start = {
      worker: this.id,
      task,
      run,
      spec,
      startedAt: Date.now(),
      endedAt: undefined,
      how: undefined,
      noted: undefined,
      lapsedSinceEnd: false,
    };
    Runner.starts.push(start);
    this.log('start', { worker: this.id, task, run });
    const failed = earlier.filter((other) => other.how === 'failed').length;
    const timer = setTimeout(
      () => this.end(task, failed < failures ? 'failed' : 'done'),
      ms,
    );
    this.active.set(task, { run, timer, start });
    return { status: 200, body: {} };
  }

  stopRun({ task, run }) {
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    if ((this.active.get(task)?.run ?? Infinity) <= run) {
      this.end(task, 'stopped');
    }
    return { status: 200, body: {} };
  }

  async hold({ until_ms: until, acked_through: acked = 0, wait_ms: wait = 0 }) {
    for (const end of this.ends) {
      if (end.number <= acked) {
        // An end counts as noted, unless the lease has lapsed since it.
        end.start.noted = !end.start.lapsedSinceEnd;
        const { task, run, how, noted } = end.start;
        this.log('noted', { worker: this.id, task, run, how, noted });
      }
    }
    this.ends = this.ends.filter((end) => end.number > acked);
    if (until !== undefined) {
      this.extend(until);
    }
    if (wait > 0 && this.ends.length === 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          this.waiting.delete(done);
          resolve();
        };
        const timer = setTimeout(done, wait);
        this.waiting.add(done);
      });
    }
    return {
      status: 200,
      body: {
        running: [...this.active].map(([task, { run }]) => [
          task,
          run,
          '',
          100,
          1600,
        ]),
        finished: this.ends
          .slice(0, MAX_LISTED)
          .map(({ number, start: { task, run, how } }) => [
            number,
            task,
            run,
            how,
            '',
          ]),
      },
    };
  }

  extend(until) {
    const end = Math.min(until, this.clock + this.bounds.max_hold_ms);
    if (end <= this.leaseUntil) {
      return;
    }
    this.leaseUntil = end;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.lapse(), end - this.clock);
  }

  lapse() {
    this.log('lease lapsed', { worker: this.id, runs: this.active.size });
    for (const { start } of this.ends) {
      start.lapsedSinceEnd = true;
    }
    for (const task of [...this.active.keys()]) {
      this.end(task, 'lapsed');
    }
  }

  end(task, how) {
    const { run, timer, start } = this.active.get(task);
    clearTimeout(timer);
    this.active.delete(task);
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
    start.endedAt = Date.now();
    start.how = how;
    this.log('end', { worker: this.id, task, run, how });
    this.ends.push({ number: this.nextEnd++, start });
    for (const wake of [...this.waiting]) {
      wake();
    }
  }

  close() {
    clearInterval(this.beat);
    clearTimeout(this.leaseTimer);
    for (const { timer } of this.active.values()) {
      clearTimeout(timer);
    }
    this.server.closeAllConnections();
    this.server.close();
  }
}
