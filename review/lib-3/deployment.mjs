import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { callJson } from './http.mjs';
import { RunnerHandle } from './runner-handle.mjs';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const FRONT_PORT = 8161;
const READY_PORT = 8167;
const CONTROL_PORT = 8166;
const APP_PORT = 8165;
const PEER_PORTS = [7720, 7735];
const HOST = 'queue.example';
const SERVICE = 'svc';
const READY_TIMEOUT_MS = 15_000;
const RESTART_DELAY_MS = 300;
/** How long a client waits for an answer. */
const CLIENT_DEADLINE_MS = 1500;

/** The command of a role, split at spaces as the platform does. */
const commandOf = (role) => {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) {
    throw new Error(`the deploy file has no command for ${role}`);
  }
  return run.split(' ');
};

/** The name of a machine: its class, zone and number there, as the platform has them. */
const nameOf = (machineClass, zones, index) => {
  const number = zones.slice(0, index + 1).filter((z) => z === zones[index]);
  return `${machineClass}-${zones[index]}-${number.length}`;
};

const canListen = (host) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(FRONT_PORT, host, () => server.close(() => resolve(true)));
  });

/** Finds a free part of the loopback range, e.g. `127.93.7`. */
const findPrefix = async () => {
  for (;;) {
    const [a, b] = randomBytes(2);
    const prefix = `127.${20 + (a % 200)}.${b}`;
    if (await canListen(`${prefix}.11`)) {
      return prefix;
    }
  }
};

/**
 * A small deployment on loopback addresses: the project's programs as separate
 * processes, started by the commands of the deploy file, and stand-ins of the
 * store, the runners and the clients.
 */
export class Deployment {
  store = new Store();
  runners = [];
  entries = [];
  workers = [];
  _directory = mkdtempSync(join(tmpdir(), 'sapphiremux-review-'));
  _startedAt = performance.now();
  _isClosing = false;

  /**
   * @param options.record - Path of the record file.
   * @param options.zones - Zone of each entry, and of each runner.
   * @param options.labels - Labels by index of the runner.
   * @param options.attempts - Attempts of a task.
   */
  constructor({ record, ...options }) {
    this._options = options;
    this._record = createWriteStream(record);
  }

  /** Time since the start, in milliseconds. */
  get nowMs() {
    return Math.round(performance.now() - this._startedAt);
  }

  /** Writes a line to the record. */
  note(fields) {
    this._write(this.nowMs, fields);
  }

  _write(atMs, fields) {
    const words = Object.entries(fields).map(([k, v]) => `${k}=${v}`);
    const at = (atMs / 1000).toFixed(3).padStart(8);
    this._record.write(`${at} ${words.join(' ')}\n`);
  }

  async start() {
    const prefix = await findPrefix();
    const { entryZones, runnerZones, labels, cpu, runnerOptions } =
      this._options;
    this._zones = [...new Set([...entryZones, ...runnerZones])];
    this.store.put('op', 'config', this._config(1));
    for (const [index, zone] of entryZones.entries()) {
      const host = `${prefix}.${11 + index}`;
      this.entries.push(
        await this._launch(
          'entry',
          nameOf('frontend', entryZones, index),
          host,
          zone,
        ),
      );
    }
    for (const [index, zone] of runnerZones.entries()) {
      const host = `${prefix}.${51 + index}`;
      this.workers.push(
        await this._launch(
          'worker',
          nameOf('side', runnerZones, index),
          host,
          zone,
        ),
      );
      const runner = new RunnerHandle({
        id: `i-${index}`,
        host,
        port: APP_PORT,
        controlPort: CONTROL_PORT,
        service: SERVICE,
        zone,
        labels: labels?.[index] ?? ['a'],
        cpu: cpu ?? 16_000,
        ...runnerOptions,
        onEvent: (event) => this._onRun(event),
      });
      this.runners.push(runner);
      await runner.start();
    }
    await Promise.all(this.entries.map((entry) => this._awaitReady(entry)));
    // The heartbeats of all runners have arrived and are registered by then.
    await delay(2000);
  }

  /** All events of runs, with their time, in order. */
  runs = [];

  _onRun({ at, ...event }) {
    const atMs = Math.round(at - performance.timeOrigin - this._startedAt);
    this.runs.push({ atMs, ...event });
    this._write(atMs, event);
  }

  _config(version) {
    return {
      version,
      routes: [
        {
          name: 'jobs',
          host: HOST,
          path_prefix: '/jobs/',
          service: SERVICE,
          timeout_ms: CLIENT_DEADLINE_MS,
          priority: 0,
          attempts: this._options.attempts ?? 3,
          stretch: 1.6,
          slo_ms: 60,
        },
      ],
      services: [{ name: SERVICE }],
      limits: { max_body_bytes: 262_144 },
    };
  }

  async _launch(role, name, host, zone) {
    const port = await this.store.listen(host, name);
    const file = join(this._directory, `${name}.toml`);
    writeFileSync(file, this._settings({ role, name, host, zone, port }));
    const target = { role, name, host, zone, file, exits: [] };
    this._spawn(target);
    return target;
  }

