import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { WorkerReport } from '../lib/messages.js';
import { SubmitRefusal } from '../lib/process/batch-events.js';
import { partName, partOf } from '../lib/process/fleet-rows.js';
import { BatchState } from '../lib/request/batch-job.js';
import { ZERO_ROOM } from '../lib/request/room.js';
import type { StoreRequest } from '../lib/store.js';
import {
  CAPACITY,
  CONTENT,
  EntryHarness,
  FakeRows,
  ID,
  done,
  withTwoWorkers,
  withWorker,
  nextOwner,
} from './entry-harness.js';

it('a volatile job is placed at once and answered at its end', () => {
  const harness = withWorker();
  harness.submit(1);
  expect(harness.started).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
  expect(harness.replies.get(1)).toEqual(undefined);
  harness.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  expect(harness.replies.get(1)).toEqual({
    kind: 'ended',
    state: BatchState.Completed,
  });
});

it('the runs of a job are stopped when its caller disconnects', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.handle({ kind: 'caller-gone', replyId: 1 });
  expect(harness.stopped).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
});

// Guards against a cancellation that is carried out and never answered.
it('the cancellation of a volatile job is answered', () => {
  const harness = withWorker();
  harness.submit(1);
  const deadlineMs = harness.now + 4000;
  harness.handle({ kind: 'cancel', replyId: 2, id: ID, deadlineMs });
  expect(harness.replies.get(1)).toEqual({
    kind: 'ended',
    state: BatchState.Cancelled,
  });
  expect(harness.replies.get(2)).toEqual({ kind: 'cancelled' });
  expect(harness.stopped).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
});

it('a volatile submission with the id of a recorded job is answered at its end', () => {
  const harness = withWorker();
  harness.submit(1, { ...CONTENT, isVolatile: false });
  harness.submit(2);
  expect(harness.replies.get(2)).toEqual(undefined);
  harness.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  harness.advance(100);
  const ended = { kind: 'ended', state: BatchState.Completed } as const;
  expect(harness.replies.get(2)).toEqual(ended);
  harness.submit(3);
  expect(harness.replies.get(3)).toEqual(ended);
});

it('a recorded job goes on when a volatile caller of it disconnects', () => {
  const harness = withWorker();
  harness.submit(1, { ...CONTENT, isVolatile: false });
  harness.submit(2);
  harness.handle({ kind: 'caller-gone', replyId: 2 });
  expect(harness.stopped).toEqual([]);
});

it('a pause ends volatile jobs, since callers may have resubmitted them', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.handle({ kind: 'paused', jumpMs: 4000 });
  expect(harness.replies.get(1)?.kind).toEqual('in-doubt');
  expect(harness.stopped.length).toEqual(2);
  harness.report('w1', {
    ends: [{ ...done(`${ID}.0.0.0`), kind: EndKind.STOPPED }],
  });
  expect(harness.started.length).toEqual(2);
});

it('a job given up before it began is refused, so that its caller may retry', () => {
  const harness = withWorker();
  harness.report('w1', { free: { ...CAPACITY, cpuMilli: 0 } });
  harness.submit(1);
  harness.handle({ kind: 'paused', jumpMs: 4000 });
  const reply = harness.replies.get(1);
  expect(reply?.kind === 'refused' && reply.reason).toEqual(
    SubmitRefusal.Abandoned,
  );
  harness.report('w1');
  expect(harness.started).toEqual([]);
});

it('a planned stop answers open calls before the process ends', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.handle({ kind: 'stop' });
  for (let i = 0; i < 6; i += 1) {
    harness.advance(500);
    harness.report('w1');
  }
  expect(harness.actionKinds.includes('stopped')).toEqual(false);
  harness.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  harness.advance(200);
  expect(harness.replies.get(1)?.kind).toEqual('ended');
  expect(harness.actionKinds.includes('stopped')).toEqual(true);
});

it('a job that would outlast a planned stop is refused', () => {
  const harness = withWorker();
  harness.submit(2, {}, '00000000000000b2');
  harness.handle({ kind: 'stop' });
  harness.advance(4300);
  harness.submit(1);
  expect(harness.replies.get(1)).toEqual({
    kind: 'refused',
    reason: SubmitRefusal.Stopping,
    retryAfterMs: 1000,
  });
});

