import { expect } from 'earl';
import type { BatchContent } from '@sapphiremux/core';
import { FleetWorld } from '../lib/fleet-sim/fleet-world.js';
import { encodeSpec } from '../lib/fleet-sim/sim-spec.js';

// In a fleet of more than 16 workers some are linked by one entry only.

const STARTUP_MS = 8000;
const SIZE = { entries: 4, workers: 24 };
const RUN_MS = 200;
const INTERVAL_MS = 400;
/** Time of the evacuation after the entry was cut off from the store. */
const EVACUATE_AFTER_MS = 1500;
const WATCH_MS = 10_000;

/** A volatile job of one task that only one worker can run. */
const jobFor = (vm: string): Omit<BatchContent, 'service'> => ({
  queue: 'q',
  spec: encodeSpec(RUN_MS, false),
  steps: [
    {
      count: 1,
      needs: { cpuMilli: 400, memoryMb: 64, accelerators: 0 },
      estimateMs: RUN_MS,
      after: [],
      checkpointing: false,
      requires: vm,
    },
  ],
  attempts: 2,
  isVolatile: true,
  priority: 0,
  stretch: 1.6,
  slackMs: 60,
});

/**
 * Evacuates a data centre while the store turns an entry away that goes on
 * getting jobs for the workers there.
 *
 * @returns The rules that were broken.
 */
const evacuateBehind = (index: number): readonly string[] => {
  const world = new FleetWorld({ seed: index, size: SIZE });
  const { queue, oracle } = world;
  const entry = world.entries[index];
  if (!entry) {
    throw new Error('no such entry');
  }
  world.configure('levy');
  queue.runUntil(STARTUP_MS);
  world.disconnectFromStore(entry.name);
  queue.runUntil(queue.nowMs + EVACUATE_AFTER_MS);
  world.evacuate('north', true);
  const endsAtMs = queue.nowMs + WATCH_MS;
  let jobs = 0;
  while (queue.nowMs < endsAtMs) {
    // Workers with even indexes are in the data centre.
    for (let vm = 1; vm <= SIZE.workers; vm += 2) {
      jobs += 1;
      const id = jobs.toString(16).padStart(16, '0');
      world.submit(entry, id, jobFor(`vm-${String(vm)}`));
    }
    queue.runUntil(queue.nowMs + INTERVAL_MS);
  }
  return [...new Set(oracle.violations.map(({ guarantee }) => guarantee))];
};

// Guards against starts that an entry which the store turns away sends to a worker
// of an evacuated data centre that no other entry is linked with.
for (const index of [0, 1]) {
  it(`no task starts in an evacuated data centre behind an entry without the store: ${String(index)}`, () => {
    expect(evacuateBehind(index)).toEqual([]);
  });
}
