import { Catch, HttpException } from '@nestjs/common';
import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Log } from '../process/logger.js';
import { RunStateName } from './problem.js';
import { sendProblem } from './replies.js';

const HTTP_INTERNAL_ERROR = 500;
const MIN_SERVER_ERROR_STATUS = 500;

interface ErrorWithStatus extends Error {
  readonly statusCode?: number;
}

/**
 * Turns errors thrown while a request is handled into responses with problem
 * details. Errors with a 5xx status are logged.
 */
@Catch()
export class ProblemFilter implements ExceptionFilter {
  private readonly _log: Log;

  /** @param log - Receives internal errors. */
  constructor(log: Log) {
    this._log = log;
  }

  catch(err: ErrorWithStatus, host: ArgumentsHost): void {
    const res = host.switchToHttp().getResponse<FastifyReply>();
    const status =
      err instanceof HttpException
        ? err.getStatus()
        : (err.statusCode ?? HTTP_INTERNAL_ERROR);
    const isServerError = status >= MIN_SERVER_ERROR_STATUS;
    if (isServerError) {
      this._log.error('HTTP request failed', { detail: err.message });
    }
    void sendProblem(res, {
      type: 'urn:sapphiremux:problem:request',
      title: isServerError ? 'Internal error' : 'The request is not accepted',
      status,
      detail: err.message,
      // A request that is rejected before it reaches the entry starts nothing.
      runState: isServerError ? RunStateName.MayHaveRun : RunStateName.NotRun,
    });
  }
}
