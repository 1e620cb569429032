import { setTimeout as sleep } from 'node:timers/promises';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { request } from 'undici';

/** Options of {@link startEndpointServer}. */
export interface EndpointServerOptions {
  readonly name: string;
  readonly port: number;
  /** Port of the runner's local interface. */
  readonly runnerPort: number;
  readonly slots: number;
  readonly connections: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly rack: string;
}

/** What a task asks of the stand-in endpoint. */
interface TaskPayload {
  /** Time that the task takes. */
  readonly ms?: number;
  /** Status to answer with. */
  readonly status?: number;
}

/** Faults that the stand-in endpoint shows. */
interface EndpointFaults {
  /** Answer every task with this status; zero means none. */
  readonly status: number;
}

/** What the stand-in endpoint has done so far. */
export interface EndpointUsage {
  readonly starts: number;
  /** Time of all tasks together, running ones included. */
  readonly busyMs: number;
}

const ANNOUNCE_MS = 1000;
const HTTP_OK = 200;

/**
 * Starts the stand-in of an endpoint with its worker. It runs each task by
 * waiting, announces itself to its runner, and keeps the account of what has
 * started, which `GET /account` gives.
 *
 * @param options - Name, ports and capacity.
 * @returns The server, once it listens.
 */
export const startEndpointServer = async (
  options: EndpointServerOptions,
): Promise<FastifyInstance> => {
  const app = Fastify();
  const starts: Record<string, number> = {};
  let faults: EndpointFaults = { status: 0 };
  let leaving = false;
  const meter = new BusyMeter();
  app.post<{ Body: TaskPayload | null }>('/', async (req, res) => {
    const key = String(req.headers['idempotency-key']);
    starts[key] = (starts[key] ?? 0) + 1;
    const { ms = 0, status = HTTP_OK } = req.body ?? {};
    meter.change(1);
    await sleep(ms);
    meter.change(-1);
    const answered = faults.status === 0 ? status : faults.status;
    return res.status(answered).send({ key, endpoint: options.name, ms });
  });
  app.get('/account', () => starts);
  app.get('/usage', () => meter.usage());
  app.put<{ Body: EndpointFaults }>('/faults', (req) => {
    faults = req.body;
    return faults;
  });
  app.post('/leave', () => {
    leaving = true;
    return { leaving };
  });
  const timer = setInterval(() => {
    void announce(options, leaving);
  }, ANNOUNCE_MS);
  app.addHook('onClose', () => {
    clearInterval(timer);
  });
  await app.listen({ host: '127.0.0.1', port: options.port });
  void announce(options, leaving);
  return app;
};

/** Adds up the time of tasks that run side by side. */
class BusyMeter {
  private _starts = 0;
  private _running = 0;
  private _busyMs = 0;
  private _sinceMs = performance.now();

  /** @param by - Change of the number of running tasks. */
  change(by: 1 | -1): void {
    this._advance();
    this._running += by;
    this._starts += Math.max(0, by);
  }

  /** @returns What has been done so far. */
  usage(): EndpointUsage {
    this._advance();
    return { starts: this._starts, busyMs: this._busyMs };
  }

  private _advance(): void {
    const now = performance.now();
    this._busyMs += this._running * (now - this._sinceMs);
    this._sinceMs = now;
  }
}

const announce = async (
  options: EndpointServerOptions,
  leaving: boolean,
): Promise<void> => {
  const { name, slots, connections, rack, cores, memoryMb } = options;
  const url = `http://127.0.0.1:${String(options.port)}`;
  const endpoint = { name, url, slots, connections, leaving };
  const worker = { name, rack, cores, memoryMb, accelerators: 0 };
  await post(options.runnerPort, '/v1/endpoint', endpoint);
  await post(options.runnerPort, '/v1/worker', worker);
};

const post = async (
  port: number,
  path: string,
  body: object,
): Promise<void> => {
  try {
    const res = await request(`http://127.0.0.1:${String(port)}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await res.body.dump();
  } catch {
    // The runner is not up; the next announcement may reach it.
  }
};
