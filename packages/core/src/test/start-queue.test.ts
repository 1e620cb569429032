import { expect } from 'earl';
import { subtractRoom, addRoom } from '../lib/request/room.js';
import { StartQueue } from '../lib/scheduling/start-queue.js';
import type { WaitingStart } from '../lib/scheduling/start-queue.js';

interface NamedStart extends WaitingStart {
  readonly name: string;
}

const cpu = (cpuMilli: number) => ({ cpuMilli, memoryMb: 0, accelerators: 0 });
const TOTAL = cpu(16_000);

const start = (
  name: string,
  priority: number,
  fields: Partial<WaitingStart> = {},
): NamedStart => ({
  name,
  priority,
  needs: cpu(1800),
  maxWaitMs: 60,
  ...fields,
});

const offer = (
  queue: StartQueue<NamedStart>,
  offered: NamedStart,
  freeMilli = 0,
  now = 0,
) => queue.offer(offered, { free: cpu(freeMilli), total: TOTAL }, now);

const names = (starts: readonly NamedStart[]): string[] =>
  starts.map(({ name }) => name);

const takeAll = (queue: StartQueue<NamedStart>): string[] =>
  names(queue.take(() => true));

it('a start that fits begins, one that may not wait is refused', () => {
  const queue = new StartQueue<NamedStart>();
  const impatient = start('a', 0, { maxWaitMs: 0 });
  expect(offer(queue, impatient, 1800).kind).toEqual('begin');
  expect(offer(queue, impatient, 1799).kind).toEqual('refused');
  expect(queue.size).toEqual(0);
});

it('queued starts are ordered by priority, then by arrival', () => {
  const queue = new StartQueue<NamedStart>();
  for (const [name, priority] of [
    ['c', 2],
    ['a', 0],
    ['b', 1],
    ['a2', 0],
  ] as const) {
    offer(queue, start(name, priority, { needs: cpu(1000) }));
  }
  expect(takeAll(queue)).toEqual(['a', 'a2', 'b', 'c']);
});

it('queued starts need at most a quarter of the CPU capacity', () => {
  const queue = new StartQueue<NamedStart>();
  offer(queue, start('a', 1));
  offer(queue, start('b', 1));
  expect(offer(queue, start('c', 1)).kind).toEqual('refused');
  expect(offer(queue, start('d', 2)).kind).toEqual('refused');
  expect(queue.needs).toEqual(cpu(3600));
});

it('a full queue displaces starts of a lower priority, the last first', () => {
  const queue = new StartQueue<NamedStart>();
  offer(queue, start('a', 1));
  offer(queue, start('b', 2));
  const decision = offer(queue, start('c', 0));
  expect(decision.kind === 'queued' && names(decision.displaced)).toEqual([
    'b',
  ]);
  expect(takeAll(queue)).toEqual(['c', 'a']);
});

it('a start that can never fit is refused although it may wait', () => {
  const queue = new StartQueue<NamedStart>();
  const needs = { ...cpu(100), memoryMb: 1 };
  expect(offer(queue, start('a', 0, { needs })).kind).toEqual('refused');
});

it('a new start does not overtake queued starts of a higher priority', () => {
  const queue = new StartQueue<NamedStart>();
  offer(queue, start('a', 1));
  const small = { needs: cpu(100) };
  expect(offer(queue, start('b', 2, small), 1000).kind).toEqual('queued');
  expect(offer(queue, start('c', 1, small), 1000).kind).toEqual('begin');
  expect(offer(queue, start('d', 0, small), 1000).kind).toEqual('begin');
});

it('the first start of the highest priority that fits begins next', () => {
  const queue = new StartQueue<NamedStart>();
  offer(queue, start('a', 0));
  offer(queue, start('b', 0, { needs: cpu(1000) }));
  offer(queue, start('c', 1, { needs: cpu(100) }));
  expect(queue.takeNext(cpu(999))?.name).toEqual(undefined);
  expect(queue.takeNext(cpu(1000))?.name).toEqual('b');
  expect(queue.takeNext(cpu(1800))?.name).toEqual('a');
  expect(queue.takeNext(cpu(100))?.name).toEqual('c');
});

it('a start leaves the queue when its wait, at most 60 ms, ends', () => {
  const queue = new StartQueue<NamedStart>();
  offer(queue, start('a', 0, { maxWaitMs: 5000 }), 0, 100);
  offer(queue, start('b', 0, { maxWaitMs: 20 }), 0, 100);
  expect(queue.nextExpiryMs).toEqual(120);
  expect(names(queue.takeExpired(119))).toEqual([]);
  expect(names(queue.takeExpired(120))).toEqual(['b']);
  expect(names(queue.takeExpired(160))).toEqual(['a']);
  expect(queue.nextExpiryMs).toEqual(undefined);
});