  _settings({ role, name, host, zone, port }) {
    const side = role === 'worker';
    return [
      `node_name = "${name}"`,
      `role = "${role}"`,
      `machine_class = "${side ? 'side' : 'frontend'}"`,
      `serves = ["${side ? 'side' : 'frontend'}"]`,
      `ip = "${host}"`,
      `zone = "${zone}"`,
      'region = "r"',
      `port_range = [${PEER_PORTS.join(',')}]`,
      'bootstrap = true',
      'heartbeat_ms = 1500',
      'orders = "call"',
      ...(side
        ? [`app = "${host}:${APP_PORT}"`, `service = "${SERVICE}"`]
        : []),
      '[zones]',
      ...this._zones.map((other) => `${other} = "r"`),
      '[listen]',
      ...(side
        ? [`control = "${host}:${CONTROL_PORT}"`]
        : [
            `front = "${host}:${FRONT_PORT}"`,
            `ready = "${host}:${READY_PORT}"`,
          ]),
      '[bounds]',
      'grace_s = 6',
      'max_hold_ms = 1000',
      'stop_ms = 50',
      'resend_ms = 1300',
      'status_s = 120',
      'far_factor = 1.5',
      '[platform]',
      `address = "${host}:${port}"`,
      'form = "table"',
      'row_bytes = 65536',
    ].join('\n');
  }

  _spawn(target) {
    const [program, ...args] = commandOf(target.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        ...(LANG === undefined ? {} : { LANG }),
        SAPPHIREMUX_CONFIG: target.file,
      },
      stdio: [
        'ignore',
        process.env.REVIEW_LOGS === undefined ? 'ignore' : 'pipe',
        'inherit',
      ],
    });
    if (child.stdout) {
      const file = join(process.env.REVIEW_LOGS, `${target.name}.log`);
      child.stdout.pipe(createWriteStream(file, { flags: 'a' }));
    }
    target.child = child;
    child.on('exit', (code, signal) => {
      target.exits.push({ atMs: this.nowMs, code, signal });
      this.note({ what: 'exit', process: target.name, code, signal });
      if (!this._isClosing) {
        void delay(target.restartDelayMs ?? RESTART_DELAY_MS).then(() => {
          if (!this._isClosing) {
            this._spawn(target);
          }
        });
      }
    });
  }

  /** Sends a signal to a process. One that ends is started again. */
  signal(target, signal) {
    this.note({ what: 'signal', process: target.name, signal });
    target.child.kill(signal);
  }

  async _awaitReady({ host, name }) {
    const endsAt = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endsAt) {
      const { status } = await callJson({
        host,
        port: READY_PORT,
        method: 'GET',
        path: '/ready',
        timeoutMs: 500,
      });
      if (status === 200) {
        return;
      }
      await delay(50);
    }
    throw new Error(`${name} is not ready`);
  }

  /** Sends one request of a client to an entry, on a connection of its own. */
  async call(entry, method, id, body, deadlineMs = CLIENT_DEADLINE_MS) {
    const sentAtMs = this.nowMs;
    this.note({ what: 'send', method, job: id, to: entry.name });
    const {
      status,
      body: answer,
      detail,
    } = await callJson({
      host: entry.host,
      port: FRONT_PORT,
      method,
      path: `/jobs/${id}`,
      headers: {
        host: HOST,
        'x-sapphiremux-deadline-ms': String(deadlineMs),
      },
      body,
      timeoutMs: deadlineMs,
    });
    const state = answer?.state;
    this.note({
      what: 'answer',
      method,
      job: id,
      from: entry.name,
      status,
      ...(state === undefined ? {} : { state }),
      ...(answer?.pending === undefined ? {} : { pending: answer.pending }),
      ...(detail === '' ? {} : { detail: detail.replaceAll(' ', '-') }),
    });
    return {
      status,
      state,
      pending: answer?.pending,
      sentAtMs,
      atMs: this.nowMs,
    };
  }

  /** Ends all processes and stand-ins. */
  async close() {
    this._isClosing = true;
    const children = [...this.entries, ...this.workers].map((t) => t.child);
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(this.runners.map((runner) => runner.close()));
    await this.store.close();
    rmSync(this._directory, { recursive: true, force: true });
    await new Promise((resolve) => this._record.end(resolve));
  }
}

/** @returns A new id of a job. */
export const newId = () => randomBytes(8).toString('hex');

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the
 * case could not run.
 *
 * @param options - Options of the deployment.
 * @param play - Plays the case; returns the breaches as texts.
 */
export const runCase = async (options, play) => {
  const deployment = new Deployment(options);
  const isDisturbed = process.env.TROUBLE !== '0';
  let status = 2;
  try {
    await deployment.start();
    const breaches = await play(deployment, isDisturbed);
    for (const breach of breaches) {
      deployment.note({ what: 'BREACH', breach });
    }
    const [first, ...others] = breaches;
    if (first !== undefined) {
      process.stdout.write(`${first}\n`);
      process.stdout.write(`${others.length} further breaches in the record\n`);
    }
    status = breaches.length > 0 ? 1 : 0;
  } catch (err) {
    process.stderr.write(`the case could not run: ${err.stack}\n`);
  }
  await deployment.close();
  process.stdout.write(`exit ${status}\n`);
  process.exit(status);
};
