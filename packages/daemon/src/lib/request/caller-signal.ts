import type { FastifyReply } from 'fastify';

/**
 * @param res - The response to a caller.
 * @returns A signal that fires when the caller is gone before its answer.
 */
export const callerSignal = (res: FastifyReply): AbortSignal => {
  const abort = new AbortController();
  res.raw.on('close', () => {
    if (!res.raw.writableFinished) {
      abort.abort();
    }
  });
  return abort.signal;
};
