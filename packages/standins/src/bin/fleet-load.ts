import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { sendJson } from '../lib/platform/desk-client.js';
import { FleetCluster } from '../lib/platform/fleet-cluster.js';
import { FLEET_HOST } from '../lib/platform/fleet-settings.js';

/**
 * Offers the load of the first deployments to the bundled program on this
 * machine: submits volatile jobs at random times, then prints the CPU use of
 * entries and worker drivers and the latency beyond the run time of the jobs.
 *
 * Arguments: duration in seconds, jobs per second, entries, workers, Node options
 * of the started processes. With Node options, the processes are stopped with
 * SIGTERM, so that options such as `--cpu-prof` can write their output.
 */
const [
  durationText = '10',
  rateText = '100',
  entriesText = '4',
  workersText = '11',
  ...nodeArgs
] = process.argv.slice(2);
const DURATION_SECONDS = Number(durationText);
const JOBS_PER_SECOND = Number(rateText);
const ENTRIES = Number(entriesText);
const WORKERS = Number(workersText);
const ID_BYTES = 8;
/** Unit of the CPU times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

/** Kinds of jobs: share of all jobs, tasks of a job, run time of a task. */
const JOB_KINDS = [
  { queue: 'short', share: 0.24, width: 8, runMs: 86 },
  { queue: 'long', share: 0.04, width: 4, runMs: 1286 },
  { queue: 'middle', share: 0.72, width: 2, runMs: 286 },
];

const cluster = new FleetCluster({
  entries: ENTRIES,
  workers: WORKERS,
  nodeArgs,
});
const overheadsMs: number[] = [];
const statuses = new Map<number, number>();

const submit = async (): Promise<void> => {
  let remainingShare = Math.random();
  const kind =
    JOB_KINDS.find((k) => (remainingShare -= k.share) < 0) ?? JOB_KINDS[2];
  if (!kind) {
    return;
  }
  const id = randomBytes(ID_BYTES).toString('hex');
  const front = cluster.frontUrl(Math.floor(Math.random() * ENTRIES));
  const startedAt = performance.now();
  const status = await sendJson(`${front}/${kind.queue}/${id}`, FLEET_HOST, {
    best_effort: true,
    spec: String(kind.runMs),
    steps: [
      {
        count: kind.width,
        cpu: 1600,
        mem_mb: 64,
        estimate_ms: kind.runMs,
      },
    ],
  });
  statuses.set(status, (statuses.get(status) ?? 0) + 1);
  overheadsMs.push(performance.now() - startedAt - kind.runMs);
};

const cpuSecondsOf = (pid: number): number => {
  // Fields 13 and 14 are the user and system time.
  const fields = readFileSync(`/proc/${String(pid)}/stat`, 'utf8').split(' ');
  return (Number(fields[13]) + Number(fields[14])) / TICKS_PER_SECOND;
};

/** Greatest resident size of a process so far, in megabytes. */
const peakMegabytesOf = (pid: number): number => {
  const text = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(text)?.[1] ?? 0) / 1024;
};

await cluster.start();
const readCpuSeconds = (): number[] =>
  cluster.processes.map(({ child }) => cpuSecondsOf(child.pid ?? 0));
// Leaves time for the heartbeats of the workers to register them in the store.
await new Promise((resolve) => setTimeout(resolve, 1500));
const cpuSecondsBefore = readCpuSeconds();
const calls: Promise<void>[] = [];
const startedAt = Date.now();
while (Date.now() - startedAt < DURATION_SECONDS * 1000) {
  calls.push(submit());
  await new Promise((resolve) =>
    setTimeout(resolve, (-Math.log(Math.random()) * 1000) / JOBS_PER_SECOND),
  );
}
const cpuSecondsAfter = readCpuSeconds();
await Promise.all(calls);
const cpuShares = cluster.processes.map(({ role }, i) => ({
  role,
  share:
    ((cpuSecondsAfter[i] ?? 0) - (cpuSecondsBefore[i] ?? 0)) / DURATION_SECONDS,
  peakMegabytes: peakMegabytesOf(cluster.processes[i]?.child.pid ?? 0),
}));
for (const role of ['entry', 'worker']) {
  const ofRole = cpuShares.filter((s) => s.role === role);
  const mean = ofRole.reduce((sum, s) => sum + s.share, 0) / ofRole.length;
  const peak = Math.max(...ofRole.map((s) => s.peakMegabytes));
  console.log(
    `${role}: ${(mean * 100).toFixed(2)}% of a core each, at most ${peak.toFixed(0)} MB`,
  );
}
overheadsMs.sort((a, b) => a - b);
const percentile = (q: number): string =>
  (overheadsMs[Math.floor(overheadsMs.length * q)] ?? 0).toFixed(1);
console.log(
  `jobs ${String(overheadsMs.length)}, statuses ${JSON.stringify([...statuses])}`,
);
console.log(
  `latency beyond the run time: p50 ${percentile(0.5)} ms, p99 ${percentile(0.99)} ms`,
);
if (nodeArgs.length > 0) {
  for (const { child } of cluster.processes) {
    child.kill('SIGTERM');
  }
  // A planned stop of an entry takes at most 5.5 s.
  await new Promise((resolve) => setTimeout(resolve, 6000));
}
await cluster.close();
process.exit(0);
