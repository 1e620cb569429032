import { randomBytes } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { RunnerSettings } from '@sapphiremux/settings';
import { startLocalServer } from './local-server.js';
import type { Log } from './logger.js';
import type { RunningRole } from './run-entry.js';
import { RunnerHost } from './runner-host.js';

const INCARNATION_BYTES = 6;
/**
 * Maximum time to answer announcements. A part of a request would hold up the
 * end of the process otherwise, because a closing server has no time limit.
 */
const CLOSE_TIMEOUT_MS = 1000;

/**
 * Runs a runner with its local HTTP interface until its planned stop is
 * complete.
 *
 * @param settings - Validated settings.
 * @param log - The log of the process.
 * @param onClosed - Called when all connections are closed.
 * @returns The running runner.
 */
export const runRunner = async (
  settings: RunnerSettings,
  log: Log,
  onClosed: () => void,
): Promise<RunningRole> => {
  const host = new RunnerHost({
    settings,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    log,
    onStopped: () => {
      void close();
    },
  });
  await host.start();
  const { port } = settings.local;
  const local = await startLocalServer({ host, port });
  log.info('runner started', { id: settings.id, local: port });
  const close = async (): Promise<void> => {
    await Promise.race([local.close(), delay(CLOSE_TIMEOUT_MS)]);
    await host.close();
    onClosed();
  };
  return {
    stop: () => {
      host.dispatch({ kind: 'stop' });
    },
  };
};
