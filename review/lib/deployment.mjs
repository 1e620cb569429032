import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { callJson } from './http.mjs';
import { nowMs } from './record.mjs';
import { Runner } from './runner.mjs';
import { Store } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = ['dkr-a', 'dkr-b', 'dkr-c', 'dkr-d'];
const READY_TIMEOUT_MS = 20_000;
const RESTART_DELAY_MS = 300;

export const HOST = 'levy.example';
export const SERVICE = 'levy-desk';
export const ATTEMPTS = 3;

/** The command of a role in the deploy file, split at spaces. */
const commandOf = (role) => {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /^run = "(.*)"$/m.exec(section)?.[1] ?? '';
  return command.split(' ');
};

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/** Port of the metrics of each process, as the deploy file has it. */
const METRICS_PORT = 9464;

/**
 * Finds a range of loopback addresses that no other deployment uses, by the
 * metrics port, and ports that are free there.
 */
const findAddresses = async () => {
  for (let i = 0; i < 200; i += 1) {
    const prefix = `127.${30 + ((process.pid + i) % 200)}`;
    const host = `${prefix}.1.1`;
    if (!(await isFree(host, METRICS_PORT))) {
      continue;
    }
    for (let first = 7700; first < 9400; first += 40) {
      const ports = Array.from({ length: 20 }, (_, k) => first + k);
      const free = await Promise.all(ports.map((port) => isFree(host, port)));
      if (free.every(Boolean)) {
        return { prefix, first };
      }
    }
  }
  throw new Error('no free ports');
};

const route = (name, priority) => ({
  name,
  host: HOST,
  path_prefix: `/${name}/`,
  kind: 'non_idempotent',
  timeout_ms: 1500,
  slo_ms: 60,
  priority,
  service: SERVICE,
  attempts: ATTEMPTS,
  stretch: 1.6,
});

const configuration = () => ({
  version: 3,
  routes: [route('quote', 0), route('settle', 2), route('receipt', 1)],
  services: [{ name: SERVICE, rejects_overload: false }],
  limits: { max_body_bytes: 262_144 },
});

/**
 * The programs of the deploy file as separate processes, each on a loopback
 * address of its own, with a stand-in store and a stand-in runner beside each
 * process of the worker role. A process that ends is started again.
 */
export class Deployment {
  store;
  entries = [];
  machines = [];
  /** Every start of a run. */
  starts = [];
  #record;
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #prefix = '';
  #isClosing = false;
  #port = 0;

  constructor(record) {
    this.#record = record;
    this.store = new Store(record);
  }

