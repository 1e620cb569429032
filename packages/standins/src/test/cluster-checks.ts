import { randomBytes } from 'node:crypto';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { sendJson } from '../lib/platform/desk-client.js';
import { FleetCluster } from '../lib/platform/fleet-cluster.js';
import { FLEET_HOST } from '../lib/platform/fleet-settings.js';

/** @returns A new job id. */
export const newId = (): string => randomBytes(8).toString('hex');

/**
 * @param runMs - Run time of each task in milliseconds.
 * @param count - Number of tasks.
 * @param isVolatile - Whether the job is answered at its end and not recorded.
 * @returns Body of a submission.
 */
export const job = (runMs: number, count = 2, isVolatile = true): object => ({
  ...(isVolatile ? { best_effort: true } : {}),
  spec: String(runMs),
  steps: [{ count, cpu: 1600, mem_mb: 64, estimate_ms: runMs }],
});

/**
 * Submits a job as a desk does.
 *
 * @param cluster - The cluster.
 * @param entry - Index of the entry.
 * @param body - Body of the submission.
 * @param id - Id of the job.
 * @returns Status of the response.
 */
export const submit = (
  cluster: FleetCluster,
  entry: number,
  body: object,
  id = newId(),
): Promise<number> =>
  sendJson(`${cluster.frontUrl(entry)}/short/${id}`, FLEET_HOST, body);

/** @returns A promise that resolves after a time in milliseconds. */
export const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Number of runs that overlap a later run of the same task on any worker. */
export const countOverlaps = (cluster: FleetCluster): number => {
  const starts = cluster.workers.flatMap((worker) => worker.starts);
  return starts.filter((a) =>
    starts.some(
      (b) =>
        a !== b &&
        a.task === b.task &&
        a.startedAtMs <= b.startedAtMs &&
        b.startedAtMs < a.endedAtMs,
    ),
  ).length;
};

/**
 * Runs a check on a cluster, and keeps the logs of the processes if it fails.
 *
 * @param check - The check.
 * @param entries - Number of entries.
 */
export const withCluster = async (
  check: (cluster: FleetCluster) => Promise<void>,
  entries = 2,
): Promise<void> => {
  const lines: string[] = [];
  const cluster = new FleetCluster({
    entries,
    workers: 3,
    onLine: (_name, line) => lines.push(line),
  });
  try {
    await cluster.start();
    // Leaves time for the heartbeats of the workers to register them.
    await delay(800);
    await check(cluster);
  } catch (err) {
    const file = join(mkdtempSync(join(tmpdir(), 'sapphiremux-')), 'fleet.log');
    writeFileSync(file, lines.join('\n'));
    const { message } = err as Error;
    throw new Error(`${message} (logs: ${file})`, { cause: err });
  } finally {
    await cluster.close();
  }
};
