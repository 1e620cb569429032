import { expect } from 'earl';
import { Soak } from '../lib/soak/soak.js';

/** Includes a wave of planned stops, from second 12 to 24. */
const DURATION_MS = 32_000;

// Guards against promises that are broken only by real signals, sockets and
// clocks: tasks that run twice at a time, forgotten jobs, silent callers, calls
// without an answer when a planned stop takes longer than its grace.
it('soak: no promise is broken while processes, the store and callers fail', async () => {
  const soak = new Soak({
    seed: 11,
    durationMs: DURATION_MS,
    entries: 3,
    workers: 4,
  });
  const { violations, logFolder } = await soak.run();
  expect({ violations, logFolder }).toEqual({ violations: [], logFolder: '' });
});
