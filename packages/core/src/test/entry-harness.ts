import { EndKind } from '../lib/messages.js';
import type { WorkerOrder, WorkerReport } from '../lib/messages.js';
import { BatchEntry } from '../lib/process/batch-entry.js';
import type { BatchEntryOptions } from '../lib/process/batch-entry.js';
import type {
  BatchAction,
  BatchEvent,
  BatchReply,
} from '../lib/process/batch-events.js';
import type { BatchContent } from '../lib/request/batch-job.js';
import type { StoreReply, StoreRequest, Write } from '../lib/store.js';

export const CAPACITY = { cpuMilli: 16_000, memoryMb: 65_536, accelerators: 0 };
export const ID = '00000000000000a1';

export const helloOf = (worker: string) => ({
  worker,
  incarnation: 'w',
  dataCentre: 'dc',
  service: 'svc',
  life: '1',
  labels: [],
  capacity: CAPACITY,
});

/** A report of an idle worker, with other values of some fields. */
export const reportOf = (fields: Partial<WorkerReport>): WorkerReport => ({
  clockMs: 0,
  accepting: true,
  free: CAPACITY,
  ends: [],
  refused: [],
  // Higher than the number of any order, so that `free` covers all starts.
  sequence: 1000,
  active: [],
  snapshot: false,
  adopted: [],
  fenced: false,
  crashes: [],
  unconfirmed: [],
  mayActLate: false,
  ...fields,
});

/** In-memory store with rows by part and key. */
export class FakeRows {
  isUnavailable = false;
  /** Whether the store rejects a transaction for good. */
  rejects: (writes: readonly Write[]) => boolean = () => false;
  version = 1;
  readonly rows = new Map<string, { value: string; version: number }>();

  answer(part: string, req: StoreRequest): StoreReply {
    if (this.isUnavailable) {
      return { kind: 'refused' };
    }
    const at = (key: string): string => `${part}|${key}`;
    switch (req.kind) {
      case 'transact': {
        if (this.rejects(req.writes)) {
          return { kind: 'rejected' };
        }
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

  /** Adds the row through which entries discover a worker. */
  addWorker(name: string, version = 1, address = name): void {
    const value = JSON.stringify({ address, dataCentre: 'dc' });
    this.rows.set(`|member/worker/${name}`, { value, version });
  }

  table(table: string): { key: string; value: string; version: number }[] {
    const prefix = `|${table}/`;
    return [...this.rows]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, row]) => ({ key: key.slice(prefix.length), ...row }));
  }
}

type LinkAction = Extract<
  BatchAction,
  { kind: 'open-link' | 'close-link' | 'order' }
>;

/** Runs one entry over a fake store; the test sends the workers' reports. */
export class EntryHarness {
  now = 1000;
  readonly orders: { linkId: number; order: WorkerOrder }[] = [];
  readonly replies = new Map<number, BatchReply>();
  readonly links = new Map<string, number>();
  readonly actionKinds: string[] = [];
  /** Actions that concern links, in order. */
  readonly linkActions: LinkAction[] = [];
  readonly entry: BatchEntry;
  /** Whether the store carries calls out without answering them. */
  losesStoreReplies = false;
  private _reports = 0;

  constructor(
    readonly rows: FakeRows,
    incarnation = 'e1',
    name = 'entry-1',
    options: Partial<BatchEntryOptions> = {},
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
        ...options,
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

  advance(ms: number): void {
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
        ...reportOf({ clockMs: this.now }),
        // The first reports, one per link, are snapshots.
        snapshot: this._reports <= this.links.size,
        hello: helloOf(worker),
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

  /** Numbers of the ends that the workers need not list any more. */
  get acknowledged(): number[] {
    return this.orders.flatMap(({ order }) =>
      order.recorded.map(({ number }) => number),
    );
  }

  get stopped(): string[] {
    return this.orders.flatMap(({ order }) =>
      order.stops.map((run) => `${run.task}#${String(run.run)}`),
    );
  }

  private _run(action: BatchAction): BatchEvent | undefined {
    this.actionKinds.push(action.kind);
    switch (action.kind) {
      case 'reply':
        this.replies.set(action.replyId, action.reply);
        return undefined;
      case 'store': {
        const { opId, part, req } = action;
        const reply = this.rows.answer(part, req);
        return this.losesStoreReplies
          ? undefined
          : { kind: 'store-reply', opId, reply };
      }
      case 'follow': {
        const { req } = action;
        if (this.rows.isUnavailable) {
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
          this._deferChanges(req.table);
          return undefined;
        }
        return { kind: 'follow-reply', table: req.table, reply };
      }
      case 'order':
        this.orders.push(action);
        this.linkActions.push(action);
        return undefined;
      case 'open-link':
        this.linkActions.push(action);
        this.links.set(action.address, action.linkId);
        return undefined;
      case 'close-link':
        this.linkActions.push(action);
        return undefined;
      case 'log':
      case 'probe':
      case 'note-late-starts':
      case 'forward-cancel':
      case 'poll-again':
      case 'retire':
      case 'stopped':
        return undefined;
    }
  }

  /** Defers the reply to a call for changes until {@link answerChanges}. */
  private _deferChanges(table: string): void {
    this._deferredTables.push(table);
  }

  private readonly _deferredTables: string[] = [];

  /** Answers the deferred calls for changes with the current tables. */
  answerChanges(): void {
    for (const table of this._deferredTables.splice(0)) {
      const { version } = this.rows;
      this.handle({
        kind: 'follow-reply',
        table,
        reply: { kind: 'changes', rows: this.rows.table(table), version },
      });
    }
  }
}

export const CONTENT: BatchContent = {
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

export const withWorker = (rows = new FakeRows()): EntryHarness => {
  rows.addWorker('w1');
  const harness = new EntryHarness(rows);
  harness.advance(100);
  harness.report('w1');
  return harness;
};

/** Returns an entry with links to two workers, whose reports the test sends. */
export const withTwoWorkers = (rows = new FakeRows()): EntryHarness => {
  rows.addWorker('w2');
  return withWorker(rows);
};

export const done = (task: string, run = 1, number = 1) => ({
  task,
  run,
  kind: EndKind.DONE,
  checkpoint: '',
  life: '1',
  number,
});

/** Starts the next process on the VM of an entry, which takes over its jobs. */
export const nextOwner = (
  rows: FakeRows,
  incarnation = 'e1b',
): EntryHarness => {
  const next = new EntryHarness(rows, incarnation);
  next.advance(300);
  next.answerChanges();
  next.advance(300);
  return next;
};
