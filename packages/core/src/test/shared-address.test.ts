import { expect } from 'earl';
import { EndKind } from '../lib/messages.js';
import { BatchState } from '../lib/request/batch-job.js';
import {
  CONTENT,
  EntryHarness,
  FakeRows,
  helloOf,
  withWorker,
} from './entry-harness.js';
import { DriverHarness } from './worker-harness.js';

// A VM that is lost leaves its row, and a new VM may get its address.

const ADDRESS = 'vm:1';
const STEP_MS = 10;
const RUN_MS = 150;
const JOBS = 75;
const JOB_INTERVAL_MS = 100;

/** Connects an entry to the worker driver of the VM "vm". */
class Connection {
  readonly entry: EntryHarness;
  readonly driver = new DriverHarness();
  private readonly _endAtMs = new Map<string, number>();
  private _delivered = 0;
  private _ends = 0;

  constructor(rows: FakeRows) {
    this.entry = new EntryHarness(rows);
    this.driver.announce();
  }

  get openedLinks(): number {
    return this.entry.linkActions.filter(({ kind }) => kind === 'open-link')
      .length;
  }

  get doneJobs(): number {
    return [...this.entry.replies.values()].filter(
      (reply) => reply.kind === 'ended' && reply.state === BatchState.Completed,
    ).length;
  }

  advance(ms: number): void {
    for (let leftMs = ms; leftMs > 0; leftMs -= STEP_MS) {
      this.entry.advance(STEP_MS);
      this._deliverToDriver();
      this.driver.advance(STEP_MS);
      this._work();
      this._deliverToEntry();
    }
  }

  /** Submits jobs of one task at a fixed interval, and waits for their ends. */
  submitJobs(): void {
    const steps = CONTENT.steps.map((step) => ({ ...step, count: 1 }));
    for (let i = 1; i <= JOBS; i += 1) {
      const id = i.toString(16).padStart(16, '0');
      this.entry.submit(i, { steps }, id);
      this.advance(JOB_INTERVAL_MS);
    }
    this.advance(1000);
  }

  private _deliverToDriver(): void {
    for (const action of this.entry.linkActions.slice(this._delivered)) {
      const { linkId } = action;
      switch (action.kind) {
        case 'open-link':
          this.driver.handle({ kind: 'link-open', linkId });
          break;
        case 'close-link':
          this.driver.handle({ kind: 'link-closed', linkId });
          break;
        case 'order':
          this.driver.handle({ kind: 'order', linkId, order: action.order });
      }
    }
    this._delivered = this.entry.linkActions.length;
    this.driver.handle({ kind: 'flush' });
  }

  private _deliverToEntry(): void {
    for (const linkId of this.driver.closedLinks.splice(0)) {
      this.entry.handle({ kind: 'link-closed', linkId, detail: 'closed' });
    }
    for (const [linkId, reports] of this.driver.reportsByLink) {
      for (const report of reports.splice(0)) {
        this.entry.handle({ kind: 'report', linkId, report });
      }
    }
  }

  /** Does the work of the worker for one step. */
  private _work(): void {
    const { driver } = this;
    while (driver.count('start') > 0) {
      const { call } = driver.calls.find((c) => c.call.kind === 'start') ?? {};
      if (call?.kind === 'start') {
        const { task, run } = call;
        driver.active.push({ task, run, checkpoint: '', percent: 100 });
        this._endAtMs.set(task, driver.now + RUN_MS);
      }
      driver.answer('start');
    }
    while (driver.count('stop') > 0) {
      const { call } = driver.calls.find((c) => c.call.kind === 'stop') ?? {};
      if (call?.kind === 'stop') {
        this._end(call.task, EndKind.STOPPED);
      }
      driver.answer('stop');
    }
    for (const { task } of driver.active) {
      if (driver.now >= (this._endAtMs.get(task) ?? 0)) {
        this._end(task, EndKind.DONE);
      }
    }
    if (driver.count('hold') > 0) {
      const ackedThrough = driver.polls.at(-1)?.ackedThrough ?? 0;
      driver.ends = driver.ends.filter(({ number }) => number > ackedThrough);
      driver.answerPoll();
    }
  }

