import { randomBytes } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { EntrySettings } from '@sapphiremux/settings';
import { startHttpServer } from '../request/http-server.js';
import { EntryHost } from './entry-host.js';
import type { Log } from './logger.js';

const INCARNATION_BYTES = 6;
/**
 * Maximum time to send the last replies to callers once all calls are answered. A
 * caller that has sent a part of a request would hold up the end of the process
 * otherwise, because a closing server has no time limit.
 */
const CLOSE_TIMEOUT_MS = 2000;

/** A running role. */
export interface RunningRole {
  /** Begins a planned stop: the process exits once all work has ended. */
  stop(): void;
}

/**
 * Runs an entry with its HTTP interface until its planned stop is complete.
 *
 * @param settings - Validated settings.
 * @param log - The log of the process.
 * @param onClosed - Called when all connections are closed.
 * @returns The running entry.
 */
export const runEntry = async (
  settings: EntrySettings,
  log: Log,
  onClosed: () => void,
): Promise<RunningRole> => {
  const host = new EntryHost({
    settings,
    newIncarnation: () =>
      `${settings.id}-${randomBytes(INCARNATION_BYTES).toString('hex')}`,
    log,
    onStopped: () => {
      void close();
    },
  });
  await host.start();
  const http = await startHttpServer(host, log);
  log.info('entry started', { id: settings.id, http: settings.http.port });
  const close = async (): Promise<void> => {
    const replies = host.answered().then(() => delay(CLOSE_TIMEOUT_MS));
    await Promise.race([http.close(), replies]);
    await host.close();
    onClosed();
  };
  return {
    stop: () => {
      host.dispatch({ kind: 'stop' });
    },
  };
};
