import type { FastifyReply } from 'fastify';

/**
 * Detects callers that disconnect before their response is complete.
 *
 * @param res - The response to a caller.
 * @returns A signal that is aborted when the caller disconnects early.
 */
export const disconnectSignal = (res: FastifyReply): AbortSignal => {
  const abort = new AbortController();
  res.raw.on('close', () => {
    if (!res.raw.writableFinished) {
      abort.abort();
    }
  });
  return abort.signal;
};
