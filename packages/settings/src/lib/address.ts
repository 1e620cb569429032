import type { Settings } from './schema.js';

/**
 * @param settings - Settings of a process.
 * @returns The address at which other processes reach it.
 */
export const advertisedAddress = ({ listen }: Settings): string =>
  listen.advertise ?? `${listen.host}:${String(listen.port)}`;