it('a job without capacity is refused once it is too late, and never starts', () => {
  const harness = withWorker();
  harness.report('w1', { free: { ...CAPACITY, cpuMilli: 0 } });
  harness.submit(1);
  for (let i = 0; i < 14; i += 1) {
    harness.advance(50);
    harness.report('w1', { free: { ...CAPACITY, cpuMilli: 0 } });
  }
  const reply = harness.replies.get(1);
  expect(reply?.kind === 'refused' && reply.reason).toEqual(
    SubmitRefusal.Overload,
  );
  harness.report('w1');
  expect(harness.started).toEqual([]);
});

/** @returns Kind of the reply to a caller whose job's starts are refused. */
const replyAfter = (reason: StartRefusal): string | undefined => {
  const harness = withWorker();
  harness.submit(1);
  const free = { ...CAPACITY, cpuMilli: 0 };
  const refused = [0, 1].map((index) => ({
    task: `${ID}.0.0.${String(index)}`,
    run: 1,
    reason,
  }));
  harness.report('w1', { refused, free });
  for (let passed = 0; passed < 2000; passed += 50) {
    harness.advance(50);
    harness.report('w1', { free });
  }
  return harness.replies.get(1)?.kind;
};

it('a job whose starts found no capacity is refused like one never sent', () => {
  expect(replyAfter(StartRefusal.NO_ROOM)).toEqual('refused');
});

// Guards against a caller that waits for a job of which nothing has begun.
it('a job whose starts an unhealthy worker rejected is refused like one never sent', () => {
  expect(replyAfter(StartRefusal.UNHEALTHY)).toEqual('refused');
});

it('a job whose starts may have begun is never refused', () => {
  expect(replyAfter(StartRefusal.NO_ANSWER)).toEqual(undefined);
});

// Guards against a refused job of which another entry has started a run.
it('a job whose run number was used at the worker is never refused', () => {
  expect(replyAfter(StartRefusal.STALE_RUN)).toEqual(undefined);
});

it('volatile jobs are served while the store is unavailable', () => {
  const harness = withWorker();
  harness.rows.isUnavailable = true;
  harness.advance(1000);
  harness.report('w1');
  harness.advance(1000);
  harness.report('w1');
  harness.submit(1);
  expect(harness.started.length).toEqual(2);
});

// Both runs are known to have begun; see late-starts.test.ts for others.
it('tasks of an unresponsive worker are restarted elsewhere', () => {
  const harness = withTwoWorkers();
  harness.submit(1);
  harness.report('w1');
  harness.advance(2000);
  harness.report('w2', { snapshot: true });
  expect(harness.started.length).toEqual(2);
  harness.advance(1200);
  harness.report('w2', { snapshot: true });
  expect(harness.started.slice(2)).toEqual([`${ID}.0.0.0#2`, `${ID}.0.0.1#2`]);
});

it('a job is recorded before it is accepted and before it starts', () => {
  const harness = withWorker();
  harness.rows.isUnavailable = true;
  harness.submit(1, { isVolatile: false });
  expect([harness.replies.get(1), harness.started.length]).toEqual([
    undefined,
    0,
  ]);
  harness.rows.isUnavailable = false;
  harness.advance(300);
  expect(harness.replies.get(1)).toEqual({ kind: 'accepted' });
  expect(harness.started.length).toEqual(2);
});

it('a job resubmitted to another entry is accepted but not started there', () => {
  const rows = new FakeRows();
  const first = withWorker(rows);
  first.submit(1, { isVolatile: false });
  const other = new EntryHarness(rows, 'e2', 'entry-2');
  other.advance(100);
  other.submit(2, { isVolatile: false });
  expect(other.replies.get(2)).toEqual({ kind: 'accepted' });
  expect(other.started).toEqual([]);
});

