import { expect } from 'earl';
import { EndKind, StartRefusal } from '../lib/messages.js';
import type { WorkerOrder, WorkerReport } from '../lib/messages.js';
import { BatchEntry } from '../lib/process/batch-entry.js';
import { SubmitRefusal } from '../lib/process/batch-events.js';
import type {
  BatchAction,
  BatchEvent,
  BatchReply,
} from '../lib/process/batch-events.js';
import { partName, partOf } from '../lib/process/fleet-rows.js';
import { BatchState } from '../lib/request/batch-job.js';
import type { BatchContent } from '../lib/request/batch-job.js';
import type { StoreReply, StoreRequest } from '../lib/store.js';

const ROOM = { cpuMilli: 16_000, memoryMb: 65_536, accelerators: 0 };
const ID = '00000000000000a1';

/** In-memory store with rows by part and key. */
class Rows {
  isAway = false;
  version = 1;
  readonly rows = new Map<string, { value: string; version: number }>();

  answer(part: string, req: StoreRequest): StoreReply {
    if (this.isAway) {
      return { kind: 'refused' };
    }
    const at = (key: string): string => `${part}|${key}`;
    switch (req.kind) {
      case 'transact': {
        const keys = req.conditions
          .filter((c) => (this.rows.get(at(c.key))?.version ?? 0) !== c.version)
          .map((c) => c.key);
        if (keys.length > 0) {
          return { kind: 'conflict', keys };
        }
        this.version += 1;
        for (const { key, value } of req.writes) {
          if (value === null) {
            this.rows.delete(at(key));
          } else {
            this.rows.set(at(key), { value, version: this.version });
          }
        }
        return { kind: 'committed', version: this.version };
      }
      case 'read':
        return {
          kind: 'rows',
          rows: req.keys.flatMap((key) => {
            const row = this.rows.get(at(key));
            return row ? [{ key, ...row }] : [];
          }),
        };
      case 'scan':
        return {
          kind: 'rows',
          rows: [...this.rows]
            .filter(([key]) => key.startsWith(at(req.prefix)))
            .map(([key, row]) => ({ key: key.slice(part.length + 1), ...row })),
        };
      case 'put-object':
      case 'get-object':
        return { kind: 'refused' };
    }
  }

  table(table: string): { key: string; value: string; version: number }[] {
    const prefix = `|${table}/`;
    return [...this.rows]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, row]) => ({ key: key.slice(prefix.length), ...row }));
  }
}

/** Runs one entry over a fake store; the test sends the workers' reports. */
class Bench {
  now = 1000;
  readonly orders: { linkId: number; order: WorkerOrder }[] = [];
  readonly replies = new Map<number, BatchReply>();
  readonly links = new Map<string, number>();
  readonly kinds: string[] = [];
  readonly entry: BatchEntry;
  private _reports = 0;

  constructor(
    readonly rows: Rows,
    incarnation = 'e1',
    name = 'entry-1',
  ) {
    this.entry = new BatchEntry(
      {
        name,
        incarnation,
        address: `${name}:1`,
        dataCentre: 'dc',
        random: () => 0.5,
        operatorTable: 'op',
        decodeOperatorRow: (row) => ({
          kind: 'other',
          key: row.key,
          detail: '',
        }),
      },
      this.now,
    );
  }

  /** Handles an event and all store replies that follow from it. */
  handle(event: BatchEvent): void {
    const events: BatchEvent[] = [event, { kind: 'flush' }];
    for (let turn = 0; turn < 60 && events.length > 0; turn += 1) {
      const next = events.shift();
      if (!next) {
        return;
      }
      for (const action of this.entry.handle(next, this.now)) {
        const reply = this._run(action);
        if (reply) {
          events.push(reply, { kind: 'flush' });
        }
      }
    }
  }

  pass(ms: number): void {
    for (let left = ms; left > 0; left -= 50) {
      this.now += Math.min(50, left);
      this.handle({ kind: 'tick' });
    }
  }

  /** Sends a report of a worker on its open link. */
  report(worker: string, fields: Partial<WorkerReport> = {}): void {
    this._reports += 1;
    this.handle({
      kind: 'report',
      linkId: this.links.get(worker) ?? 0,
      report: {
        clockMs: this.now,
        accepting: true,
        free: ROOM,
        ends: [],
        refused: [],
        sequence: 1000,
        active: [],
        snapshot: this._reports <= this.links.size,
        adopted: [],
        fenced: false,
        hello: {
          worker,
          incarnation: 'w',
          dataCentre: 'dc',
          service: 'svc',
          life: '1',
          labels: [],
          capacity: ROOM,
        },
        ...fields,
      },
    });
  }