const ENTRIES = 6;
const VIEW_AGE_MS = 8;
const RUN_MS = 90;
const DURATION_MS = 6000;
/** Time between two tasks of an entry; they use 90% of the worker. */
const SUBMIT_INTERVAL_MS = 75;

interface Task extends WaitingStart {
  readonly entry: number;
  readonly submittedAtMs: number;
}

/**
 * Replays entries that share one worker. Each orders one start at a time, by a
 * view of the free capacity that is `VIEW_AGE_MS` old; so does the refusal of a
 * start take to arrive. Every other entry submits tasks of priority 0, the others
 * of priority 2.
 */
class Replay {
  refused = 0;
  /** Times from submission to start, by priority. */
  readonly delaysMs = new Map<number, number[]>();
  private readonly _queue = new StartQueue<Task>();
  private readonly _inFlight = new Map<number, (() => void)[]>();
  private readonly _freeMilli: number[] = [];
  private _free = TOTAL;
  private _now = 0;

  constructor(maxWaitMs: number) {
    const backlogs = Array.from({ length: ENTRIES }, (): Task[] => []);
    for (; this._now < DURATION_MS; this._now += 1) {
      this._step(backlogs, maxWaitMs);
    }
  }

  meanDelayMs(priority: number): number {
    const delays = this.delaysMs.get(priority) ?? [];
    return delays.reduce((a, b) => a + b, 0) / delays.length;
  }

  private _step(backlogs: Task[][], maxWaitMs: number): void {
    const now = this._now;
    this._inFlight.get(now)?.forEach((arrive) => {
      arrive();
    });
    const refuse = (task: Task): void => {
      this.refused += 1;
      this._after(VIEW_AGE_MS, () => backlogs[task.entry]?.unshift(task));
    };
    this._queue.takeExpired(now).forEach(refuse);
    let next = this._queue.takeNext(this._free);
    while (next) {
      this._begin(next);
      next = this._queue.takeNext(this._free);
    }
    this._freeMilli.push(this._free.cpuMilli - this._queue.needs.cpuMilli);
    const seenMilli = this._freeMilli[now - VIEW_AGE_MS] ?? TOTAL.cpuMilli;
    for (const [entry, backlog] of backlogs.entries()) {
      if (now % SUBMIT_INTERVAL_MS === entry) {
        const priority = entry % 2 === 0 ? 0 : 2;
        const needs = cpu(1800);
        const submittedAtMs = now;
        backlog.push({ entry, submittedAtMs, priority, needs, maxWaitMs });
      }
      const task = seenMilli >= 1800 ? backlog.shift() : undefined;
      if (task) {
        this._offer(task, refuse);
      }
    }
  }

  private _offer(task: Task, refuse: (task: Task) => void): void {
    const room = { free: this._free, total: TOTAL };
    const decision = this._queue.offer(task, room, this._now);
    switch (decision.kind) {
      case 'begin':
        this._begin(task);
        return;
      case 'queued':
        decision.displaced.forEach(refuse);
        return;
      case 'refused':
        refuse(task);
    }
  }

  private _begin(task: Task): void {
    this._free = subtractRoom(this._free, task.needs);
    const delays = this.delaysMs.get(task.priority) ?? [];
    delays.push(this._now - task.submittedAtMs);
    this.delaysMs.set(task.priority, delays);
    this._after(RUN_MS, () => {
      this._free = addRoom(this._free, task.needs);
    });
  }

  private _after(ms: number, arrive: () => void): void {
    const atMs = this._now + ms;
    this._inFlight.set(atMs, [...(this._inFlight.get(atMs) ?? []), arrive]);
  }
}

it('a wait halves the refusals to entries that share a worker', () => {
  const without = new Replay(0);
  const waiting = new Replay(60);
  expect(waiting.refused < without.refused / 2).toEqual(true);
});

it('of starts that wait at a shared worker, a higher priority goes first', () => {
  const without = new Replay(0);
  const waiting = new Replay(60);
  expect(without.meanDelayMs(0) > 0.9 * without.meanDelayMs(2)).toEqual(true);
  expect(waiting.meanDelayMs(0) < 0.5 * waiting.meanDelayMs(2)).toEqual(true);
  expect(waiting.meanDelayMs(0) < 0.5 * without.meanDelayMs(0)).toEqual(true);
});