it('ends are acknowledged only once the job is recorded as ended', () => {
  const harness = withWorker();
  harness.submit(1, { isVolatile: false });
  harness.rows.isUnavailable = true;
  harness.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  const recorded = (): number =>
    harness.orders.flatMap(({ order }) => order.recorded).length;
  harness.advance(300);
  expect(recorded()).toEqual(0);
  harness.rows.isUnavailable = false;
  harness.report('w1');
  harness.advance(800);
  expect(recorded()).toEqual(2);
});

it('the next step of a job starts when the steps before it are done', () => {
  const harness = withWorker();
  const [step] = CONTENT.steps;
  const steps = step ? [step, { ...step, count: 1, after: [0] }] : [];
  harness.submit(1, { steps });
  expect(harness.started).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
  harness.report('w1', { ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`)] });
  expect(harness.started.slice(2)).toEqual([`${ID}.0.1.0#1`]);
});

it('a stalled run is stopped and its task starts elsewhere', () => {
  const harness = withTwoWorkers();
  harness.submit(1);
  harness.report('w2');
  for (let passed = 0; passed < 700; passed += 50) {
    harness.advance(50);
    harness.report('w1');
    harness.report('w2');
  }
  expect(harness.stopped).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
  const end = { ...done(`${ID}.0.0.0`), kind: EndKind.STOPPED };
  harness.report('w1', { ends: [end] });
  const last = harness.orders.findLast(({ order }) => order.starts.length > 0);
  expect(last?.linkId).toEqual(harness.links.get('w2'));
  expect(harness.started.at(-1)).toEqual(`${ID}.0.0.0#2`);
});

// Guards against a stalled run that goes on for good, because its stop was lost
// with the link or the worker driver process.
it('a stalled run whose stop was lost is stopped again', () => {
  const harness = withTwoWorkers();
  harness.submit(1);
  harness.report('w2');
  for (let passed = 0; passed < 700; passed += 50) {
    harness.advance(50);
    harness.report('w1');
    harness.report('w2');
  }
  const task = `${ID}.0.0.0`;
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'reset' });
  harness.advance(200);
  const active = { task, run: 1, owner: '', checkpoint: '', percent: 100 };
  harness.report('w1', { snapshot: true, active: [active] });
  const stops = harness.stopped.filter((name) => name === `${task}#1`);
  expect(stops.length).toEqual(2);
});

// Guards against restarts of tasks that take long at any worker.
it('a long run goes on while its worker completes later runs, up to a higher limit', () => {
  const harness = withWorker();
  harness.submit(1);
  harness.report('w1', { ends: [done(`${ID}.0.0.1`)] });
  const [step] = CONTENT.steps;
  const steps = step ? [{ ...step, count: 1 }] : [];
  const stopsAfter: number[] = [];
  for (let round = 1; round <= 15; round += 1) {
    const later = `later${String(round)}`;
    harness.submit(1 + round, { steps }, later);
    harness.advance(50);
    harness.report('w1');
    harness.advance(50);
    harness.report('w1', { ends: [done(`${later}.0.0.0`, 1, 1 + round)] });
    stopsAfter.push(harness.stopped.length);
  }
  // The limit of a stalled run is 600 ms, that of a long one 1400 ms.
  expect(stopsAfter.slice(0, 13).every((stops) => stops === 0)).toEqual(true);
  expect(harness.stopped).toEqual([`${ID}.0.0.0#1`]);
});

it('an end at another worker does not end the current run', () => {
  const rows = new FakeRows();
  const harness = withWorker(rows);
  harness.submit(1);
  const before = harness.started;
  rows.addWorker('w2', 2);
  rows.version = 2;
  harness.answerChanges();
  harness.advance(100);
  // A run of the same job that an earlier owner started there.
  const end = { ...done(`${ID}.0.0.0`), kind: EndKind.STOPPED };
  harness.report('w2', { ends: [end] });
  expect(harness.started).toEqual(before);
  harness.report('w2', {
    refused: [{ task: `${ID}.0.0.1`, run: 1, reason: StartRefusal.STALE_RUN }],
  });
  expect(harness.started).toEqual(before);
});

