import { expect } from 'earl';
import { FleetWorld } from '../lib/fleet-sim/fleet-world.js';

const STARTUP_MS = 12_000;
const SECONDS = 10;
const MS_PER_SECOND = 1000;
/** Three neighbours twice a second, and one of the others each second. */
const MAX_PROBES_PER_SECOND = 7;

/** Returns the actions of a kind that each entry of a calm fleet carries out. */
const actionsPerSecond = (entries: number, kind: string): number => {
  let count = 0;
  const world = new FleetWorld({
    seed: 1,
    size: { entries, workers: 12 },
    onAction: (role, other) => {
      count += role === 'entry' && other === kind ? 1 : 0;
    },
  });
  world.configure('levy');
  world.queue.runUntil(STARTUP_MS);
  count = 0;
  world.queue.runUntil(STARTUP_MS + SECONDS * MS_PER_SECOND);
  return count / entries / SECONDS;
};

// Guards against a store that counts as in doubt during each long poll, so that
// every entry probed all others.
it('the probes of an entry in a calm fleet do not grow with the entries', () => {
  for (const entries of [6, 24]) {
    expect(actionsPerSecond(entries, 'probe')).toBeLessThanOrEqual(
      MAX_PROBES_PER_SECOND,
    );
  }
});
