/** Codes of errors that occur before anything of a request has been sent. */
const NOT_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * @param err - An error of an HTTP call.
 * @returns Whether it proves that the other side received nothing.
 */
export const isNotSent = (err: unknown): boolean => {
  const { code } = err as { code?: string };
  return code !== undefined && NOT_SENT.has(code);
};