  submit(replyId: number, more: Partial<BatchContent> = {}, id = ID): void {
    this.handle({
      kind: 'submit',
      replyId,
      id,
      content: { ...CONTENT, ...more },
      deadlineMs: this.now + 8000,
    });
  }

  get started(): string[] {
    return this.orders.flatMap(({ order }) =>
      order.starts.flatMap((group) =>
        group.runs.map((run) => `${run.task}#${String(run.run)}`),
      ),
    );
  }

  get stopped(): string[] {
    return this.orders.flatMap(({ order }) =>
      order.stops.map((run) => `${run.task}#${String(run.run)}`),
    );
  }

  private _run(action: BatchAction): BatchEvent | undefined {
    this.kinds.push(action.kind);
    switch (action.kind) {
      case 'reply':
        this.replies.set(action.replyId, action.reply);
        return undefined;
      case 'store': {
        const { opId, part, req } = action;
        return {
          kind: 'store-reply',
          opId,
          reply: this.rows.answer(part, req),
        };
      }
      case 'follow': {
        const { req } = action;
        if (this.rows.isAway) {
          return {
            kind: 'follow-reply',
            table: req.table,
            reply: { kind: 'failed' },
          };
        }
        const { version } = this.rows;
        const reply =
          req.kind === 'table'
            ? ({
                kind: 'table',
                rows: this.rows.table(req.table),
                version,
              } as const)
            : undefined;
        if (!reply) {
          this._later(req.table);
          return undefined;
        }
        return { kind: 'follow-reply', table: req.table, reply };
      }
      case 'order':
        this.orders.push(action);
        return undefined;
      case 'open-link':
        this.links.set(action.address, action.linkId);
        return undefined;
      case 'log':
      case 'probe':
      case 'close-link':
      case 'forward-cancel':
      case 'stand-down':
      case 'stopped':
        return undefined;
    }
  }

  /** Defers the reply to a call for changes until {@link refresh}. */
  private _later(table: string): void {
    this._pending.push(table);
  }

  private readonly _pending: string[] = [];

  /** Answers the deferred calls for changes with the current tables. */
  refresh(): void {
    for (const table of this._pending.splice(0)) {
      const { version } = this.rows;
      this.handle({
        kind: 'follow-reply',
        table,
        reply: { kind: 'changes', rows: this.rows.table(table), version },
      });
    }
  }
}

const CONTENT: BatchContent = {
  queue: 'q',
  service: 'svc',
  spec: 'x',
  steps: [
    {
      count: 2,
      needs: { cpuMilli: 1600, memoryMb: 64, accelerators: 0 },
      estimateMs: 100,
      after: [],
      checkpointing: false,
    },
  ],
  attempts: 2,
  isVolatile: true,
  priority: 0,
  stretch: 1.6,
  slackMs: 60,
};

const withWorker = (rows = new Rows()): Bench => {
  rows.rows.set('|member/worker/w1', {
    value: JSON.stringify({ address: 'w1', dataCentre: 'dc' }),
    version: 1,
  });
  const bench = new Bench(rows);
  bench.pass(100);
  bench.report('w1');
  return bench;
};

const done = (task: string, run = 1, number = 1) => ({
  task,
  run,
  kind: EndKind.DONE,
  checkpoint: '',
  life: '1',
  number,
});

it('a volatile job is placed at once and answered at its end', () => {
  const bench = withWorker();
  bench.submit(1);
  expect(bench.started).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
  expect(bench.replies.get(1)).toEqual(undefined);
  bench.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  expect(bench.replies.get(1)).toEqual({
    kind: 'ended',
    state: BatchState.Completed,
  });
});

it('the runs of a job are stopped when its caller disconnects', () => {
  const bench = withWorker();
  bench.submit(1);
  bench.handle({ kind: 'caller-gone', replyId: 1 });
  expect(bench.stopped).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
});

