import type { Settings } from './schema.js';

/**
 * Picks the address that a process makes known to others: `listen.advertise`
 * if set, else the listening address.
 *
 * @param settings - Settings of the process.
 * @returns The address in the form `host:port`.
 */
export const advertisedAddress = ({ listen }: Settings): string =>
  listen.advertise ?? `${listen.host}:${String(listen.port)}`;
