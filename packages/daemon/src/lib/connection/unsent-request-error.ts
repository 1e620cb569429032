/** Codes of errors that occur before any byte of a request is sent. */
const NOT_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Tells a request that was certainly not sent, which is safe to retry, from
 * one that the server may have received.
 *
 * @param err - The error of an HTTP request.
 * @returns Whether the error proves that the server received nothing.
 */
export const isUnsentRequestError = (err: unknown): boolean => {
  const { code } = err as { code?: string };
  return code !== undefined && NOT_SENT.has(code);
};
