import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, open, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { freePorts } from './free-ports.js';
import { Relay } from './relay.js';
import type { StoreFaults } from './store-server.js';

/** Options of {@link LocalCluster.start}. */
export interface LocalClusterOptions {
  /** Number of entries. */
  readonly entries?: number;
  /** Data centre of each runner. */
  readonly runners?: readonly string[];
  /** Name of the endpoint beside each runner. */
  readonly endpoint?: string;
  /** Number of starts that a runner accepts beyond its slots. */
  readonly prefetch?: number;
  /** Whether connections to each runner pass through a {@link Relay}. */
  readonly relays?: boolean;
  /** Node.js options of the daemons. */
  readonly nodeFlags?: readonly string[];
  /** Duration of the entry lease, such as "2s". */
  readonly memberLease?: string;
}

/** A process of the cluster. */
export interface ClusterProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /**
   * HTTP port: of the caller interface for an entry, of the local interface
   * for a runner, of the task interface for an endpoint.
   */
  readonly port: number;
}

/** An entry process. */
export interface ClusterEntry extends ClusterProcess {
  /** Port for connections from other entries and runners. */
  readonly listenPort: number;
}

/** A runner process with its endpoint. */
export interface ClusterRunner extends ClusterProcess {
  readonly dataCentre: string;
  readonly endpoint: ClusterProcess;
  /** Forwards connections from entries; absent without relays. */
  readonly relay: Relay | undefined;
}

interface RunnerStatus {
  readonly connected: boolean;
  readonly registered: boolean;
}

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
/** Limits the young generation of the heap, as in the deployment. */
const DEFAULT_NODE_FLAGS = ['--max-semi-space-size=1'];

const binPath = (name: string): string =>
  fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));

const DAEMON = fileURLToPath(
  new URL('../../../daemon/dist/bin/sapphiremuxd.js', import.meta.url),
);

/**
 * A small cluster of real processes on the local host: a fake store, entries,
 * runners and fake endpoints.
 */
export class LocalCluster {
  readonly entries: ClusterEntry[] = [];
  readonly runners: ClusterRunner[] = [];
  private readonly _options: LocalClusterOptions;
  private readonly _dir: string;
  private readonly _storePort: number;
  private _nextEntryNumber = 1;
  private _nextRunnerNumber = 1;
  private readonly _processes: ChildProcess[] = [];

  private constructor(
    options: LocalClusterOptions,
    dir: string,
    storePort: number,
  ) {
    this._options = options;
    this._dir = dir;
    this._storePort = storePort;
  }

  /**
   * Starts all processes of a cluster and waits until they are ready, and until
   * the entries can send tasks to all runners.
   *
   * @param options - Size and settings.
   * @returns The running cluster.
   * @throws Error that names the directory of the logs if a process ends or is
   *   not ready in time.
   */
  static async start(options: LocalClusterOptions = {}): Promise<LocalCluster> {
    const dir = await mkdtemp(join(tmpdir(), 'sapphiremux-'));
    const [storePort = 0] = await freePorts(1);
    const cluster = new LocalCluster(options, dir, storePort);
    try {
      await cluster._startAll();
    } catch (err) {
      await cluster.close({ keepsLogs: true });
      const { message } = err as Error;
      throw new Error(`${message} (logs: ${cluster.directory})`, {
        cause: err,
      });
    }
    return cluster;
  }

  /** URLs of the entries' caller interfaces. */
  get urls(): string[] {
    return this.entries.map((e) => `http://127.0.0.1:${String(e.port)}`);
  }

  /** @param faults - Faults to inject into the store; omitted ones are off. */
  async setStoreFaults(faults: Partial<StoreFaults>): Promise<void> {
    await call(this._storePort, 'PUT', '/faults', faults);
  }

  /** @returns Number of starts per task key, summed over all endpoints. */
  async startCounts(): Promise<Map<string, number>> {
    const total = new Map<string, number>();
    for (const { endpoint } of this.runners) {
      const starts = await readStartCounts(endpoint.port);
      for (const [key, count] of Object.entries(starts)) {
        total.set(key, (total.get(key) ?? 0) + count);
      }
    }
    return total;
  }