it('a cancelled job stops and never starts again', () => {
  const harness = withWorker();
  harness.submit(1, { isVolatile: false });
  harness.handle({
    kind: 'cancel',
    replyId: 2,
    id: ID,
    deadlineMs: harness.now + 1000,
  });
  expect(harness.replies.get(2)).toEqual({ kind: 'cancelled' });
  expect(harness.stopped.length).toEqual(2);
});

it('a new process on the same VM takes over the jobs of its predecessor', () => {
  const rows = new FakeRows();
  const first = withWorker(rows);
  first.submit(1, { isVolatile: false });
  const next = nextOwner(rows);
  next.report('w1', {
    snapshot: true,
    adopted: ['e1'],
    active: [
      {
        task: `${ID}.0.0.0`,
        run: 1,
        owner: 'e1b',
        checkpoint: '',
        percent: 100,
      },
    ],
  });
  next.advance(100);
  // The active run continues; the other task starts with a new run number.
  expect(next.started).toEqual([`${ID}.0.0.1#10001`]);
  const row = rows.rows.get(`${partName(partOf(ID))}|job/${ID}`);
  expect(row?.value.includes('"owner":"e1b"')).toEqual(true);
});

// Guards against a task that starts again after its end was acknowledged, because
// its worker answered between the end of the takeover and that start.
it('an end that comes too late for a takeover is acknowledged as superseded', () => {
  const rows = new FakeRows();
  withWorker(rows).submit(1, { isVolatile: false });
  const next = nextOwner(rows);
  // Without free capacity the tasks wait.
  const report = { adopted: ['e1'], free: ZERO_ROOM };
  next.report('w1', { ...report, snapshot: true });
  next.advance(100);
  next.report('w1', { ...report, ends: [done(`${ID}.0.0.0`)] });
  next.advance(1200);
  expect(next.started).toEqual([]);
  expect(next.orders.flatMap(({ order }) => order.recorded)).toEqual([
    { life: '1', number: 1, superseded: true },
  ]);
  next.report('w1');
  expect(next.started).toEqual([`${ID}.0.0.0#10001`, `${ID}.0.0.1#10001`]);
});

// Guards against an end that is taken note of although a run began after it: the
// predecessor had given the run up and had started the task again elsewhere.
it('an end is acknowledged as superseded after the end of a later run', () => {
  const rows = new FakeRows();
  withTwoWorkers(rows).submit(1, { isVolatile: false });
  const next = nextOwner(rows);
  const report = { snapshot: true, adopted: ['e1'] };
  const stopped = { ...done(`${ID}.0.0.0`, 2), kind: EndKind.STOPPED };
  next.report('w2', { ...report, ends: [stopped] });
  next.report('w1', { ...report, ends: [done(`${ID}.0.0.0`, 1, 2)] });
  next.advance(1200);
  expect(next.orders.flatMap(({ order }) => order.recorded)).toEqual([
    { life: '1', number: 1, superseded: false },
    { life: '1', number: 2, superseded: true },
  ]);
  // The task counts as done all the same.
  expect(next.started).toEqual([`${ID}.0.0.1#10001`]);
});

// Guards against an end that counts after all, because its worker lists it again
// while it waits for the expiry of its lease.
it('a superseded end that is listed again is acknowledged as superseded', () => {
  const rows = new FakeRows();
  withWorker(rows).submit(1, { isVolatile: false });
  const next = nextOwner(rows);
  const stopped = { ...done(`${ID}.0.0.0`, 2, 2), kind: EndKind.STOPPED };
  const ends = [done(`${ID}.0.0.0`, 1), stopped];
  next.report('w1', { snapshot: true, adopted: ['e1'], ends });
  next.advance(700);
  next.report('w1', { ends: [done(`${ID}.0.0.0`, 1)] });
  next.advance(700);
  next.report('w1');
  next.advance(700);
  const recorded = next.orders.flatMap(({ order }) => order.recorded);
  expect(
    recorded.filter(({ number }) => number === 1).map((r) => r.superseded),
  ).toEqual([true, true]);
});

