import type { WorkerReport } from '../lib/messages.js';
import type { RouteConfig } from '../lib/version/route-table.js';
import {
  CAPACITY,
  CONTENT,
  EntryHarness,
  FakeRows,
  helloOf,
  done,
} from './entry-harness.js';

/** A queue of the replayed load. */
export interface ReplayQueue {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly tasks: number;
  readonly runMs: number;
}

/** What became of the jobs of one queue. */
export interface QueueResult {
  offered: number;
  onTime: number;
  /** Ended within three times the objective. */
  late: number;
  /** Ended later than three times the objective. */
  useless: number;
  refused: number;
  /** Refused later than a quarter of the objective. */
  refusedLate: number;
  /** Jobs that were given up after they had begun. */
  givenUp: number;
}

const STEP_MS = 10;
const STRETCH = 1.6;
const SLACK_MS = 60;
const MS_PER_SECOND = 1000;
const USEFUL_FACTOR = 3;
const LATE_UTILITY = 0.2;
const EXTRA_WAIT_MS = 1500;
const CPU_MILLI = 1800;
const LARGE_CPU_MILLI = 24_000;

/** @returns Mean utility of the jobs. */
export const utilityOf = (results: Iterable<QueueResult>): number => {
  let utility = 0;
  let offered = 0;
  for (const result of results) {
    utility += result.onTime + LATE_UTILITY * result.late;
    offered += result.offered;
  }
  return utility / offered;
};

export const routesOf = (
  queues: readonly Pick<ReplayQueue, 'name' | 'priority'>[],
): RouteConfig => ({
  version: 1,
  maxBodyBytes: 0,
  routes: queues.map(({ name, priority }) => ({
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    service: CONTENT.service,
    priority,
    attempts: 2,
    stretch: STRETCH,
    slackMs: SLACK_MS,
    timeoutMs: 5000,
    hasAdvice: false,
  })),
});

interface ActiveRun {
  readonly task: string;
  readonly run: number;
  readonly endsAtMs: number;
}

/**
 * Replays a load on one entry whose workers run what it starts.
 *
 * @param queues - Load of each queue.
 * @param durationMs - How long jobs are submitted.
 * @param workers - Number of workers; every other one has 24 cores, the rest 16.
 * @returns Result of each queue.
 */