  private _end(task: string, kind: EndKind): void {
    const { driver } = this;
    const ended = driver.active.find((run) => run.task === task);
    if (ended) {
      driver.active = driver.active.filter((run) => run !== ended);
      this._ends += 1;
      const { run } = ended;
      driver.ends.push({ number: this._ends, task, run, kind, checkpoint: '' });
    }
  }
}

it('all jobs of an entry complete at a worker with one row', () => {
  const rows = new FakeRows();
  rows.addWorker('vm', 1, ADDRESS);
  const connection = new Connection(rows);
  connection.advance(200);
  connection.submitJobs();
  expect(connection.doneJobs).toEqual(JOBS);
});

// Two links of one entry would close each other, and stop the runs of both.
it('all jobs of an entry complete at a worker whose address has an older row', () => {
  const rows = new FakeRows();
  rows.addWorker('lost', 1, ADDRESS);
  rows.addWorker('vm', 2, ADDRESS);
  const connection = new Connection(rows);
  connection.advance(200);
  connection.submitJobs();
  expect(connection.doneJobs).toEqual(JOBS);
  expect(connection.openedLinks).toEqual(1);
});

// The row of the lost VM may have been written last.
it('all jobs of an entry complete at a worker whose address has a newer row', () => {
  const rows = new FakeRows();
  rows.addWorker('vm', 1, ADDRESS);
  rows.addWorker('lost', 2, ADDRESS);
  const connection = new Connection(rows);
  connection.advance(200);
  connection.submitJobs();
  expect(connection.doneJobs).toEqual(JOBS);
  expect(connection.openedLinks).toEqual(2);
});

// The new VM answers before the entry has read its row.
it('the link moves to the row of the worker that answers once it is there', () => {
  const rows = new FakeRows();
  rows.addWorker('lost', 1, ADDRESS);
  const connection = new Connection(rows);
  connection.advance(500);
  rows.version = 2;
  rows.addWorker('vm', 2, ADDRESS);
  connection.entry.answerChanges();
  connection.advance(200);
  connection.submitJobs();
  expect(connection.doneJobs).toEqual(JOBS);
});

// Another VM's list of runs says nothing about the VM where the run was started.
it('runs at a lost VM are not given up because another VM has its address', () => {
  const rows = new FakeRows();
  rows.addWorker('w1', 1);
  const harness = withWorker(rows);
  harness.submit(1);
  expect(harness.started.length).toEqual(2);
  // Both runs are known to have begun; others could begin late.
  harness.report('w1');
  const linkId = harness.links.get('w1') ?? 0;
  harness.handle({ kind: 'link-closed', linkId, detail: 'reset' });
  harness.advance(200);
  harness.report('w1', { hello: helloOf('w2'), snapshot: true });
  expect(harness.linkActions.at(-1)?.kind).toEqual('close-link');
  rows.version = 2;
  rows.addWorker('w2', 2, 'w1');
  harness.answerChanges();
  harness.advance(100);
  harness.report('w1', { hello: helloOf('w2'), snapshot: true });
  harness.advance(500);
  expect(harness.started.length).toEqual(2);
  expect(harness.stopped).toEqual([]);
  for (let i = 0; i < 20; i += 1) {
    harness.advance(100);
    harness.report('w1', { hello: helloOf('w2') });
  }
  // The time limits of the first runs have passed.
  expect(harness.started.length).toEqual(4);
});

it('a row that is deleted leaves its address to the other row', () => {
  const rows = new FakeRows();
  rows.addWorker('lost', 1, ADDRESS);
  rows.addWorker('vm', 2, ADDRESS);
  const harness = new EntryHarness(rows);
  harness.advance(100);
  const linkId = harness.links.get(ADDRESS) ?? 0;
  const order = harness.linkActions.filter(({ kind }) => kind === 'open-link');
  expect(order.length).toEqual(1);
  harness.entry.handle(
    {
      kind: 'follow-reply',
      table: 'member',
      reply: {
        kind: 'changes',
        rows: [{ key: 'worker/vm', value: null, version: 3 }],
        version: 3,
      },
    },
    harness.now,
  );
  harness.advance(100);
  const kinds = harness.linkActions
    .filter(({ kind }) => kind !== 'order')
    .map(({ kind }) => kind);
  expect(kinds).toEqual(['open-link', 'close-link', 'open-link']);
  expect(harness.links.get(ADDRESS) === linkId).toEqual(false);
});
