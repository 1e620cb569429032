import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { getJson } from './desk-client.js';
import {
  APP_PORT,
  CONTROL_PORT,
  FRONT_PORT,
  READY_PORT,
  FLEET_SERVICE,
  dataCentreOf,
  fleetConfiguration,
  formatSettings,
  FLEET_HOST,
} from './fleet-settings.js';
import { FleetWorker } from './fleet-worker.js';
import type { FleetWorkerOptions } from './fleet-worker.js';
import { TableStore } from './table-store.js';

/** Options of {@link FleetCluster}. */
export interface FleetClusterOptions {
  readonly entries: number;
  readonly workers: number;
  /** Node options of the started processes. */
  readonly nodeArgs?: readonly string[];
  /** The bundled program; by default the one that the build has written. */
  readonly programFile?: string | undefined;
  /** Receives each line that a process writes to standard output. */
  readonly onLine?: (name: string, line: string) => void;
  /** Called when a process has ended. */
  readonly onExit?: (name: string, child: ChildProcess) => void;
}

/** Options of a worker that replaces another, see {@link FleetWorkerOptions}. */
export type ReplacementOptions = Partial<
  Pick<FleetWorkerOptions, 'id' | 'firstHeartbeatMs'>
>;

/** An entry or worker driver process. */
export interface FleetProcess {
  readonly name: string;
  readonly role: 'entry' | 'worker';
  readonly host: string;
  child: ChildProcess;
}

const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const BUNDLE_FILE = fileURLToPath(
  new URL('../../../../../target/sapphiremux.cjs', import.meta.url),
);

/** Id of the first worker at this index. */
const workerId = (index: number): string => `i-${String(index)}`;

/**
 * Runs the bundled program as entry and worker driver processes on loopback
 * addresses, against fakes of the platform's workers and table service.
 *
 * Each process has its own address, so that all use the same ports, as on the
 * platform.
 */
export class FleetCluster {
  readonly store = new TableStore();
  readonly workers: FleetWorker[] = [];
  readonly processes: FleetProcess[] = [];
  private readonly _options: FleetClusterOptions;
  private readonly _directory = mkdtempSync(join(tmpdir(), 'sapphiremux-'));
  /** Depends on the process id, so that test processes can run in parallel. */
  private readonly _addressPrefix = `127.${String(20 + (process.pid % 200))}`;
  private _isClosing = false;

  /** @param options - Numbers of processes, Node options and log receiver. */
  constructor(options: FleetClusterOptions) {
    this._options = options;
  }

  /**
   * Starts the store, the processes and the workers, and waits until the entries
   * are ready.
   */
  async start(): Promise<void> {
    await this.store.start(`${this._addressPrefix}.0.1`);
    this.configure(1);
    for (let i = 0; i < this._options.entries; i += 1) {
      this._launch('entry', i);
    }
    for (let i = 0; i < this._options.workers; i += 1) {
      const { host } = this._launch('worker', i);
      const worker = this._createWorker(i, host, workerId(i));
      this.workers.push(worker);
      await worker.start();
    }
    await Promise.all(
      this.processes
        .filter(({ role }) => role === 'entry')
        .map((entry) => this.waitUntilReady(entry)),
    );
  }

  /**
   * Writes a configuration as an operator does.
   *
   * @param version - Version of the configuration.
   */
  configure(version: number): void {
    this.store.put('op', 'config', fleetConfiguration(version));
  }

  /** @returns Base URL at which desks reach an entry. */
  frontUrl(index: number): string {
    const entry = this.processOf('entry', index);
    return `http://${entry.host}:${String(FRONT_PORT)}`;
  }

  /** @returns URL of the readiness check of an entry. */
  readyUrl(index: number): string {
    const { host } = this.processOf('entry', index);
    return `http://${host}:${String(READY_PORT)}/ready`;
  }

  /**
   * Reads the state of a job as a desk does.
   *
   * @param index - Index of the entry.
   * @param path - Path of the job.
   * @returns The state; empty if the answer contains none.
   */
  async readState(index: number, path: string): Promise<{ state: string }> {
    const { body } = await getJson(this.frontUrl(index) + path, FLEET_HOST);
    const { state = '' } = (body ?? {}) as { state?: string };
    return { state };
  }

