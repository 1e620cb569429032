import { expect } from 'earl';
import { LoadShedder } from '../lib/process/load-shedder.js';

const TICK_MS = 50;
const DURATION_MS = 10_000;
/** Processor time of an accepted submission and of a refused one. */
const JOB_MS = 60;
const REFUSAL_MS = 5;
/** A submission is of use if its processing begins within this time. */
const USEFUL_DELAY_MS = 400;

/** Repeatable numbers that are spread evenly from 0 to 1. */
const evenRandom = (): (() => number) => {
  let n = 0;
  return () => {
    n += 1;
    return (n * 0.618034) % 1;
  };
};

/**
 * Replays submissions at regular intervals on a processor that serves one after
 * the other, as an event loop does: each turn serves all that have arrived.
 */
const replay = (
  intervalMs: number,
  shedder?: LoadShedder,
): { readonly useful: number; readonly offered: number } => {
  let now = 0;
  let nextArrivalMs = 0;
  let lastTickMs = 0;
  let useful = 0;
  let offered = 0;
  while (now < DURATION_MS) {
    if (now >= lastTickMs + TICK_MS) {
      shedder?.observe(now - lastTickMs - TICK_MS);
      lastTickMs = now;
    }
    const arrivals: number[] = [];
    for (; nextArrivalMs <= now; nextArrivalMs += intervalMs) {
      arrivals.push(nextArrivalMs);
    }
    offered += arrivals.length;
    for (const arrivedAtMs of arrivals) {
      if (shedder?.shouldRefuse() === true) {
        now += REFUSAL_MS;
        continue;
      }
      useful += now - arrivedAtMs <= USEFUL_DELAY_MS ? 1 : 0;
      now += JOB_MS;
    }
    now += arrivals.length === 0 ? 1 : 0;
  }
  return { useful, offered };
};

it('an entry with too little processor time serves most of what it can in time', () => {
  const intervalMs = 40;
  const capacity = DURATION_MS / JOB_MS;
  const { useful: withoutShedding } = replay(intervalMs);
  const { useful } = replay(intervalMs, new LoadShedder(evenRandom()));
  expect(withoutShedding).toBeLessThan(0.2 * capacity);
  expect(useful).toBeGreaterThan(0.7 * capacity);
});

it('an entry that keeps up refuses nothing, also after an overload', () => {
  const shedder = new LoadShedder(evenRandom());
  replay(40, shedder);
  for (let i = 0; i < 30; i += 1) {
    shedder.observe(0);
  }
  expect(shedder.share).toEqual(0);
  const { useful, offered } = replay(100, shedder);
  expect(useful).toEqual(offered);
});

/** Refused share of each weight, of which a tenth, a half and 0.4 are offered. */
const refusedShares = (delayMs: number, hasWeights: boolean): number[] => {
  const random = evenRandom();
  const shedder = new LoadShedder(random);
  shedder.observe(delayMs);
  const weights = [1, 2, 4, 2, 4, 2, 4, 2, 4, 2];
  const offered = new Map<number, number>();
  const refused = new Map<number, number>();
  for (let n = 0; n < 5000; n += 1) {
    const weight = weights[n % weights.length] ?? 0;
    const isRefused = shedder.shouldRefuse(hasWeights ? weight : undefined);
    offered.set(weight, (offered.get(weight) ?? 0) + 1);
    refused.set(weight, (refused.get(weight) ?? 0) + (isRefused ? 1 : 0));
  }
  return [1, 2, 4].map(
    (weight) => (refused.get(weight) ?? 0) / (offered.get(weight) ?? 1),
  );
};

// Guards against an entry that refuses urgent jobs while it accepts others.
it('submissions of low weight are refused first, but not all of them', () => {
  const [low = 0, middle = 0, high = 0] = refusedShares(300, true);
  expect([low > 0.6, low < 0.8]).toEqual([true, true]);
  // A fifth of all: 0.7 of the tenth, and the rest of the half.
  expect([middle > 0.2, middle < 0.33]).toEqual([true, true]);
  expect(high).toBeLessThan(0.02);
});

it('submissions without a weight are refused irrespective of their queue', () => {
  for (const share of refusedShares(300, false)) {
    expect([share > 0.15, share < 0.25]).toEqual([true, true]);
  }
});