  /** Starts everything and waits until the entries are ready. */
  async start({ entries, workers, runnerOptions = () => ({}) }) {
    const { prefix, first } = await findAddresses();
    this.#prefix = prefix;
    this.#port = first;
    this.store.put('op', 'config', configuration());
    for (let i = 0; i < workers; i += 1) {
      const host = `${this.#prefix}.2.${i + 1}`;
      const machine = await this.#launch('worker', `side-${i + 1}`, host, i);
      machine.options = runnerOptions(i);
      machine.lives = 0;
      this.machines.push(machine);
      await this.startRunner(machine);
    }
    for (let i = 0; i < entries; i += 1) {
      const host = `${this.#prefix}.1.${i + 1}`;
      const name = `frontend-${i + 1}`;
      this.entries.push(await this.#launch('entry', name, host, i));
    }
    await Promise.all(this.entries.map((entry) => this.waitUntilReady(entry)));
    // A link to each worker takes a moment after that.
    await delay(1500);
  }

  /** Starts a new life of the runner on a machine. */
  async startRunner(machine) {
    machine.lives += 1;
    machine.runner = new Runner({
      record: this.#record,
      starts: this.starts,
      id: `i-${machine.name}-${machine.lives}`,
      service: SERVICE,
      zone: machine.zone,
      host: machine.host,
      port: this.#port + 5,
      control: `${machine.host}:${this.#port + 6}`,
      ...machine.options,
    });
    await machine.runner.start();
    return machine.runner;
  }

  frontOf(entry) {
    return `http://${entry.host}:${this.#port + 1}`;
  }

  async waitUntilReady(entry) {
    const url = `http://${entry.host}:${this.#port + 7}/ready`;
    const endsAtMs = nowMs() + READY_TIMEOUT_MS;
    while (nowMs() < endsAtMs) {
      const { status } = await callJson({ url, timeoutMs: 1000 });
      if (status === 200) {
        return;
      }
      await delay(100);
    }
    throw new Error(`${entry.name} is not ready`);
  }

  /** Kills the process of a machine, which starts again after some time. */
  kill(target, darkMs) {
    target.darkMs = darkMs;
    target.child.kill('SIGKILL');
  }

  async close() {
    this.#isClosing = true;
    const all = [...this.entries, ...this.machines];
    for (const { child } of all) {
      child.kill('SIGKILL');
    }
    await Promise.all(
      this.machines.map(({ runner }) => runner?.crash() ?? undefined),
    );
    await this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #launch(role, name, host, index) {
    const zone = ZONES[index % ZONES.length];
    const target = { role, name, host, zone };
    target.store = await this.store.open(`${this.#prefix}.0.1`, name);
    this.#spawn(target);
    return target;
  }

  #spawn(target) {
    const { role, name } = target;
    const file = join(this.#folder, `${name}.toml`);
    writeFileSync(file, this.#settings(target));
    const [program, ...args] = commandOf(role);
    const command = program === 'node' ? process.execPath : program;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        SAPPHIREMUX_CONFIG: file,
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    target.child = child;
    let rest = '';
    child.stdout.on('data', (chunk) => {
      const lines = (rest + chunk.toString('utf8')).split('\n');
      rest = lines.pop() ?? '';
      if (process.env.VERBOSE === '1') {
        for (const line of lines) {
          this.#record.write('log', { process: name, line });
        }
      }
    });
    child.on('exit', (code, signal) => {
      if (this.#isClosing) {
        return;
      }
      this.#record.write('process-ended', { process: name, code, signal });
      void delay(target.darkMs ?? RESTART_DELAY_MS).then(() => {
        if (!this.#isClosing) {
          this.#record.write('process-started', { process: name });
          this.#spawn(target);
        }
      });
    });
  }

  #settings({ role, name, host, zone, store }) {
    const port = this.#port;
    const isEntry = role === 'entry';
    const machineClass = isEntry ? 'frontend' : 'side';
    return [
      `node_name = "${name}"`,
      `role = "${role}"`,
      `machine_class = "${machineClass}"`,
      `serves = ["${machineClass}"]`,
      `ip = "${host}"`,
      `zone = "${zone}"`,
      'region = "dkr"',
      `port_range = [${port + 10},${port + 19}]`,
      'seeds = []',
      'bootstrap = true',
      'in_loss_budget = true',
      'discovery = "local"',
      'entry = "vip"',
      'heartbeat_ms = 1500',
      'orders = "call"',
      ...(isEntry
        ? []
        : [`app = "${host}:${port + 5}"`, `service = "${SERVICE}"`]),
      '[zones]',
      ...ZONES.map((known) => `${known} = "dkr"`),
      '[listen]',
      ...(isEntry
        ? [`front = "${host}:${port + 1}"`, `ready = "${host}:${port + 7}"`]
        : [`control = "${host}:${port + 6}"`]),
      '[bounds]',
      'contact_ms = 3000',
      'ack_ms = 4000',
      'grace_s = 6',
      'max_hold_ms = 1000',
      'stop_ms = 50',
      'cancel_ms = 3000',
      'visible_ms = 3000',
      'finish_s = 14',
      'status_s = 120',
      'far_factor = 1.5',
      'resend_ms = 1300',
      '[platform]',
      `address = "${store}"`,
      'form = "table"',
      'writes_per_s = 800',
      'reads_per_s = 2000',
      'tx_ms = 5.0',
      'part_writes_s = 200',
      'row_bytes = 65536',
      'across = false',
      'history_s = 20',
      '',
    ].join('\n');
  }
}
