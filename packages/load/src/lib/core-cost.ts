import {
  EntryCore,
  JobLogStep,
  PriorityClass,
  RunState,
  emptyRunnerMessage,
} from '@sapphiremux/core';
import type { EntryAction, EntryEvent, JobSpec } from '@sapphiremux/core';
import { MemoryStore } from '@sapphiremux/standins';

/** Options of {@link measureCoreCost}. */
export interface CoreCostOptions {
  readonly runners: number;
  readonly tasksPerJob: number;
  /** Number of measured jobs; as many run before them as a warm-up. */
  readonly jobs: number;
}

/** Cost of an entry's decisions. */
export interface CoreCost {
  /** Time per task, in microseconds. */
  readonly usPerTask: number;
  /** Time per simulated second without jobs, in microseconds. */
  readonly idleUsPerSecond: number;
  /** Heap per connected runner, in bytes. */
  readonly bytesPerRunner: number;
}

const SLOTS_PER_RUNNER = 8;
/** Step of the simulated clock while jobs run; ten times as long otherwise. */
const STEP_MS = 5;
const IDLE_SECONDS = 20;
const MS_PER_SECOND = 1000;
const US_PER_MS = 1000;
const HTTP_OK = 200;
const BODY = Buffer.from('{}');
const DEADLINE_MS = 600_000;

/**
 * Measures the cost of an entry's decision code alone: runs `EntryCore` on a
 * simulated clock with an in-memory store and runners that answer immediately,
 * without sockets.
 *
 * @param options - Numbers of runners, jobs and tasks.
 * @returns Time and memory.
 */
export const measureCoreCost = (options: CoreCostOptions): CoreCost => {
  const harness = new CoreHarness();
  harness.advance(4000);
  const heapBefore = usedHeap();
  harness.addRunners(options.runners);
  harness.advance(2000);
  const bytesPerRunner = (usedHeap() - heapBefore) / options.runners;
  const idleStart = performance.now();
  harness.advance(IDLE_SECONDS * MS_PER_SECOND);
  const idleMs = performance.now() - idleStart;
  harness.runJobs('warm', options);
  const start = performance.now();
  harness.runJobs('run', options);
  const busyMs = performance.now() - start;
  return {
    usPerTask: (busyMs * US_PER_MS) / (options.jobs * options.tasksPerJob),
    idleUsPerSecond: (idleMs * US_PER_MS) / IDLE_SECONDS,
    bytesPerRunner,
  };
};

/** Collects garbage first, if node runs with `--expose-gc`. */
const usedHeap = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

/** Drives an `EntryCore` and carries out its actions in memory. */
class CoreHarness {
  private readonly _store = new MemoryStore();
  private readonly _core: EntryCore;
  private readonly _runnerOfLink = new Map<string, string>();
  private readonly _queue: EntryEvent[] = [];
  private _nowMs = 1;
  private _recordedJobs = 0;
  private _runnerCount = 0;

  constructor() {
    const options = {
      id: 'entry-1',
      incarnation: 'entry-1.1',
      address: 'entry-1',
      dataCentre: 'north',
      random: () => 0.5,
      writesPerSecond: 100_000,
    };
    this._core = new EntryCore(options, this._nowMs);
    this.advance(MS_PER_SECOND);
    this._declareSubjects();
    this.advance(MS_PER_SECOND);
  }

  addRunners(count: number): void {
    this._runnerCount = count;
    this._announceRunners();
    this.advance(MS_PER_SECOND);
  }

  /**
   * Advances the simulated clock; announces the runners after 1 s and then every
   * 5 s.
   */
  advance(ms: number): void {
    const untilMs = this._nowMs + ms;
    let announceAtMs = this._nowMs + MS_PER_SECOND;
    while (this._nowMs < untilMs) {
      this._nowMs += STEP_MS * 10;
      if (this._nowMs >= announceAtMs) {
        announceAtMs += 5 * MS_PER_SECOND;
        this._announceRunners();
      }
      this._process({ kind: 'tick' });
    }
  }

