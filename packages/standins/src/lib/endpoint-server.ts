import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { request } from 'undici';
import { FakeWorker, TaskOutcome } from './fake-worker.js';
import type { TaskPayload, WorkerUsage } from './fake-worker.js';

/** Options of {@link startEndpointServer}. */
export interface EndpointServerOptions {
  readonly name: string;
  readonly port: number;
  /** Port of the runner's local HTTP interface. */
  readonly runnerPort: number;
  readonly slots: number;
  readonly connections: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly rack: string;
}

/** Body of `POST /tasks`, which throttles or stops a task. */
interface TaskControlRequest {
  readonly key: string;
  /** Fraction of the full speed; zero checkpoints and `null` stops the task. */
  readonly speed: number | null;
}

/** Injected faults, the body of `PUT /faults`. */
interface EndpointFaults {
  /** HTTP status of the response to every completed task; zero: no fault. */
  readonly status: number;
}

const ANNOUNCE_PERIOD_MS = 1000;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/**
 * Starts a fake endpoint with its worker and announces both to the runner
 * periodically. `POST /` executes a task, which occupies the worker for the
 * requested time.
 *
 * Tests read the number of starts per idempotency key at `GET /account` and
 * the cumulative work at `GET /usage`. They inject faults at `PUT /faults`,
 * throttle or stop tasks at `POST /tasks`, and let the endpoint announce that
 * it is leaving at `POST /leave`.
 *
 * @param options - Name, ports and capacity.
 * @returns The listening server.
 */
export const startEndpointServer = async (
  options: EndpointServerOptions,
): Promise<FastifyInstance> => {
  const app = Fastify();
  const starts: Record<string, number> = {};
  let faults: EndpointFaults = { status: 0 };
  let leaving = false;
  const worker = new FakeWorker();
  app.post<{ Body: TaskPayload | null }>('/', async (req, res) => {
    const key = String(req.headers['idempotency-key']);
    starts[key] = (starts[key] ?? 0) + 1;
    const { ms = 0, status = HTTP_OK } = req.body ?? {};
    const outcome = await worker.run(key, req.body ?? {});
    if (outcome === TaskOutcome.Stopped) {
      return res.status(HTTP_UNAVAILABLE).send({ key, stopped: true });
    }
    const responseStatus = faults.status === 0 ? status : faults.status;
    return res.status(responseStatus).send({ key, endpoint: options.name, ms });
  });
  app.get('/account', () => starts);
  app.get('/usage', () => worker.cumulativeUsage());
  app.put<{ Body: EndpointFaults }>('/faults', (req) => {
    faults = req.body;
    return faults;
  });
  app.post<{ Body: TaskControlRequest }>('/tasks', (req) => {
    const { key, speed } = req.body;
    return {
      done: speed === null ? worker.stop(key) : worker.throttle(key, speed),
    };
  });
  app.post('/leave', () => {
    leaving = true;
    return { leaving };
  });
  const timer = setInterval(() => {
    void announce(options, leaving, worker.reportedUsage());
  }, ANNOUNCE_PERIOD_MS);
  app.addHook('onClose', () => {
    clearInterval(timer);
  });
  await app.listen({ host: '127.0.0.1', port: options.port });
  void announce(options, leaving, worker.reportedUsage());
  return app;
};

const announce = async (
  options: EndpointServerOptions,
  leaving: boolean,
  usage: WorkerUsage,
): Promise<void> => {
  const { name, slots, connections, rack, cores, memoryMb } = options;
  const url = `http://127.0.0.1:${String(options.port)}`;
  const endpoint = { name, url, slots, connections, leaving };
  const worker = { name, rack, cores, memoryMb, accelerators: 0, usage };
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
    // The runner may not be up yet; the next announcement is the retry.
  }
};
