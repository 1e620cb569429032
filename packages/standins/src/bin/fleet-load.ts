import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { FLEET_HOST, FleetEstate } from '../lib/platform/fleet-estate.js';
import { sendJson } from '../lib/platform/desk-client.js';

/**
 * Offers the load of the first deployments to the bundled program on this
 * machine: submits volatile jobs at random times, then prints the CPU use of
 * entries and worker drivers and the latency beyond the run time of the jobs.
 *
 * Arguments: duration in seconds, jobs per second, Node options of the started
 * processes. With Node options, the processes are stopped with SIGTERM, so
 * that options such as `--cpu-prof` can write their output.
 */
const [secondsText = '10', rateText = '100', ...nodeArgs] =
  process.argv.slice(2);
const SECONDS = Number(secondsText);
const RATE = Number(rateText);
const ENTRIES = 4;
const WORKERS = 11;
const ID_BYTES = 8;
const TICKS_PER_SECOND = 100;

/** Kinds of jobs: share of all jobs, number of tasks, run time of a task. */
const KINDS = [
  { queue: 'short', share: 0.24, width: 8, runMs: 86 },
  { queue: 'long', share: 0.04, width: 4, runMs: 1286 },
  { queue: 'middle', share: 0.72, width: 2, runMs: 286 },
];

const estate = new FleetEstate({
  entries: ENTRIES,
  workers: WORKERS,
  nodeArgs,
});
const took: number[] = [];
const statuses = new Map<number, number>();

const submit = async (): Promise<void> => {
  let pick = Math.random();
  const kind = KINDS.find((k) => (pick -= k.share) < 0) ?? KINDS[2];
  if (!kind) {
    return;
  }
  const id = randomBytes(ID_BYTES).toString('hex');
  const front = estate.frontOf(Math.floor(Math.random() * ENTRIES));
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
  took.push(performance.now() - startedAt - kind.runMs);
};

const cpuOf = (pid: number): number => {
  const fields = readFileSync(`/proc/${String(pid)}/stat`, 'utf8').split(' ');
  return (Number(fields[13]) + Number(fields[14])) / TICKS_PER_SECOND;
};

await estate.start();
const usage = (): number[] =>
  estate.processes.map(({ child }) => cpuOf(child.pid ?? 0));
await new Promise((resolve) => setTimeout(resolve, 1500));
const before = usage();
const calls: Promise<void>[] = [];
const startedAt = Date.now();
while (Date.now() - startedAt < SECONDS * 1000) {
  calls.push(submit());
  await new Promise((resolve) =>
    setTimeout(resolve, (-Math.log(Math.random()) * 1000) / RATE),
  );
}
const after = usage();
await Promise.all(calls);
const shares = estate.processes.map(({ role }, i) => ({
  role,
  share: ((after[i] ?? 0) - (before[i] ?? 0)) / SECONDS,
}));
for (const role of ['entry', 'worker']) {
  const own = shares.filter((s) => s.role === role).map((s) => s.share);
  const mean = own.reduce((a, b) => a + b, 0) / own.length;
  console.log(`${role}: ${(mean * 100).toFixed(2)}% of a core each`);
}
took.sort((a, b) => a - b);
const at = (q: number): string =>
  (took[Math.floor(took.length * q)] ?? 0).toFixed(1);
console.log(
  `jobs ${String(took.length)}, statuses ${JSON.stringify([...statuses])}`,
);
console.log(`beyond the run time: p50 ${at(0.5)} ms, p99 ${at(0.99)} ms`);
if (nodeArgs.length > 0) {
  for (const { child } of estate.processes) {
    child.kill('SIGTERM');
  }
  await new Promise((resolve) => setTimeout(resolve, 6000));
}
await estate.close();
process.exit(0);
