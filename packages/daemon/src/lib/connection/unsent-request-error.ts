/** Code of the error when nothing listens at an address. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
/** Codes of errors that occur before any byte of a request is sent. */
const NOT_SENT = new Set([
  CONNECTION_REFUSED,
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

/**
 * @param err - The error of an HTTP request.
 * @returns Whether nothing listens at the address of the server.
 */
export const isRefusedConnection = (err: unknown): boolean =>
  (err as { code?: string }).code === CONNECTION_REFUSED;
