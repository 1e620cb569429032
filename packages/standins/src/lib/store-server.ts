import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { MemoryStore } from './memory-store.js';

/** Injected faults, the body of `PUT /faults`. */
export interface StoreFaults {
  /** Refuse every call without applying it. */
  readonly refuse: boolean;
  /** Leave every call without a response and without applying it. */
  readonly silent: boolean;
  /** Additional latency of each call. */
  readonly delayMs: number;
  /** Fraction of writes that are applied but get no response. */
  readonly lostAnswers: number;
}

/** Numbers of applied calls, the body of `GET /counts`. */
export interface StoreCounts {
  reads: number;
  writes: number;
  /** Writes that were applied but got no response. */
  lost: number;
}

const NO_FAULTS: StoreFaults = {
  refuse: false,
  silent: false,
  delayMs: 0,
  lostAnswers: 0,
};

/** Latency of a write that is synced to disk. */
const WRITE_LATENCY_MS = 4;
const READ_LATENCY_MS = 1;
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

/**
 * Starts a fake of the platform's table service, which keeps its data in
 * memory. `PUT /faults` injects faults and `GET /counts` returns statistics.
 *
 * @param port - Port on the local host.
 * @returns The listening server.
 */
export const startStoreServer = async (
  port: number,
): Promise<FastifyInstance> => {
  const app = Fastify({ bodyLimit: BODY_LIMIT_BYTES });
  const store = new MemoryStore();
  const counts: StoreCounts = { reads: 0, writes: 0, lost: 0 };
  let faults = NO_FAULTS;
  app.post<{ Params: { kind: string }; Body: StoreRequest }>(
    '/v1/:kind',
    async (req, res) => {
      if (faults.silent) {
        return leaveUnanswered(res);
      }
      const { kind } = req.body;
      const isWrite = kind === 'transact' || kind === 'put-object';
      await sleep(
        (isWrite ? WRITE_LATENCY_MS : READ_LATENCY_MS) + faults.delayMs,
      );
      if (faults.refuse) {
        return res.status(HTTP_UNAVAILABLE).send({ kind: 'refused' });
      }
      const reply = store.apply(req.body);
      counts[isWrite ? 'writes' : 'reads'] += 1;
      if (isWrite && Math.random() < faults.lostAnswers) {
        counts.lost += 1;
        return leaveUnanswered(res);
      }
      return res.status(statusOf(reply)).send(reply);
    },
  );
  app.put<{ Body: Partial<StoreFaults> }>('/faults', (req) => {
    faults = { ...NO_FAULTS, ...req.body };
    return faults;
  });
  app.get('/counts', () => counts);
  await app.listen({ host: '127.0.0.1', port });
  return app;
};

const statusOf = (reply: StoreReply): number =>
  reply.kind === 'conflict' ? HTTP_CONFLICT : HTTP_OK;

/** Never responds, so that the caller's timeout applies. */
const leaveUnanswered = (res: FastifyReply): FastifyReply => {
  res.hijack();
  return res;
};
