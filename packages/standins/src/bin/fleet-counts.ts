import { parseArgs } from 'node:util';
import { FleetWorld } from '../lib/fleet-sim/fleet-world.js';
import { encodeSpec } from '../lib/fleet-sim/sim-spec.js';

/**
 * Counts what the processes of a fleet do in virtual time, a second and a
 * process: calls, messages between processes and store calls. Shows what grows
 * with the size of the fleet.
 */

const MS_PER_SECOND = 1000;
const STARTUP_MS = 8000;

const { values } = parseArgs({
  options: {
    entries: { type: 'string', default: '4' },
    workers: { type: 'string', default: '11' },
    /** Jobs a second at each entry. */
    rate: { type: 'string', default: '20' },
    seconds: { type: 'string', default: '5' },
  },
});

const size = {
  entries: Number(values.entries),
  workers: Number(values.workers),
};
const seconds = Number(values.seconds);
const intervalMs = MS_PER_SECOND / Number(values.rate);

const counts = new Map<string, number>();
const world = new FleetWorld({
  seed: 1,
  size,
  onAction: (role, kind) => {
    const key = `${role} ${kind}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  },
});
world.configure('levy');
world.queue.runUntil(STARTUP_MS);
counts.clear();
const startedAtMs = performance.now();

let jobs = 0;
const submitAll = (): void => {
  for (const entry of world.entries) {
    jobs += 1;
    world.submit(entry, jobs.toString(16).padStart(16, '0'), {
      queue: 'q',
      spec: encodeSpec(200, false),
      steps: [
        {
          count: 4,
          needs: { cpuMilli: 200, memoryMb: 64, accelerators: 0 },
          estimateMs: 200,
          after: [],
          checkpointing: false,
        },
      ],
      attempts: 2,
      isVolatile: true,
      priority: 0,
      stretch: 1.6,
      slackMs: 60,
    });
  }
  world.queue.after(intervalMs, submitAll);
};
submitAll();
world.queue.runUntil(STARTUP_MS + seconds * MS_PER_SECOND);

const hostMs = performance.now() - startedAtMs;
console.log(
  `${String(size.entries)} entries, ${String(size.workers)} workers, ${String(jobs)} jobs in ${String(seconds)} s; ${hostMs.toFixed(0)} ms on this machine`,
);
for (const [key, count] of [...counts].sort()) {
  const processes = key.startsWith('entry') ? size.entries : size.workers;
  console.log(`${key.padEnd(28)} ${(count / processes / seconds).toFixed(1)}`);
}
