import { expect } from 'earl';
import { FleetWorld } from '../lib/fleet-sim/fleet-world.js';
import { encodeSpec } from '../lib/fleet-sim/sim-spec.js';

const STARTUP_MS = 12_000;
/** Time within which the jobs of one wave end. */
const WAVE_MS = 500;
const WAVES = 18;
const JOBS_PER_WAVE = 2;
const TASKS_PER_JOB = 3;
const RUN_MS = 50;

// Guards against runs that are stopped and started again while no process is
// late; the test with the real programs can't tell these from stalls of the
// machine.
it('in a calm fleet each task of a volatile job is started once', () => {
  let starts = 0;
  let stops = 0;
  const world = new FleetWorld({
    seed: 1,
    onAction: (role, kind) => {
      starts += role === 'driver' && kind === 'call start' ? 1 : 0;
      stops += role === 'driver' && kind === 'call stop' ? 1 : 0;
    },
  });
  const { entries, queue } = world;
  world.configure('levy');
  queue.runUntil(STARTUP_MS);
  for (let wave = 0; wave < WAVES; wave += 1) {
    for (let i = 0; i < JOBS_PER_WAVE; i += 1) {
      const number = wave * JOBS_PER_WAVE + i;
      const entry = entries[number % entries.length];
      if (entry) {
        world.submit(entry, number.toString(16).padStart(16, '0'), {
          queue: 'q',
          spec: encodeSpec(RUN_MS, false),
          steps: [
            {
              count: TASKS_PER_JOB,
              needs: { cpuMilli: 1600, memoryMb: 64, accelerators: 0 },
              estimateMs: RUN_MS,
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
    }
    queue.runUntil(queue.nowMs + WAVE_MS);
  }
  expect(world.oracle.violations).toEqual([]);
  expect({ starts, stops }).toEqual({
    starts: WAVES * JOBS_PER_WAVE * TASKS_PER_JOB,
    stops: 0,
  });
});
