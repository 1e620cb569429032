import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { runCli } from '../lib/cli.js';
import { LocalCluster } from '../lib/local-cluster.js';

/**
 * Starts a local cluster, submits one job of tasks with random durations and
 * prints its outcome. With `--kill-runner`, kills one runner while the job is
 * running, so that the job may fail. Exits with an error when a task was
 * started more than once or, without `--kill-runner`, when the job did not
 * complete.
 */

const TASK_COUNT = 200;
const MIN_TASK_MS = 50;
const MAX_TASK_MS = 1000;
/** While the job runs: its tasks take about 4 s on the 24 slots. */
const KILL_AFTER_MS = 1500;
const SEED = 7;

const TICKET = `
author = "demo"
reason = "declare the cluster"

[[changes]]
subject = "data-centre/north"
setting = { kind = "data-centre", inService = true }

[[changes]]
subject = "data-centre/south"
setting = { kind = "data-centre", inService = true }

[[changes]]
subject = "endpoint/levy"
setting = { kind = "endpoint", inService = true, dataCentres = ["north", "south"] }

[[changes]]
subject = "desk/dakar"
setting = { kind = "desk", ratePerSecond = 1000, burst = 2000 }
`;

const { values } = parseArgs({
  options: { 'kill-runner': { type: 'boolean', default: false } },
});

const log = (text: string): void => {
  process.stderr.write(`${text}\n`);
};

const jobJson = (): string => {
  const random = xoroshiro128plus(SEED);
  const tasks = Array.from({ length: TASK_COUNT }, (_, index) => {
    const ms = uniformInt(random, MIN_TASK_MS, MAX_TASK_MS);
    return { endpoint: 'levy', payload: { index, ms } };
  });
  return JSON.stringify({
    id: 'demo-job',
    desk: 'dakar',
    priority: 'urgent',
    deadlineMs: 60_000,
    tasks,
  });
};

const run = async (cluster: LocalCluster, dir: string): Promise<number> => {
  const ticketFile = join(dir, 'ticket.toml');
  const jobFile = join(dir, 'job.json');
  await writeFile(ticketFile, TICKET);
  await writeFile(jobFile, jobJson());
  log('applying the ticket that declares the cluster');
  const ticket = await runCli(['ticket', 'apply', ticketFile], cluster.urls);
  log(ticket.stdout + ticket.stderr);
  log(`submitting a job of ${String(TASK_COUNT)} tasks`);
  const submitted = runCli(
    ['submit', jobFile, '--first', '--wait'],
    cluster.urls,
  );
  if (values['kill-runner']) {
    await sleep(KILL_AFTER_MS);
    log('killing one runner');
    cluster.runners[0]?.child.kill('SIGKILL');
  }
  const { code, stdout, stderr } = await submitted;
  process.stdout.write(stdout);
  log(stderr);
  const starts = await cluster.startCounts();
  const repeatedCount = [...starts.values()].filter(
    (count) => count > 1,
  ).length;
  log(
    `tasks started: ${String(starts.size)}, started more than once: ${String(repeatedCount)}`,
  );
  if (repeatedCount > 0) {
    return 1;
  }
  return values['kill-runner'] ? 0 : code;
};

log('starting the store, 2 entries, 3 runners and 3 endpoints');
const cluster = await LocalCluster.start();
const dir = await mkdtemp(join(tmpdir(), 'sapphiremux-demo-'));
try {
  process.exitCode = await run(cluster, dir);
} finally {
  await cluster.close();
  await rm(dir, { recursive: true });
}