it('a pause ends volatile jobs, since callers may have resubmitted them', () => {
  const bench = withWorker();
  bench.submit(1);
  bench.handle({ kind: 'paused', jumpMs: 4000 });
  expect(bench.replies.get(1)?.kind).toEqual('in-doubt');
  expect(bench.stopped.length).toEqual(2);
  bench.report('w1', {
    ends: [{ ...done(`${ID}.0.0.0`), kind: EndKind.STOPPED }],
  });
  expect(bench.started.length).toEqual(2);
});

it('a planned stop answers open calls before the process ends', () => {
  const bench = withWorker();
  bench.submit(1);
  bench.handle({ kind: 'stop' });
  for (let i = 0; i < 6; i += 1) {
    bench.pass(500);
    bench.report('w1');
  }
  expect(bench.kinds.includes('stopped')).toEqual(false);
  bench.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  bench.pass(200);
  expect(bench.replies.get(1)?.kind).toEqual('ended');
  expect(bench.kinds.includes('stopped')).toEqual(true);
});

it('a job that would outlast a planned stop is refused', () => {
  const bench = withWorker();
  bench.submit(2, {}, '00000000000000b2');
  bench.handle({ kind: 'stop' });
  bench.pass(4950);
  bench.submit(1);
  expect(bench.replies.get(1)).toEqual({
    kind: 'refused',
    reason: SubmitRefusal.Stopping,
    retryAfterMs: 1000,
  });
});

it('a job without capacity is refused once it is too late, and never starts', () => {
  const bench = withWorker();
  bench.report('w1', { free: { ...ROOM, cpuMilli: 0 } });
  bench.submit(1);
  for (let i = 0; i < 14; i += 1) {
    bench.pass(50);
    bench.report('w1', { free: { ...ROOM, cpuMilli: 0 } });
  }
  const reply = bench.replies.get(1);
  expect(reply?.kind === 'refused' && reply.reason).toEqual(
    SubmitRefusal.Overload,
  );
  bench.report('w1');
  expect(bench.started).toEqual([]);
});

/** @returns Kind of the reply to a caller whose job's starts are refused. */
const replyAfter = (reason: StartRefusal): string | undefined => {
  const bench = withWorker();
  bench.submit(1);
  const free = { ...ROOM, cpuMilli: 0 };
  const refused = [0, 1].map((index) => ({
    task: `${ID}.0.0.${String(index)}`,
    run: 1,
    reason,
  }));
  bench.report('w1', { refused, free });
  for (let passed = 0; passed < 2000; passed += 50) {
    bench.pass(50);
    bench.report('w1', { free });
  }
  return bench.replies.get(1)?.kind;
};

it('a job whose starts found no capacity is refused like one never sent', () => {
  expect(replyAfter(StartRefusal.NO_ROOM)).toEqual('refused');
});

it('a job whose starts may have begun is never refused', () => {
  expect(replyAfter(StartRefusal.NO_ANSWER)).toEqual(undefined);
});

it('volatile jobs are served while the store is unavailable', () => {
  const bench = withWorker();
  bench.rows.isAway = true;
  bench.pass(1000);
  bench.report('w1');
  bench.pass(1000);
  bench.report('w1');
  bench.submit(1);
  expect(bench.started.length).toEqual(2);
});

it('tasks of an unresponsive worker are restarted elsewhere', () => {
  const rows = new Rows();
  rows.rows.set('|member/worker/w2', {
    value: JSON.stringify({ address: 'w2', dataCentre: 'dc' }),
    version: 1,
  });
  const bench = withWorker(rows);
  bench.submit(1);
  bench.pass(2000);
  bench.report('w2', { snapshot: true });
  expect(bench.started.length).toEqual(2);
  bench.pass(1200);
  bench.report('w2', { snapshot: true });
  expect(bench.started.slice(2)).toEqual([`${ID}.0.0.0#2`, `${ID}.0.0.1#2`]);
});

it('a job is recorded before it is accepted and before it starts', () => {
  const bench = withWorker();
  bench.rows.isAway = true;
  bench.submit(1, { isVolatile: false });
  expect([bench.replies.get(1), bench.started.length]).toEqual([undefined, 0]);
  bench.rows.isAway = false;
  bench.pass(300);
  expect(bench.replies.get(1)).toEqual({ kind: 'accepted' });
  expect(bench.started.length).toEqual(2);
});

it('a resubmitted job is accepted once', () => {
  const rows = new Rows();
  const first = withWorker(rows);
  first.submit(1, { isVolatile: false });
  const other = new Bench(rows, 'e2', 'entry-2');
  other.pass(100);
  other.submit(2, { isVolatile: false });
  expect(other.replies.get(2)).toEqual({ kind: 'accepted' });
  expect(other.started).toEqual([]);
});