  runJobs(name: string, options: CoreCostOptions): void {
    const targetCount = this._recordedJobs + options.jobs;
    for (let n = 0; n < options.jobs; n++) {
      const spec = jobSpec(
        `${name}-${String(n)}`,
        options.tasksPerJob,
        this._nowMs + DEADLINE_MS,
      );
      this._process({ kind: 'submit', replyId: n + 1, spec });
    }
    while (this._recordedJobs < targetCount) {
      this._nowMs += STEP_MS;
      this._process({ kind: 'tick' });
    }
  }

  private _declareSubjects(): void {
    this._process({
      kind: 'apply-ticket',
      replyId: 1_000_000,
      proposal: {
        author: 'bench',
        reason: 'bench',
        changes: [
          {
            subject: 'data-centre/north',
            setting: { kind: 'data-centre', inService: true },
          },
          {
            subject: 'endpoint/levy',
            setting: {
              kind: 'endpoint',
              inService: true,
              dataCentres: ['north'],
            },
          },
          {
            subject: 'desk/bench',
            setting: { kind: 'desk', ratePerSecond: 1e9, burst: 1e9 },
          },
        ],
      },
    });
  }

  private _announceRunners(): void {
    for (let n = 0; n < this._runnerCount; n++) {
      const runner = `runner-${String(n)}`;
      const req = {
        runner,
        incarnation: '1',
        address: runner,
        dataCentre: 'north',
        endpoint: 'levy',
      };
      this._queue.push({ kind: 'announce', req });
    }
  }

  private _process(first: EntryEvent): void {
    this._queue.push(first);
    while (this._queue.length > 0) {
      const events = this._queue.splice(0);
      for (const event of events) {
        this._handle(event);
      }
      this._handle({ kind: 'flush' });
    }
  }

  private _handle(event: EntryEvent): void {
    for (const action of this._core.handle(event, this._nowMs)) {
      this._execute(action);
    }
  }

  private _execute(action: EntryAction): void {
    if (action.kind === 'store') {
      const reply = this._store.apply(action.req);
      this._queue.push({ kind: 'store-reply', opId: action.opId, reply });
    } else if (action.kind === 'open-link') {
      this._runnerOfLink.set(action.linkId, action.address);
    } else if (action.kind === 'send') {
      this._replyTo(action);
    } else if (
      action.kind === 'job-step' &&
      action.step === JobLogStep.Recorded
    ) {
      this._recordedJobs += 1;
    }
  }

  private _replyTo({
    linkId,
    msg,
  }: Extract<EntryAction, { kind: 'send' }>): void {
    const answer = emptyRunnerMessage();
    answer.sentAtMs = this._nowMs;
    answer.endpointPresent = true;
    answer.configVersion = msg.configVersion;
    const grantedSlots = msg.open ? SLOTS_PER_RUNNER : msg.starts.length;
    answer.grants = { slots: grantedSlots, connections: 0 };
    if (msg.open) {
      answer.hello = {
        runner: this._runnerOfLink.get(linkId) ?? '',
        incarnation: '1',
        dataCentre: 'north',
        rack: '',
        endpoint: 'levy',
      };
    }
    for (const { job, index } of msg.starts) {
      answer.results.push({
        job,
        index,
        state: RunState.RAN,
        status: HTTP_OK,
        body: BODY,
        contentType: 'application/json',
        runMs: 0,
        detail: '',
      });
    }
    this._queue.push({ kind: 'link-message', linkId, msg: answer });
  }
}

const jobSpec = (id: string, count: number, deadlineMs: number): JobSpec => ({
  id,
  desk: 'bench',
  priority: PriorityClass.Routine,
  deadlineMs,
  dataCentres: [],
  digest: id,
  tasks: Array.from({ length: count }, () => ({
    endpoint: 'levy',
    payload: '{"ms":0}',
  })),
});