  /**
   * Sends a signal to a process.
   *
   * @param role - Role of the process.
   * @param index - Index among the processes of this role.
   * @param signal - The signal.
   */
  signal(
    role: 'entry' | 'worker',
    index: number,
    signal: NodeJS.Signals,
  ): void {
    this.processOf(role, index).child.kill(signal);
  }

  /** Restarts a process that has ended. */
  restart(role: 'entry' | 'worker', index: number): void {
    if (this._isClosing) {
      return;
    }
    const process = this.processOf(role, index);
    process.child = this._spawn(process, index);
  }

  /**
   * @param entry - An entry process.
   * @throws Error when it is not ready before the timeout.
   */
  async waitUntilReady({ host, name }: FleetProcess): Promise<void> {
    const endsAt = Date.now() + READY_TIMEOUT_MS;
    while (!this._isClosing && Date.now() < endsAt) {
      const res = await fetch(
        `http://${host}:${String(READY_PORT)}/ready`,
      ).catch(() => undefined);
      if (res?.status === 200) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    throw new Error(`${name} did not become ready before the timeout`);
  }

  /**
   * Starts a new worker in place of one that has crashed.
   *
   * @param index - Index of the worker.
   * @param options - Id of the new worker, by default the one that the first
   *   worker there had, and the time of its first heartbeat.
   * @returns The new worker.
   */
  async replaceWorker(
    index: number,
    { id = workerId(index), firstHeartbeatMs }: ReplacementOptions = {},
  ): Promise<FleetWorker> {
    const { host } = this.processOf('worker', index);
    const worker = this._createWorker(index, host, id, firstHeartbeatMs);
    this.workers[index] = worker;
    await worker.start();
    return worker;
  }

  /** Ends all processes and fakes that were started. */
  async close(): Promise<void> {
    this._isClosing = true;
    for (const { child } of this.processes) {
      child.kill('SIGKILL');
    }
    await Promise.all(this.workers.map((worker) => worker.close()));
    await this.store.close();
    rmSync(this._directory, { recursive: true, force: true });
  }

  private _createWorker(
    index: number,
    host: string,
    id: string,
    firstHeartbeatMs?: number,
  ): FleetWorker {
    return new FleetWorker({
      id,
      firstHeartbeatMs,
      service: FLEET_SERVICE,
      dataCentre: dataCentreOf(index),
      control: `${host}:${String(CONTROL_PORT)}`,
      listen: { host, port: APP_PORT },
    });
  }

  /**
   * @param role - Role of the process.
   * @param index - Index among the processes of this role.
   * @returns The process.
   */
  processOf(role: 'entry' | 'worker', index: number): FleetProcess {
    const found = this.processes.filter((p) => p.role === role)[index];
    if (!found) {
      throw new Error(`no ${role} process with index ${String(index)}`);
    }
    return found;
  }

  private _launch(role: 'entry' | 'worker', index: number): FleetProcess {
    const subnet = role === 'entry' ? 1 : 2;
    const host = `${this._addressPrefix}.${String(subnet)}.${String(index + 1)}`;
    const name = `${role}-${String(index)}`;
    const process = { name, role, host } as FleetProcess;
    process.child = this._spawn(process, index);
    this.processes.push(process);
    return process;
  }

  private _spawn(target: FleetProcess, index: number): ChildProcess {
    const { name, role, host } = target;
    const file = join(this._directory, `${name}.toml`);
    writeFileSync(
      file,
      formatSettings({ name, host, index, store: this.store.address }),
    );
    const { nodeArgs = [], programFile = BUNDLE_FILE } = this._options;
    const args = [...nodeArgs, programFile, role];
    const child = spawn(process.execPath, args, {
      env: { ...process.env, SAPPHIREMUX_CONFIG: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let partialLine = '';
    child.stdout.on('data', (chunk: Buffer) => {
      const lines = (partialLine + chunk.toString('utf8')).split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) {
        this._options.onLine?.(name, line);
      }
    });
    child.on('exit', () => this._options.onExit?.(name, child));
    return child;
  }
}
