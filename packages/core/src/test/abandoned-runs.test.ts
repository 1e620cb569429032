import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { ActiveRun, WorkerReport } from '../lib/messages.js';
import {
  ID,
  done,
  helloOf,
  withTwoWorkers,
  withWorker,
} from './entry-harness.js';
import type { EntryHarness } from './entry-harness.js';

const TASK = `${ID}.0.0.0`;
const OTHER_TASK = `${ID}.0.0.1`;

const active = (owner: string): ActiveRun => ({
  task: TASK,
  run: 1,
  owner,
  checkpoint: '',
  percent: 100,
});

/** Abandons a job while the link to its worker is down, then restores it. */
const relinkAfterAbandoning = (owner: string, driver: string): EntryHarness => {
  const harness = withWorker();
  harness.submit(1);
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'reset' });
  harness.handle({ kind: 'caller-gone', replyId: 1 });
  harness.advance(200);
  expect(harness.stopped).toEqual([]);
  harness.report('w1', {
    snapshot: true,
    active: [active(owner)],
    hello: { ...helloOf('w1'), incarnation: driver },
  });
  return harness;
};

// The stop of an abandoned job is lost with the link that it was to use.
it('a run of an abandoned job is stopped over the next link', () => {
  const harness = relinkAfterAbandoning('e1', 'w');
  expect(harness.stopped.includes(`${TASK}#1`)).toEqual(true);
});

// A restarted worker driver process does not know the owner of a run, which
// would go on for 1.5 s, longer than the caller waits before it submits again.
it('a run of an abandoned job is stopped after a restart of the driver', () => {
  const harness = relinkAfterAbandoning('', 'w-2');
  expect(harness.stopped.includes(`${TASK}#1`)).toEqual(true);
});

// Worker drivers ignore a stop of a foreign run that does not name its owner.
it('a stop of a run of another entry names its owner', () => {
  const harness = withWorker();
  harness.submit(1);
  const run = { ...active('e2'), run: 7 };
  harness.report('w1', { snapshot: true, active: [run] });
  const stops = harness.orders.flatMap(({ order }) => order.stops);
  expect(stops).toEqual([{ task: TASK, run: 7, owner: 'e2' }]);
});

/**
 * Submits an abandoned job again to the same entry while its first worker has
 * not confirmed the end of its runs.
 */
const resubmitWhileStopping = (): EntryHarness => {
  const harness = withTwoWorkers();
  harness.submit(1);
  expect(harness.started).toEqual([`${TASK}#1`, `${OTHER_TASK}#1`]);
  harness.handle({ kind: 'caller-gone', replyId: 1 });
  for (let passed = 0; passed < 1300; passed += 100) {
    harness.advance(100);
    harness.report('w1');
  }
  harness.report('w2', { snapshot: true });
  // Its objective is loose, so it is not refused while it waits.
  harness.submit(2, { slackMs: 8000 });
  return harness;
};

/** Returns the runs that begin after the report of a stopped or refused run. */
const startedAfter = (fields: Partial<WorkerReport>): string[] => {
  const harness = resubmitWhileStopping();
  expect(harness.started.length).toEqual(2);
  harness.report('w1', fields);
  return harness.started.slice(2);
};

// A worker may leave stops unanswered for longer than the caller waits. Both
// runs have the number 1, since the entry has forgotten the first job.
it('a resubmitted task waits until its abandoned run has stopped', () => {
  const ends = [{ ...done(TASK), kind: EndKind.STOPPED }];
  expect(startedAfter({ ends })).toEqual([`${TASK}#1`]);
});

it('a resubmitted task waits until its abandoned run was refused', () => {
  const refused = [{ task: TASK, run: 1, reason: StartRefusal.NO_ANSWER }];
  expect(startedAfter({ refused })).toEqual([`${TASK}#1`]);
});

it('a resubmitted task waits until the runs of a silent worker have expired', () => {
  const harness = resubmitWhileStopping();
  for (let passed = 0; passed < 2000; passed += 100) {
    harness.advance(100);
    harness.report('w2');
  }
  expect(harness.started.length).toEqual(2);
  for (let passed = 0; passed < 1000; passed += 100) {
    harness.advance(100);
    harness.report('w2');
  }
  expect(harness.started.slice(2)).toEqual([`${TASK}#1`, `${OTHER_TASK}#1`]);
});
