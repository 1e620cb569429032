import { expect } from 'earl';
import { TurnFlush } from '../lib/process/turn-flush.js';

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => setImmediate(resolve));

it('the events of a turn share one run', async () => {
  let runs = 0;
  const flush = new TurnFlush(() => {
    runs += 1;
  });
  flush.schedule();
  flush.schedule();
  await nextTurn();
  expect(runs).toEqual(1);
});

it('a run that is brought forward does not run again', async () => {
  let runs = 0;
  const flush = new TurnFlush(() => {
    runs += 1;
  });
  flush.schedule();
  flush.runScheduled();
  flush.runScheduled();
  expect(runs).toEqual(1);
  await nextTurn();
  expect(runs).toEqual(1);
});

/** Blocks the event loop. */
const standStill = (ms: number): void => {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
};

/** A flush that asks for another poll in its first run, with the ages it saw. */
const pollingTwice = (): { flush: TurnFlush; ages: number[] } => {
  const ages: number[] = [];
  const flush = new TurnFlush((_turnMs, pollAgeMs) => {
    ages.push(pollAgeMs);
    if (ages.length === 1) {
      flush.scheduleAfterNextPoll();
    }
  });
  return { flush, ages };
};

// Guards against orders with a time limit that has passed after a stand-still.
it('the poll is recent in a run after another poll', async () => {
  const { flush, ages } = pollingTwice();
  standStill(60);
  flush.schedule();
  await nextTurn();
  await nextTurn();
  expect(ages.map((age) => age >= 60)).toEqual([true, false]);
});

// Guards against a placement before the poll that it is to wait for.
it('a run that waits for another poll is not brought forward', async () => {
  const { flush, ages } = pollingTwice();
  flush.schedule();
  flush.runScheduled();
  flush.runScheduled();
  expect(ages.length).toEqual(1);
  await nextTurn();
  await nextTurn();
  expect(ages.length).toEqual(2);
});
