import {
  EntryCore,
  JobStep,
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

const SLOTS = 8;
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
  const bench = new CoreBench();
  bench.run(4000);
  const heapBefore = usedHeap();
  bench.addRunners(options.runners);
  bench.run(2000);
  const bytesPerRunner = (usedHeap() - heapBefore) / options.runners;
  const idleStart = performance.now();
  bench.run(IDLE_SECONDS * MS_PER_SECOND);
  const idleMs = performance.now() - idleStart;
  bench.runJobs('warm', options);
  const start = performance.now();
  bench.runJobs('run', options);
  const busyMs = performance.now() - start;
  return {
    usPerTask: (busyMs * US_PER_MS) / (options.jobs * options.tasksPerJob),
    idleUsPerSecond: (idleMs * US_PER_MS) / IDLE_SECONDS,
    bytesPerRunner,
  };
};

const usedHeap = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

/** Drives an `EntryCore` and carries out its actions in memory. */
class CoreBench {
  private readonly _store = new MemoryStore();
  private readonly _core: EntryCore;
  private readonly _runnerOfLink = new Map<string, string>();
  private readonly _queue: EntryEvent[] = [];
  private _nowMs = 1;
  private _answered = 0;
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
    this.run(MS_PER_SECOND);
    this._declare();
    this.run(MS_PER_SECOND);
  }

  addRunners(count: number): void {
    this._runnerCount = count;
    this._announce();
    this.run(MS_PER_SECOND);
  }

  run(ms: number): void {
    const untilMs = this._nowMs + ms;
    let announceAtMs = this._nowMs + MS_PER_SECOND;
    while (this._nowMs < untilMs) {
      this._nowMs += STEP_MS * 10;
      if (this._nowMs >= announceAtMs) {
        announceAtMs += 5 * MS_PER_SECOND;
        this._announce();
      }
      this._turn({ kind: 'tick' });
    }
  }

  runJobs(name: string, options: CoreCostOptions): void {
    const until = this._answered + options.jobs;
    for (let n = 0; n < options.jobs; n++) {
      const spec = jobSpec(
        `${name}-${String(n)}`,
        options.tasksPerJob,
        this._nowMs + DEADLINE_MS,
      );
      this._turn({ kind: 'submit', replyId: n + 1, spec });
    }
    while (this._answered < until) {
      this._nowMs += STEP_MS;
      this._turn({ kind: 'tick' });
    }
  }

  private _declare(): void {
    this._turn({
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

  private _announce(): void {
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

  private _turn(first: EntryEvent): void {
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
      this._carryOut(action);
    }
  }

  private _carryOut(action: EntryAction): void {
    if (action.kind === 'store') {
      const reply = this._store.apply(action.req);
      this._queue.push({ kind: 'store-reply', opId: action.opId, reply });
    } else if (action.kind === 'open-link') {
      this._runnerOfLink.set(action.linkId, action.address);
    } else if (action.kind === 'send') {
      this._answer(action);
    } else if (action.kind === 'job-step' && action.step === JobStep.Recorded) {
      this._answered += 1;
    }
  }

  private _answer({
    linkId,
    msg,
  }: Extract<EntryAction, { kind: 'send' }>): void {
    const answer = emptyRunnerMessage();
    answer.sentAtMs = this._nowMs;
    answer.endpointPresent = true;
    answer.configVersion = msg.configVersion;
    const granted = msg.open ? SLOTS : msg.starts.length;
    answer.grants = { slots: granted, connections: 0 };
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
