import 'reflect-metadata';
import { Logger } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { loadTls } from '../connection/tls.js';
import type { EntryHost } from '../process/entry-host.js';
import type { Log } from '../process/logger.js';
import { HttpModule } from './http.module.js';
import { ProblemFilter } from './problem.filter.js';

/**
 * Starts the HTTP interface of an entry for callers and operators.
 *
 * @param host - The entry that handles the requests.
 * @param log - Receives internal errors.
 * @returns The server, once it listens.
 */
export const startHttpServer = async (
  host: EntryHost,
  log: Log,
): Promise<NestFastifyApplication> => {
  const { http, tls } = host.settings;
  const context = loadTls(tls);
  const adapter = new FastifyAdapter({
    bodyLimit: http.max_body,
    forceCloseConnections: 'idle',
    // No client certificates: callers are identified by other means.
    ...(context ? { https: { cert: context.cert, key: context.key } } : {}),
  });
  Logger.overrideLogger(false);
  const app = await NestFactory.create<NestFastifyApplication>(
    HttpModule.forHost(host),
    adapter,
  );
  app.useGlobalFilters(new ProblemFilter(log));
  await app.listen(http.port, http.host);
  return app;
};