it('ends are acknowledged only once the job is recorded as ended', () => {
  const bench = withWorker();
  bench.submit(1, { isVolatile: false });
  bench.rows.isAway = true;
  bench.report('w1', {
    ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`, 1, 2)],
  });
  const recorded = (): number =>
    bench.orders.flatMap(({ order }) => order.recorded).length;
  bench.pass(300);
  expect(recorded()).toEqual(0);
  bench.rows.isAway = false;
  bench.report('w1');
  bench.pass(800);
  expect(recorded()).toEqual(2);
});

it('the next step of a job starts when the steps before it are done', () => {
  const bench = withWorker();
  const [step] = CONTENT.steps;
  const steps = step ? [step, { ...step, count: 1, after: [0] }] : [];
  bench.submit(1, { steps });
  expect(bench.started).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
  bench.report('w1', { ends: [done(`${ID}.0.0.0`), done(`${ID}.0.0.1`)] });
  expect(bench.started.slice(2)).toEqual([`${ID}.0.1.0#1`]);
});

it('a stalled run is stopped and its task starts elsewhere', () => {
  const rows = new Rows();
  rows.rows.set('|member/worker/w2', {
    value: JSON.stringify({ address: 'w2', dataCentre: 'dc' }),
    version: 1,
  });
  const bench = withWorker(rows);
  bench.submit(1);
  bench.report('w2');
  for (let passed = 0; passed < 700; passed += 50) {
    bench.pass(50);
    bench.report('w1');
    bench.report('w2');
  }
  expect(bench.stopped).toEqual([`${ID}.0.0.0#1`, `${ID}.0.0.1#1`]);
  const end = { ...done(`${ID}.0.0.0`), kind: EndKind.STOPPED };
  bench.report('w1', { ends: [end] });
  const last = bench.orders.findLast(({ order }) => order.starts.length > 0);
  expect(last?.linkId).toEqual(bench.links.get('w2'));
  expect(bench.started.at(-1)).toEqual(`${ID}.0.0.0#2`);
});

it('an end at another worker does not end the current run', () => {
  const rows = new Rows();
  const bench = withWorker(rows);
  bench.submit(1);
  const before = bench.started;
  rows.rows.set('|member/worker/w2', {
    value: JSON.stringify({ address: 'w2', dataCentre: 'dc' }),
    version: 2,
  });
  rows.version = 2;
  bench.refresh();
  bench.pass(100);
  // A run of the same job that an earlier owner started there.
  const end = { ...done(`${ID}.0.0.0`), kind: EndKind.STOPPED };
  bench.report('w2', { ends: [end] });
  expect(bench.started).toEqual(before);
  bench.report('w2', {
    refused: [{ task: `${ID}.0.0.1`, run: 1, reason: StartRefusal.STALE_RUN }],
  });
  expect(bench.started).toEqual(before);
});

it('a cancelled job stops and never starts again', () => {
  const bench = withWorker();
  bench.submit(1, { isVolatile: false });
  bench.handle({
    kind: 'cancel',
    replyId: 2,
    id: ID,
    deadlineMs: bench.now + 1000,
  });
  expect(bench.replies.get(2)).toEqual({ kind: 'cancelled' });
  expect(bench.stopped.length).toEqual(2);
});

it('a new process on the same VM takes over the jobs of its predecessor', () => {
  const rows = new Rows();
  const first = withWorker(rows);
  first.submit(1, { isVolatile: false });
  const next = new Bench(rows, 'e1b');
  next.pass(300);
  next.refresh();
  next.pass(300);
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
  next.pass(100);
  // The active run continues; the other task starts with a new run number.
  expect(next.started).toEqual([`${ID}.0.0.1#10001`]);
  const row = rows.rows.get(`${partName(partOf(ID))}|job/${ID}`);
  expect(row?.value.includes('"owner":"e1b"')).toEqual(true);
});

it('an entry whose owner row is gone retires', () => {
  const bench = withWorker();
  bench.rows.rows.delete(`${partName(partOf(ID))}|owner/e1`);
  bench.submit(1, { isVolatile: false });
  expect(bench.kinds.includes('stand-down')).toEqual(true);
  expect(bench.replies.get(1)?.kind).toEqual('in-doubt');
});