  /** Starts another entry and waits until it is ready. */
  async addEntry(): Promise<ClusterEntry> {
    const name = `entry-${String(this._nextEntryNumber++)}`;
    const [listenPort = 0, httpPort = 0] = await freePorts(2);
    const lease = this._options.memberLease;
    const text = [
      'role = "entry"',
      `id = "${name}"`,
      'data_centre = "north"',
      ...this._commonSettings(listenPort),
      '[http]',
      `port = ${String(httpPort)}`,
      ...(lease ? ['[limits]', `member_lease = "${lease}"`] : []),
    ];
    const child = await this._startDaemon(name, text);
    const entry = { name, child, port: httpPort, listenPort };
    this.entries.push(entry);
    await waitReady(entry);
    return entry;
  }

  /**
   * Starts another runner with its endpoint and waits until it is ready.
   *
   * @param dataCentre - Data centre of the runner and its endpoint.
   */
  async addRunner(dataCentre: string): Promise<ClusterRunner> {
    const name = `runner-${String(this._nextRunnerNumber++)}`;
    const { prefetch } = this._options;
    const [listenPort = 0, localPort = 0, endpointPort = 0, relayPort = 0] =
      await freePorts(4);
    const relay = this._options.relays
      ? await Relay.start(relayPort, listenPort)
      : undefined;
    const text = [
      'role = "runner"',
      `id = "${name}"`,
      `data_centre = "${dataCentre}"`,
      ...this._commonSettings(listenPort, relay && relayPort),
      '[local]',
      `port = ${String(localPort)}`,
      ...(prefetch === undefined
        ? []
        : ['[limits]', `prefetch = ${String(prefetch)}`]),
    ];
    const child = await this._startDaemon(name, text);
    const endpoint = await this._startEndpoint(name, endpointPort, localPort);
    const runner: ClusterRunner = {
      name,
      child,
      port: localPort,
      dataCentre,
      endpoint,
      relay,
    };
    this.runners.push(runner);
    await waitReady(runner);
    return runner;
  }

  /** Directory of the logs and configuration files. */
  get directory(): string {
    return this._dir;
  }

  /**
   * Kills every process and removes the logs and configuration files, unless
   * `SAPPHIREMUX_KEEP_LOGS` is set.
   *
   * @param options - What to keep.
   * @param options.keepsLogs - Whether to keep the files in any case.
   */
  async close({ keepsLogs = false } = {}): Promise<void> {
    await Promise.all(this._processes.map(killProcess));
    this.runners.forEach(({ relay }) => relay?.close());
    if (!keepsLogs && !process.env.SAPPHIREMUX_KEEP_LOGS) {
      await rm(this._dir, { recursive: true });
    }
  }

  /**
   * @param name - Name of a process.
   * @returns Path of the file with its output.
   */
  logFile(name: string): string {
    return join(this._dir, `${name}.log`);
  }

  private async _startAll(): Promise<void> {
    const port = String(this._storePort);
    await this._spawn('store', [binPath('store'), '--port', port]);
    await waitUntil(async () => {
      await call(this._storePort, 'GET', '/counts');
      return true;
    });
    const { entries = 2, runners = ['north', 'north', 'south'] } =
      this._options;
    await Promise.all(Array.from({ length: entries }, () => this.addEntry()));
    await Promise.all(runners.map((dc) => this.addRunner(dc)));
    await Promise.all(this.entries.map(({ port }) => this._waitRunners(port)));
  }

  /** Waits until all runners are connected to an entry and registered there. */
  private _waitRunners(port: number): Promise<void> {
    return waitUntil(async () => {
      const { body } = await call(port, 'GET', '/v1/members');
      const { runners } = body as { runners: RunnerStatus[] };
      const usable = runners.filter((r) => r.connected && r.registered);
      return usable.length === this.runners.length;
    });
  }

