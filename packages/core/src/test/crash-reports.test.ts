import { expect } from 'earl';
import { CrashLedger } from '../lib/process/crash-ledger.js';
import type { WorkerReply } from '../lib/process/worker-events.js';
import { WorkerRejection } from '../lib/process/worker-events.js';
import {
  BORN_MS,
  DriverHarness,
  crashedRuns,
  ready,
  starts,
} from './worker-harness.js';

const OTHER_INCARNATION: WorkerReply = {
  kind: 'rejected',
  reason: WorkerRejection.OtherIncarnation,
  clockMs: undefined,
};
const RUN = `j.0.0.0#1 in ${String(BORN_MS)}`;

/** Returns a driver with one active run. */
const withRun = (): DriverHarness => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  harness.answer('start');
  return harness;
};

it('a crash is reported with the runs that were active, before their tasks restart', () => {
  const harness = withRun();
  harness.answer('hold', { kind: 'unreachable' });
  harness.advance(1300);
  expect(crashedRuns(harness)).toEqual([RUN]);
  const report = harness.reports.find(({ ends }) => ends.length > 0);
  expect(report?.crashes.length).toEqual(1);
});

it('a crash that shows by the next incarnation only is reported then', () => {
  const harness = withRun();
  harness.answer('hold', OTHER_INCARNATION);
  expect(crashedRuns(harness)).toEqual([RUN]);
});

it('a crash is reported once', () => {
  const harness = withRun();
  harness.answer('hold', { kind: 'unreachable' });
  harness.advance(1300);
  harness.answer('hold', OTHER_INCARNATION);
  expect(crashedRuns(harness)).toEqual([RUN]);
});

it('a link that is opened after a crash learns of it', () => {
  const harness = withRun();
  harness.answer('hold', OTHER_INCARNATION);
  harness.reports.length = 0;
  harness.openLink(2, 'b1');
  expect(crashedRuns(harness)).toEqual([RUN]);
});

it('the leave of a worker that drains is no crash', () => {
  const harness = withRun();
  harness.heartbeat({ accepting: false, sequence: harness.now + 1 });
  harness.handle({ kind: 'leave', id: 'i-1' });
  harness.handle({ kind: 'flush' });
  expect(crashedRuns(harness)).toEqual([]);
});

it('a run whose start was not delivered is not part of a crash', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  harness.answer('start', { kind: 'unreachable' });
  harness.answer('start', { kind: 'unreachable' });
  harness.answer('hold', OTHER_INCARNATION);
  expect(crashedRuns(harness)).toEqual([]);
});

// Guards against recorded jobs that have their queue confined.
it('a crash names the queues of volatile jobs only', () => {
  for (const [volatile, queue] of [
    [true, 'q'],
    [false, ''],
  ] as const) {
    const harness = ready();
    const groups = starts('j.0.0.0').map((group) => ({ ...group, volatile }));
    harness.order({ holdUntilMs: 9000, starts: groups });
    harness.answer('start');
    harness.answer('hold', { kind: 'unreachable' });
    harness.advance(1300);
    const runs = harness.reports.flatMap((report) =>
      report.crashes.flatMap((crash) => crash.runs),
    );
    expect(runs.map((run) => run.queue)).toEqual([queue]);
  }
});

/** Bounds of the run times at the reported crashes. */
const activeTimes = (harness: DriverHarness): (readonly [number, number])[] =>
  harness.reports.flatMap((report) =>
    report.crashes.flatMap(({ runs }) =>
      runs.map(
        ({ activeMs, uncertaintyMs }) =>
          [activeMs - uncertaintyMs, activeMs] as const,
      ),
    ),
  );

it('a connection that closes tells the time of a crash exactly', () => {
  const harness = withRun();
  harness.advance(10);
  harness.answer('hold', { kind: 'no-answer', detail: 'connection closed' });
  harness.advance(60);
  harness.answer('hold', { kind: 'unreachable' });
  harness.advance(1300);
  expect(activeTimes(harness)).toEqual([[10, 10]]);
});

// Guards against the end of a silence that is taken for the time of the crash.
it('a crash after a poll that timed out may have happened since the last answer', () => {
  const harness = withRun();
  harness.advance(10);
  harness.answerPoll();
  harness.advance(400);
  harness.answer('hold', { kind: 'no-answer', detail: 'timed out' });
  harness.advance(60);
  harness.answer('hold', { kind: 'unreachable' });
  harness.advance(1300);
  expect(activeTimes(harness)).toEqual([[10, 470]]);
});

// Guards against tasks that are blamed for a crash before they began: a driver
// that was stalled sends starts after the worker has crashed and come back.
it('a run whose start was not confirmed may not have begun at a crash', () => {
  const harness = ready();
  harness.order({ holdUntilMs: 9000, starts: starts('j.0.0.0') });
  harness.answer('hold', OTHER_INCARNATION);
  expect(activeTimes(harness)).toEqual([[-1, 0]]);
});

/** Returns a driver whose worker has not answered until its run was lost. */
const withLostRun = (): DriverHarness => {
  const harness = withRun();
  for (let passed = 0; passed < 14_000; passed += 100) {
    if (harness.count('hold') > 0) {
      harness.answer('hold', { kind: 'no-answer', detail: 'timed out' });
    }
    harness.advance(100);
  }
  return harness;
};

it('a silence is no crash, unless another incarnation answers after it', () => {
  const harness = withLostRun();
  expect(crashedRuns(harness)).toEqual([]);
  harness.answer('hold', OTHER_INCARNATION);
  expect(crashedRuns(harness)).toEqual([RUN]);
});

// Guards against tasks that are blamed for a crash long after they have moved.
it('runs lost in a silence are no part of a crash after it', () => {
  const harness = withLostRun();
  harness.answerPoll();
  harness.advance(100);
  harness.answer('hold', OTHER_INCARNATION);
  expect(crashedRuns(harness)).toEqual([]);
});

it('a crash that several reports name is counted once for each task', () => {
  const ledger = new CrashLedger();
  const crash = {
    life: '1',
    runs: [{ task: 'a', run: 1, activeMs: 5, queue: '', uncertaintyMs: 0 }],
  };
  expect(ledger.add('w1', crash)).toEqual(['a']);
  expect(ledger.add('w1', crash)).toEqual([]);
  ledger.add('w2', crash);
  ledger.add('w1', { ...crash, life: '2' });
  const counts = ['a', 'b'].map((task) => ledger.crashesOf(task).length);
  expect(counts).toEqual([3, 0]);
});