export const replay = (
  queues: readonly ReplayQueue[],
  durationMs: number,
  workers: number,
): Map<string, QueueResult> => {
  const rows = new FakeRows();
  const names = Array.from({ length: workers }, (_, i) => `w${String(i)}`);
  for (const name of names) {
    rows.addWorker(name);
  }
  const harness = new EntryHarness(rows);
  harness.entry.routes.apply({ kind: 'config', config: routesOf(queues) });
  harness.advance(100);
  const active = new Map<string, ActiveRun[]>();
  const reportFree = (
    name: string,
    usedMilli: number,
    fields: Partial<WorkerReport>,
  ): void => {
    const isLarge = names.indexOf(name) % 2 === 1;
    const cpuMilli = isLarge ? LARGE_CPU_MILLI : CAPACITY.cpuMilli;
    const capacity = { ...CAPACITY, cpuMilli };
    const free = { ...CAPACITY, cpuMilli: cpuMilli - usedMilli };
    harness.report(name, {
      free,
      hello: { ...helloOf(name), capacity },
      ...fields,
    });
  };
  for (const name of names) {
    active.set(name, []);
    reportFree(name, 0, { snapshot: true });
  }
  const results = new Map<string, QueueResult>();
  const submitted = new Map<
    number,
    { readonly queue: ReplayQueue; readonly atMs: number }
  >();
  /** Number of the last order that each worker has received. */
  const received = new Map<string, number>();
  const counts = new Map<string, number>();
  const beginMs = harness.now;
  for (const { name } of queues) {
    results.set(name, {
      offered: 0,
      onTime: 0,
      late: 0,
      useless: 0,
      refused: 0,
      refusedLate: 0,
      givenUp: 0,
    });
  }

  const submitDue = (queue: ReplayQueue): void => {
    const elapsedMs = Math.min(durationMs, harness.now - beginMs);
    const due = Math.floor((queue.perSecond * elapsedMs) / MS_PER_SECOND);
    for (let n = counts.get(queue.name) ?? 0; n < due; n += 1) {
      const replyId = submitted.size + 1;
      submitted.set(replyId, { queue, atMs: harness.now });
      const objectiveMs = STRETCH * queue.runMs + SLACK_MS;
      harness.handle({
        kind: 'submit',
        replyId,
        id: replyId.toString(16).padStart(16, '0'),
        content: {
          ...CONTENT,
          queue: queue.name,
          priority: queue.priority,
          stretch: STRETCH,
          slackMs: SLACK_MS,
          steps: [
            {
              count: queue.tasks,
              needs: { cpuMilli: CPU_MILLI, memoryMb: 1, accelerators: 0 },
              estimateMs: queue.runMs,
              after: [],
              checkpointing: false,
            },
          ],
        },
        deadlineMs: harness.now + USEFUL_FACTOR * objectiveMs + EXTRA_WAIT_MS,
      });
    }
    counts.set(queue.name, due);
  };

  const startOrdered = (): void => {
    for (const { linkId, order } of harness.orders.splice(0)) {
      const name = names.find((worker) => harness.links.get(worker) === linkId);
      received.set(name ?? '', order.sequence);
      const runs = active.get(name ?? '') ?? [];
      for (const { queue, runs: started } of order.starts) {
        const runMs = queues.find((q) => q.name === queue)?.runMs ?? 0;
        for (const { task, run } of started) {
          runs.push({ task, run, endsAtMs: harness.now + runMs });
        }
      }
      for (const { task } of order.stops) {
        const index = runs.findIndex((run) => run.task === task);
        if (index >= 0) {
          runs.splice(index, 1);
        }
      }
    }
  };

  const reportEnds = (name: string): void => {
    const runs = active.get(name) ?? [];
    const ended = runs.filter(({ endsAtMs }) => endsAtMs <= harness.now);
    active.set(
      name,
      runs.filter((run) => !ended.includes(run)),
    );
    const usedMilli = (runs.length - ended.length) * CPU_MILLI;
    if (ended.length > 0 || harness.now % 100 === 0) {
      reportFree(name, usedMilli, {
        sequence: received.get(name) ?? 0,
        ends: ended.map(({ task, run }) => done(task, run, 0)),
      });
    }
  };

  const countReplies = (): void => {
    for (const [replyId, reply] of harness.replies) {
      const job = submitted.get(replyId);
      const result = results.get(job?.queue.name ?? '');
      if (!job || !result) {
        continue;
      }
      harness.replies.delete(replyId);
      const tookMs = harness.now - job.atMs;
      const objectiveMs = STRETCH * job.queue.runMs + SLACK_MS;
      result.offered += 1;
      if (reply.kind === 'refused') {
        result.refused += 1;
        result.refusedLate += tookMs > objectiveMs / 4 ? 1 : 0;
      } else if (reply.kind !== 'ended') {
        result.givenUp += 1;
      } else if (tookMs <= objectiveMs) {
        result.onTime += 1;
      } else if (tookMs <= USEFUL_FACTOR * objectiveMs) {
        result.late += 1;
      } else {
        result.useless += 1;
      }
    }
  };

  while (harness.now - beginMs < durationMs + 10_000) {
    harness.now += STEP_MS;
    queues.forEach(submitDue);
    startOrdered();
    names.forEach(reportEnds);
    startOrdered();
    if (harness.now % 50 === 0) {
      harness.handle({ kind: 'tick' });
    }
    startOrdered();
    countReplies();
  }
  return results;
};
