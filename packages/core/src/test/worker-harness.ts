import { EndKind, StartRefusal } from '../lib/messages.js';
import type { WorkerOrder, WorkerReport } from '../lib/messages.js';
import { DEFAULT_RUN_LIMITS } from '../lib/process/run-limits.js';
import type { RunLimits } from '../lib/process/run-limits.js';
import { WorkerDriver } from '../lib/process/worker-driver.js';
import type {
  ListedEnd,
  ListedRun,
  WorkerAction,
  WorkerCall,
  WorkerEvent,
  WorkerHeartbeat,
  WorkerReply,
} from '../lib/process/worker-events.js';

export const BORN_MS = 1_000_000;
export const NEEDS = { cpuMilli: 1600, memoryMb: 64, accelerators: 0 };

const order = (fields: Partial<WorkerOrder>): WorkerOrder => ({
  entry: 'entry-a',
  incarnation: 'a1',
  holdUntilMs: 0,
  adopt: [],
  starts: [],
  stops: [],
  recorded: [],
  claims: [],
  sequence: 1,
  operatorVersion: 0,
  out: false,
  life: '',
  linkNumber: 0,
  operatorAgeMs: 0,
  ...fields,
});

export const starts = (...names: string[]): WorkerOrder['starts'] => [
  {
    spec: 'x',
    needs: NEEDS,
    queue: 'q',
    volatile: true,
    priority: 0,
    maxWaitMs: 0,
    runs: names.map((task) => ({ task, run: 1, checkpoint: '' })),
  },
];

/** A driver whose links and worker are simulated by the test. */
export class DriverHarness {
  now = 10_000;
  clock = 5_000;
  bornMs = BORN_MS;
  active: ListedRun[] = [];
  ends: ListedEnd[] = [];
  readonly reports: WorkerReport[] = [];
  /** Reports by the link on which they were sent. */
  readonly reportsByLink = new Map<number, WorkerReport[]>();
  readonly polls: Extract<WorkerCall, { kind: 'hold' }>[] = [];
  /** Data centres whose state the driver has had read. */
  readonly reads: string[] = [];
  /** Links that the driver has closed. */
  readonly closedLinks: number[] = [];
  isStopped = false;
  readonly logs: Extract<WorkerAction, { kind: 'log' }>[] = [];
  /** Ids of the heartbeats that the driver has confirmed. */
  readonly confirmed: string[] = [];
  readonly calls: { callId: number; call: WorkerCall }[] = [];
  readonly driver: WorkerDriver;

  /** @param limits - Time limits of runs. */
  constructor(readonly limits = DEFAULT_RUN_LIMITS) {
    this.driver = new WorkerDriver({
      name: 'vm',
      incarnation: 'w1',
      token: 7,
      limits,
    });
  }

  announce(accepting = true): void {
    this.heartbeat({ accepting });
    this.answerPoll();
  }

  heartbeat(fields: Partial<WorkerHeartbeat> = {}): void {
    this.handle({
      kind: 'announce',
      worker: {
        id: 'i-1',
        bornMs: this.bornMs,
        sequence: this.now,
        service: 'svc',
        dataCentre: 'dc',
        accepting: true,
        capacity: { cpuMilli: 4000, memoryMb: 1000, accelerators: 0 },
        labels: [],
        ...fields,
      },
    });
    this.handle({ kind: 'flush' });
  }

  openLink(linkId = 1, incarnation = 'a1'): void {
    this.handle({ kind: 'link-open', linkId });
    const holdUntilMs = this.clock + this.limits.grantMs;
    this.order({ incarnation, holdUntilMs }, linkId);
  }

  order(fields: Partial<WorkerOrder>, linkId = 1): void {
    this.read(fields, linkId);
    this.handle({ kind: 'flush' });
  }

  /** Handles an order whose turn goes on. */
  read(fields: Partial<WorkerOrder>, linkId = 1): void {
    this.handle({ kind: 'order', linkId, order: order(fields) });
  }

  advance(ms: number): void {
    this.now += ms;
    this.clock += ms;
    this.handle({ kind: 'tick' });
    this.handle({ kind: 'flush' });
  }

  takeCall(kind: WorkerCall['kind']): { callId: number; call: WorkerCall } {
    const at = this.calls.findIndex((issued) => issued.call.kind === kind);
    const [issued] = this.calls.splice(at, at < 0 ? 0 : 1);
    if (!issued) {
      throw new Error(`no ${kind} call is pending`);
    }
    return issued;
  }

  count(kind: WorkerCall['kind']): number {
    return this.calls.filter((issued) => issued.call.kind === kind).length;
  }

  answer(kind: WorkerCall['kind'], reply?: WorkerReply): void {
    const { callId } = this.takeCall(kind);
    const done: WorkerReply = { kind: 'done', clockMs: this.clock };
    this.handle({ kind: 'reply', callId, reply: reply ?? done });
    this.handle({ kind: 'flush' });
  }

  /** Replaces the worker by a new incarnation, whose clock starts anew. */
  restartWorker(): void {
    this.answer('hold', { kind: 'unreachable' });
    this.bornMs += 1000;
    this.clock = 1;
    this.active = [];
    this.heartbeat({ id: 'i-2' });
    this.advance(10);
    this.answerPoll();
  }

  answerPoll(): void {
    this.answer('hold', {
      kind: 'held',
      clockMs: this.clock,
      bornMs: this.bornMs,
      active: this.active,
      ends: this.ends,
    });
  }

  handle(event: WorkerEvent): void {
    for (const action of this.driver.handle(event, this.now)) {
      this._collect(action);
    }
  }

  private _collect(action: WorkerAction): void {
    switch (action.kind) {
      case 'call':
        this.calls.push(action);
        if (action.call.kind === 'hold') {
          this.polls.push(action.call);
        }
        return;
      case 'report':
        this.reports.push(action.report);
        this.reportsByLink.set(action.linkId, [
          ...(this.reportsByLink.get(action.linkId) ?? []),
          action.report,
        ]);
        return;
      case 'close-link':
        this.closedLinks.push(action.linkId);
        return;
      case 'confirmed':
        this.confirmed.push(action.worker.id);
        return;
      case 'log':
        this.logs.push(action);
        return;
      case 'read-data-centre':
        this.reads.push(action.dataCentre);
        return;
      case 'stopped':
        this.isStopped = true;
    }
  }
}

/** Returns a driver with an announced worker and a link to one entry. */
export const ready = (limits?: RunLimits): DriverHarness => {
  const harness = new DriverHarness(limits);
  harness.announce();
  harness.openLink();
  harness.advance(10);
  return harness;
};

export const refusals = (harness: DriverHarness): StartRefusal[] =>
  harness.reports.flatMap((report) => report.refused.map((r) => r.reason));

export const endKinds = (harness: DriverHarness): EndKind[] =>
  harness.reports.flatMap((report) => report.ends.map((end) => end.kind));

/** Runs named in the reported crashes of the worker, once for each report. */
export const crashedRuns = (harness: DriverHarness): string[] =>
  harness.reports.flatMap((report) =>
    report.crashes.flatMap(({ life, runs }) =>
      runs.map(({ task, run }) => `${task}#${String(run)} in ${life}`),
    ),
  );
