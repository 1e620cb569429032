import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import type { RunnerHost } from './runner-host.js';

/** Options of {@link startLocalServer}. */
export interface LocalServerOptions {
  readonly host: RunnerHost;
  readonly port: number;
}

interface EndpointBody {
  readonly name: string;
  readonly url: string;
  readonly slots: number;
  readonly connections: number;
  readonly leaving?: boolean;
}

interface WorkerBody {
  readonly name: string;
  readonly rack: string;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly usage?: { readonly cores: number; readonly memoryMb: number };
}

const LOOPBACK_ADDRESS = '127.0.0.1';
const HTTP_NO_CONTENT = 204;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const BODY_LIMIT_BYTES = 16_384;

const ENDPOINT_SCHEMA = {
  type: 'object',
  required: ['name', 'url', 'slots', 'connections'],
  additionalProperties: false,
  properties: {
    name: { type: 'string', minLength: 1 },
    url: { type: 'string', pattern: '^https?://' },
    slots: { type: 'integer', minimum: 1 },
    connections: { type: 'integer', minimum: 1 },
    leaving: { type: 'boolean' },
  },
};

const WORKER_SCHEMA = {
  type: 'object',
  required: ['name', 'rack', 'cores', 'memoryMb', 'accelerators'],
  additionalProperties: false,
  properties: {
    name: { type: 'string', minLength: 1 },
    rack: { type: 'string' },
    cores: { type: 'number', minimum: 0 },
    memoryMb: { type: 'number', minimum: 0 },
    accelerators: { type: 'number', minimum: 0 },
    usage: {
      type: 'object',
      required: ['cores', 'memoryMb'],
      properties: {
        cores: { type: 'number', minimum: 0 },
        memoryMb: { type: 'number', minimum: 0 },
      },
    },
  },
};

/**
 * Starts the HTTP interface on which the endpoint and the worker announce
 * themselves to their runner; it also serves metrics and health probes. It
 * listens on the loopback address only, because any process that announces an
 * endpoint here receives tasks.
 *
 * @param options - The runner and the port.
 * @returns The server, once it listens.
 */
export const startLocalServer = async (
  options: LocalServerOptions,
): Promise<FastifyInstance> => {
  const { host } = options;
  const app = Fastify({ bodyLimit: BODY_LIMIT_BYTES });
  app.post<{ Body: EndpointBody }>(
    '/v1/endpoint',
    { schema: { body: ENDPOINT_SCHEMA } },
    (req, res) => {
      const endpoint = { leaving: false, ...req.body };
      host.dispatch({ kind: 'endpoint-announced', endpoint });
      void res.status(HTTP_NO_CONTENT).send();
    },
  );
  app.post<{ Body: WorkerBody }>(
    '/v1/worker',
    { schema: { body: WORKER_SCHEMA } },
    (req, res) => {
      const { name, rack, usage, ...total } = req.body;
      if (usage) {
        host.metrics.workerCores.set(usage.cores);
        host.metrics.workerMemoryMb.set(usage.memoryMb);
      }
      host.dispatch({
        kind: 'worker-announced',
        worker: { name, rack, total },
      });
      void res.status(HTTP_NO_CONTENT).send();
    },
  );
  app.get('/livez', () => ({ live: true }));
  app.get('/readyz', (_req, res) => {
    const ready = host.isReady;
    void res.status(ready ? HTTP_OK : HTTP_UNAVAILABLE).send({ ready });
  });
  app.get('/metrics', async (_req, res) => {
    const { registry } = host.metrics;
    res.header('content-type', registry.contentType);
    return registry.metrics();
  });
  await app.listen({ host: LOOPBACK_ADDRESS, port: options.port });
  return app;
};