  private _commonSettings(
    listenPort: number,
    advertisedPort?: number,
  ): string[] {
    return [
      '[listen]',
      'host = "127.0.0.1"',
      `port = ${String(listenPort)}`,
      ...(advertisedPort === undefined
        ? []
        : [`advertise = "127.0.0.1:${String(advertisedPort)}"`]),
      '[store]',
      `url = "http://127.0.0.1:${String(this._storePort)}"`,
    ];
  }

  private async _startDaemon(
    name: string,
    text: string[],
  ): Promise<ChildProcess> {
    const file = join(this._dir, `${name}.toml`);
    await writeFile(file, text.join('\n'));
    const flags = this._options.nodeFlags ?? DEFAULT_NODE_FLAGS;
    return this._spawn(name, [...flags, DAEMON, '--config', file]);
  }

  private async _startEndpoint(
    runner: string,
    port: number,
    runnerPort: number,
  ): Promise<ClusterProcess> {
    const name = `endpoint-of-${runner}`;
    const child = await this._spawn(name, [
      binPath('endpoint'),
      ...['--name', this._options.endpoint ?? 'levy'],
      ...['--port', String(port)],
      ...['--runner-port', String(runnerPort)],
    ]);
    return { name, child, port };
  }

  private async _spawn(name: string, args: string[]): Promise<ChildProcess> {
    const log = await open(this.logFile(name), 'a');
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', log.fd, log.fd],
    });
    await log.close();
    this._processes.push(child);
    return child;
  }
}

/**
 * Polls a condition until it is met.
 *
 * @param condition - Condition to poll; a rejection counts as not met.
 * @param timeoutMs - Time after which the returned promise is rejected.
 */
export const waitUntil = async (
  condition: () => Promise<boolean>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> => {
  const untilMs = performance.now() + timeoutMs;
  for (;;) {
    const isMet = await condition().catch(() => false);
    if (isMet) {
      return;
    }
    if (performance.now() > untilMs) {
      throw new Error(`Condition not met within ${String(timeoutMs)} ms.`);
    }
    await sleep(READY_POLL_MS);
  }
};

/**
 * Sends an HTTP request to a process on the local host.
 *
 * @param port - Port on the local host.
 * @param method - HTTP method.
 * @param path - URL path with its query.
 * @param body - Request body, sent as JSON.
 * @returns Status and decoded JSON body of the response.
 */
export const call = async (
  port: number,
  method: 'GET' | 'POST' | 'PUT',
  path: string,
  body?: object,
): Promise<{ status: number; body: unknown }> => {
  const res = await request(`http://127.0.0.1:${String(port)}${path}`, {
    method,
    headers: body ? { 'content-type': 'application/json' } : {},
    body: body ? JSON.stringify(body) : null,
    headersTimeout: 0,
  });
  return { status: res.statusCode, body: await res.body.json() };
};

const HTTP_OK = 200;

/** Waits until a process is ready; fails as soon as it has ended. */
const waitReady = async ({
  name,
  child,
  port,
}: ClusterProcess): Promise<void> => {
  await waitUntil(async () => {
    if (hasEnded(child)) {
      return true;
    }
    const { status } = await call(port, 'GET', '/readyz');
    return status === HTTP_OK;
  }).catch((err: unknown) => {
    const { message } = err as Error;
    throw new Error(`${name} is not ready: ${message}`, { cause: err });
  });
  if (hasEnded(child)) {
    throw new Error(`${name} has ended: ${String(child.exitCode)}`);
  }
};

const hasEnded = ({ exitCode, signalCode }: ChildProcess): boolean =>
  exitCode !== null || signalCode !== null;

const readStartCounts = async (
  port: number,
): Promise<Record<string, number>> => {
  const { body } = await call(port, 'GET', '/account');
  return body as Record<string, number>;
};

const killProcess = (child: ChildProcess): Promise<void> =>
  new Promise((resolve) => {
    if (hasEnded(child)) {
      resolve();
      return;
    }
    child.once('exit', () => {
      resolve();
    });
    child.kill('SIGKILL');
  });
