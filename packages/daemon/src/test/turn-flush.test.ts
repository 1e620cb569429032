import { expect } from 'earl';
import { TurnFlush } from '../lib/process/turn-flush.js';

const blockFor = (ms: number): void => {
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt) {
    // Stands for the work of a callback.
  }
};

const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

// Guards against connections that wait while a slow callback runs in each turn.
it('a slow callback leaves half of the time to other turns', async () => {
  let runs = 0;
  let turns = 0;
  const flush = new TurnFlush(
    () => {
      runs += 1;
      blockFor(10);
    },
    { isPaced: true },
  );
  const endsAt = performance.now() + 200;
  await new Promise<void>((resolve) => {
    const turn = (): void => {
      turns += 1;
      flush.schedule();
      if (performance.now() < endsAt) {
        setImmediate(turn);
      } else {
        resolve();
      }
    };
    turn();
  });
  expect(runs >= 2 && runs <= 11).toEqual(true);
  expect(turns > 10 * runs).toEqual(true);
});

it('the events of a turn share one run, which follows at once', async () => {
  const turnsMs: number[] = [];
  const flush = new TurnFlush((turnMs) => turnsMs.push(turnMs));
  flush.schedule();
  flush.schedule();
  await delay(5);
  flush.schedule();
  flush.runScheduled();
  expect(turnsMs.length).toEqual(2);
  await delay(5);
  expect(turnsMs.length).toEqual(2);
});

it('an early run waits until its turn after a slow one', async () => {
  let runs = 0;
  const flush = new TurnFlush(
    () => {
      runs += 1;
      blockFor(20);
    },
    { isPaced: true },
  );
  flush.schedule();
  flush.runScheduled();
  flush.schedule();
  flush.runScheduled();
  expect(runs).toEqual(1);
  await delay(60);
  expect(runs).toEqual(2);
});
