import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { ListedEnd } from '../lib/process/worker-events.js';
import { BatchState } from '../lib/request/batch-job.js';
import { ID, done, withTwoWorkers } from './entry-harness.js';
import type { EntryHarness } from './entry-harness.js';
import { DriverHarness, ready, refusals, starts } from './worker-harness.js';

const MAX_LISTED_ENDS = 500;
const TASK = `${ID}.0.0.0`;

const endOf = (task: string, number: number, kind: EndKind): ListedEnd => ({
  number,
  task,
  run: 1,
  kind,
  checkpoint: '',
});

/** As many ends as a worker lists at a time. */
const FULL_LIST = Array.from({ length: MAX_LISTED_ENDS }, (_, index) =>
  endOf(`other.0.0.${String(index)}`, index + 1, EndKind.DONE),
);

const poll = (harness: DriverHarness, count = 2): void => {
  for (let polls = 0; polls < count; polls += 1) {
    harness.advance(30);
    harness.answerPoll();
  }
};

/** @returns A driver that has stopped a run, whose end is not listed yet. */
const afterStop = (): DriverHarness => {
  const harness = ready();
  const hold = { holdUntilMs: harness.clock + 700 };
  harness.order({ ...hold, starts: starts('j.0.0.0') });
  harness.answer('start');
  harness.ends = FULL_LIST;
  harness.order({ ...hold, stops: [{ task: 'j.0.0.0', run: 1 }] });
  harness.answer('stop');
  poll(harness);
  return harness;
};

// Guards against a run that has ended `failed` and that is taken for one that has
// never begun, so that its task starts once more than its attempts allow.
it('a stopped run is not refused while more ends may be listed', () => {
  const harness = afterStop();
  expect(refusals(harness)).toEqual([]);
  harness.ends = [endOf('j.0.0.0', MAX_LISTED_ENDS + 1, EndKind.FAILED)];
  poll(harness);
  expect(refusals(harness)).toEqual([]);
  const ends = harness.reports.flatMap((report) => report.ends);
  expect(ends.filter(({ task }) => task === 'j.0.0.0').length).toEqual(1);
});

it('a stopped run is refused once the list is complete without it', () => {
  const harness = afterStop();
  harness.ends = FULL_LIST.slice(1);
  poll(harness);
  expect(refusals(harness)).toEqual([StartRefusal.NO_ANSWER]);
});

// Guards against a snapshot of a restarted driver from which a run is missing that
// has ended, so that its entry starts the task again.
it('a restarted driver sends no snapshot before a list was complete', () => {
  const harness = new DriverHarness();
  harness.active = [{ task: 'j.0.0.0', run: 1, checkpoint: '', percent: 100 }];
  harness.ends = FULL_LIST;
  harness.announce();
  harness.openLink();
  const report = harness.reports.at(-1);
  expect([report?.snapshot, report?.active.length]).toEqual([false, 1]);
  harness.ends = [endOf('k.0.0.0', MAX_LISTED_ENDS + 1, EndKind.FAILED)];
  poll(harness);
  const snapshots = harness.reports.filter(({ snapshot }) => snapshot);
  expect(snapshots.length).toEqual(1);
  expect(snapshots[0]?.ends.some(({ task }) => task === 'k.0.0.0')).toEqual(
    true,
  );
});

// Guards against a planned stop that leaves ends which no process has read.
it('a planned stop waits for ends that are not listed yet', () => {
  const harness = ready();
  harness.ends = FULL_LIST;
  poll(harness);
  const { life } = harness.reports[0]?.hello ?? { life: '' };
  harness.order({
    holdUntilMs: harness.clock + 700,
    recorded: FULL_LIST.map(({ number }) => ({
      life,
      number,
      superseded: false,
    })),
  });
  harness.handle({ kind: 'stop' });
  poll(harness, 1);
  // The pending poll has acknowledged all listed ends.
  harness.advance(30);
  harness.advance(400);
  expect(harness.isStopped).toEqual(false);
  harness.ends = [];
  poll(harness);
  harness.advance(400);
  expect(harness.isStopped).toEqual(true);
});

/** Lets the first run of a task be given up, and starts it at the other worker. */
const withAbandonedRun = (isVolatile: boolean): EntryHarness => {
  const harness = withTwoWorkers();
  harness.submit(1, { isVolatile, attempts: 2 });
  // The run is known to have begun; others could begin late.
  harness.report('w1');
  for (let turn = 0; turn < 80; turn += 1) {
    harness.advance(50);
    harness.report('w2', { snapshot: turn === 0 });
  }
  expect(harness.started.includes(`${TASK}#2`)).toEqual(true);
  return harness;
};

const failed = (run: number) => ({
  ...done(TASK, run, run),
  kind: EndKind.FAILED,
});

// Guards against an attempt that is not counted because its run was given up.
it('a failed end counts as an attempt after its run was given up', () => {
  const harness = withAbandonedRun(false);
  harness.report('w1', { snapshot: true, ends: [failed(1)] });
  harness.report('w2', { ends: [failed(2)] });
  harness.advance(100);
  expect(harness.started.includes(`${TASK}#3`)).toEqual(false);
  const deadlineMs = harness.now + 1000;
  harness.handle({ kind: 'status', replyId: 9, id: ID, deadlineMs });
  const state = BatchState.Failed;
  expect(harness.replies.get(9)).toEqual({ kind: 'state', state });
});

// Guards against a volatile job that fails by the runs of an earlier entry.
it('a failed end of another run number does not count for a volatile job', () => {
  const harness = withAbandonedRun(true);
  harness.report('w1', { snapshot: true, ends: [failed(1)] });
  harness.report('w2', { ends: [failed(2)] });
  harness.advance(100);
  expect(harness.replies.get(1)).toEqual(undefined);
});

// Guards against a run that is given up because the snapshot does not come yet.
it('an entry claims the active runs of a report that is no snapshot', () => {
  const harness = withTwoWorkers();
  harness.submit(1, { isVolatile: false });
  const [first] = harness.started;
  expect(first).toEqual(`${TASK}#1`);
  const active = [
    { task: TASK, run: 1, owner: '', checkpoint: '', percent: 100 },
  ];
  harness.report('w1', { active, snapshot: false });
  const claims = harness.orders.flatMap(({ order }) => order.claims);
  expect(claims.flatMap(({ runs }) => runs.map(({ task }) => task))).toEqual([
    TASK,
  ]);
});
