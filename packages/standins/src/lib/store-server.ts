import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreReply, StoreRequest } from '@sapphiremux/core';
import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { MemoryStore } from './memory-store.js';

/** Faults that the stand-in store shows. */
export interface StoreFaults {
  /** Refuse every call, with no effect. */
  readonly refuse: boolean;
  /** Give no answer at all, with no effect. */
  readonly silent: boolean;
  /** Added to the time of each call. */
  readonly delayMs: number;
  /** Share of the transactions that take effect but whose answer is lost. */
  readonly lostAnswers: number;
}

/** Counts of what the stand-in store has served. */
export interface StoreCounts {
  reads: number;
  writes: number;
  lost: number;
}

const NO_FAULTS: StoreFaults = {
  refuse: false,
  silent: false,
  delayMs: 0,
  lostAnswers: 0,
};

const SYNCED_WRITE_MS = 4;
const READ_MS = 1;
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

/**
 * Starts the stand-in of the platform's table service. Faults are set by
 * `PUT /faults`, counts are read by `GET /counts`.
 *
 * @param port - Port on the local host.
 * @returns The server, once it listens.
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
        return hang(res);
      }
      const { kind } = req.body;
      const isWrite = kind === 'transact' || kind === 'put-object';
      await sleep((isWrite ? SYNCED_WRITE_MS : READ_MS) + faults.delayMs);
      if (faults.refuse) {
        return res.status(HTTP_UNAVAILABLE).send({ kind: 'refused' });
      }
      const reply = store.apply(req.body);
      counts[isWrite ? 'writes' : 'reads'] += 1;
      if (isWrite && Math.random() < faults.lostAnswers) {
        counts.lost += 1;
        return hang(res);
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

/** Leaves a call without an answer until the caller gives up. */
const hang = (res: FastifyReply): FastifyReply => {
  res.hijack();
  return res;
};
