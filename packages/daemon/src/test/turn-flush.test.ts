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