// Guards against a task that starts again after its end was acknowledged, because
// a lost attempt of an earlier write took effect late and reverted the progress.
it('an earlier write of progress that takes effect late changes nothing', () => {
  const rows = new FakeRows();
  const requests: { part: string; req: StoreRequest }[] = [];
  const answer = rows.answer.bind(rows);
  rows.answer = (part, req) => {
    requests.push({ part, req });
    return answer(part, req);
  };
  const harness = withWorker(rows);
  const steps = CONTENT.steps.map((step) => ({ ...step, count: 3 }));
  harness.submit(1, { isVolatile: false, steps });
  harness.report('w1', { ends: [done(`${ID}.0.0.0`)] });
  harness.advance(650);
  const first = requests.at(-1);
  harness.report('w1', { ends: [done(`${ID}.0.0.1`, 1, 2)] });
  harness.advance(650);
  const progress = (): string | undefined =>
    [...rows.rows].find(([key]) => key.includes('progress/'))?.[1].value;
  const before = progress();
  expect(before?.includes('"done":[0,1]')).toEqual(true);
  expect(first && answer(first.part, first.req).kind).toEqual('conflict');
  expect(progress()).toEqual(before);
});

it('an entry whose owner row is gone retires', () => {
  const harness = withWorker();
  harness.rows.rows.delete(`${partName(partOf(ID))}|owner/e1`);
  harness.submit(1, { isVolatile: false });
  expect(harness.actionKinds.includes('retire')).toEqual(true);
  expect(harness.replies.get(1)?.kind).toEqual('in-doubt');
});

for (const reason of [
  StartRefusal.NO_ROOM,
  StartRefusal.NOT_READY,
  StartRefusal.UNHEALTHY,
  // The worker has confirmed a stop, and lists no run after it.
  StartRefusal.NO_ANSWER,
]) {
  // Guards against a count that takes a job for begun once its starts were sent,
  // also if a worker rejected them all without doing anything.
  it(`a job counts as pending if its starts were refused: ${StartRefusal[reason]}`, () => {
    const harness = withWorker();
    harness.submit(1, { isVolatile: false });
    expect(pendingOf(harness, 10)).toEqual(0);
    const free = { ...CAPACITY, cpuMilli: 0 };
    harness.report('w1', { refused: bothRefused(reason), free });
    expect(pendingOf(harness, 11)).toEqual(1);
    harness.report('w1', { free: CAPACITY });
    expect(pendingOf(harness, 12)).toEqual(0);
  });
}

// Guards against a job that is shown as pending although a run of it has begun.
it('a job counts as begun if one of its starts may have been carried out', () => {
  const harness = withWorker();
  harness.submit(1, { isVolatile: false });
  const [first, second] = bothRefused(StartRefusal.UNHEALTHY);
  const refused = [first, { ...second, reason: StartRefusal.STALE_RUN }];
  const free = { ...CAPACITY, cpuMilli: 0 };
  harness.report('w1', { refused, free });
  expect(pendingOf(harness, 10)).toEqual(0);
});

/** @returns Refusals of the first runs of both tasks of the job. */
const bothRefused = (
  reason: StartRefusal,
): [WorkerReport['refused'][number], WorkerReport['refused'][number]] => [
  { task: `${ID}.0.0.0`, run: 1, reason },
  { task: `${ID}.0.0.1`, run: 1, reason },
];

/** @returns Number of pending jobs that the entry gives. */
const pendingOf = (
  harness: EntryHarness,
  replyId: number,
): number | undefined => {
  harness.handle({ kind: 'count', replyId, queue: 'q' });
  const reply = harness.replies.get(replyId);
  return reply?.kind === 'count' ? reply.pending : undefined;
};

// Guards against an entry that acknowledges the end of a run whose job another
// entry has adopted, so that the task starts again there.
it('no end of a job that is lost to another owner is acknowledged', () => {
  const harness = withWorker();
  harness.submit(1, { isVolatile: false });
  const key = `${partName(partOf(ID))}|job/${ID}`;
  const value = harness.rows.rows.get(key)?.value ?? '';
  harness.rows.rows.set(key, {
    value: value.replace('"owner":"e1"', '"owner":"e2"'),
    version: 1000,
  });
  const deadlineMs = harness.now + 1000;
  harness.handle({ kind: 'cancel', replyId: 2, id: ID, deadlineMs });
  expect(harness.replies.get(2)?.kind).toEqual('in-doubt');
  harness.report('w1', { ends: [done(`${ID}.0.0.0`)] });
  harness.advance(1000);
  const recorded = harness.orders.flatMap(({ order }) => order.recorded);
  expect(recorded).toEqual([]);
});

