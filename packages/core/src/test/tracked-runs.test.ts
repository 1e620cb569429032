import { expect } from 'earl';
import { ZERO_ROOM, fits } from '../lib/request/room.js';
import {
  RunPhase,
  TrackedRuns,
  trackedRun,
} from '../lib/process/tracked-runs.js';
import type { TrackedRun } from '../lib/process/tracked-runs.js';

const CAPACITY = { cpuMilli: 4000, memoryMb: 1000, accelerators: 1 };
const NEEDS = { cpuMilli: 1500, memoryMb: 100, accelerators: 0 };

const run = (
  task: string,
  number = 1,
  fields: Partial<TrackedRun> = {},
): TrackedRun =>
  trackedRun(
    { task, run: number },
    { owner: 'a', phase: RunPhase.Active, sinceMs: 0, needs: NEEDS, ...fields },
  );

it('the free capacity follows runs that are added, claimed and deleted', () => {
  const runs = new TrackedRuns();
  const first = run('t');
  const found = run('u', 1, { owner: '', needs: ZERO_ROOM });
  runs.add(first);
  expect(runs.free(CAPACITY).cpuMilli).toEqual(2500);
  runs.add(found);
  expect(runs.free(CAPACITY)).toEqual(ZERO_ROOM);
  runs.claim(found, {
    owner: 'b',
    needs: NEEDS,
    isVolatile: false,
    queue: 'q',
  });
  expect(runs.free(CAPACITY).cpuMilli).toEqual(1000);
  runs.delete(first);
  // A second deletion must not free the capacity again.
  runs.delete(first);
  expect(runs.free(CAPACITY).cpuMilli).toEqual(2500);
  runs.delete(found);
  expect(runs.free(CAPACITY)).toEqual(CAPACITY);
});

it('capacity in use beyond a reduced capacity is not counted as free later', () => {
  const runs = new TrackedRuns();
  const first = run('t');
  runs.add(first);
  runs.add(run('u'));
  expect(fits(NEEDS, runs.free({ ...CAPACITY, cpuMilli: 1500 }))).toEqual(
    false,
  );
  runs.delete(first);
  expect(runs.free(CAPACITY).cpuMilli).toEqual(2500);
});

it('a task is found as long as any of its runs is tracked', () => {
  const runs = new TrackedRuns();
  const first = run('t', 1);
  const second = run('t', 2);
  runs.add(first);
  runs.add(second);
  expect(runs.ofTask('t')).toEqual(first);
  runs.delete(first);
  expect(runs.ofTask('t')).toEqual(second);
  runs.delete(second);
  expect(runs.ofTask('t')).toEqual(undefined);
});

it('owners are those of the tracked runs, also after an adoption', () => {
  const runs = new TrackedRuns();
  const first = run('t');
  runs.add(first);
  runs.add(run('u', 1, { owner: 'b' }));
  runs.reassign('a', 'b');
  expect([...runs.owners]).toEqual(['b']);
  expect(first.owner).toEqual('b');
  runs.reassign('b', 'b');
  runs.delete(first);
  expect([...runs.owners]).toEqual(['b']);
});

it('a stop that was confirmed is forgotten with its run', () => {
  const runs = new TrackedRuns();
  const first = run('t');
  runs.add(first);
  runs.confirmStop(first, 3);
  expect([...runs.stopped].map((r) => r.stoppedAtPoll)).toEqual([3]);
  runs.delete(first);
  expect([...runs.stopped]).toEqual([]);
});