// Guards against a job that is shown as completed and runs again under the next
// owner, because its end was never recorded.
it('a job is not shown as completed before its end is recorded', () => {
  const harness = withWorker();
  harness.submit(1, { isVolatile: false });
  harness.rows.isUnavailable = true;
  const ends = [0, 1].map((index) =>
    done(`${ID}.0.0.${String(index)}`, 1, index + 1),
  );
  harness.report('w1', { ends });
  harness.advance(100);
  const deadlineMs = harness.now + 1000;
  harness.handle({ kind: 'status', replyId: 2, id: ID, deadlineMs });
  const reply = { kind: 'state', state: BatchState.Running } as const;
  expect(harness.replies.get(2)).toEqual(reply);
});

const OTHER_ID = '00000000000010a1';
const RECORDED = { ...CONTENT, isVolatile: false };

// Guards against an accepted job that stops all writes of its part of the store.
it('a job that the store can not hold is refused with its size and the limit', () => {
  const harness = withWorker();
  expect(partOf(OTHER_ID)).toEqual(partOf(ID));
  harness.submit(1, { ...RECORDED, spec: 'ß'.repeat(40_000) });
  const reply = harness.replies.get(1);
  expect(reply?.kind).toEqual('too-large');
  expect(reply?.kind === 'too-large' && reply.detail).toEqual(
    'the job takes up to 80340 bytes in the store, more than the limit of 65536 bytes',
  );
  harness.submit(2, RECORDED, OTHER_ID);
  expect(harness.replies.get(2)).toEqual({ kind: 'accepted' });
  expect(harness.started.length).toEqual(2);
});

it('the limit of a row comes from the options', () => {
  const rows = new FakeRows();
  const harness = new EntryHarness(rows, 'e1', 'entry-1', {
    storeLimits: { rowBytes: 300 },
  });
  harness.advance(100);
  harness.submit(1, RECORDED);
  expect(harness.replies.get(1)?.kind).toEqual('too-large');
});

// Guards against a job of so many tasks that its progress outgrows the limit.
it('a job whose progress may outgrow a row is refused', () => {
  const harness = withWorker();
  const [step] = CONTENT.steps;
  harness.submit(1, {
    ...RECORDED,
    steps: step ? [{ ...step, count: 10_000 }] : [],
  });
  expect(harness.replies.get(1)?.kind).toEqual('too-large');
});

it('a job that the store rejects fails alone', () => {
  const rows = new FakeRows();
  rows.rejects = (writes) => writes.some(({ key }) => key === `job/${ID}`);
  const harness = withWorker(rows);
  harness.submit(1, RECORDED);
  harness.submit(2, RECORDED, OTHER_ID);
  expect(harness.replies.get(1)?.kind).toEqual('too-large');
  expect(harness.replies.get(2)).toEqual({ kind: 'accepted' });
});

// Guards against ends that are never acknowledged, and against rejected progress
// that is written again and again.
it('ends of a job whose progress is rejected are acknowledged at its end', () => {
  const rows = new FakeRows();
  const harness = withWorker(rows);
  let rejected = 0;
  rows.rejects = (writes) => {
    const isProgress = writes.some(
      ({ key, value }) => key.startsWith('progress/') && value !== null,
    );
    rejected += isProgress ? 1 : 0;
    return isProgress;
  };
  harness.submit(1, RECORDED);
  harness.report('w1', { ends: [done(`${ID}.0.0.0`)] });
  for (let turn = 0; turn < 10; turn += 1) {
    harness.advance(200);
    harness.report('w1');
    harness.answerChanges();
  }
  expect(rejected).toEqual(1);
  expect(harness.acknowledged).toEqual([]);
  harness.report('w1', { ends: [done(`${ID}.0.0.1`, 1, 2)] });
  harness.advance(800);
  expect(harness.acknowledged).toEqual([1, 2]);
});
