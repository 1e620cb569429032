import type { StartRecord } from '../platform/fleet-worker.js';
import type { JobRecord, Violation } from './job-record.js';

const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;
/** `attempts` of the queues. */
const ATTEMPTS = 3;

/**
 * Worker crashes under a task after which it may be given up as their cause
 * (see BUDGET in docs/PROMISES.md).
 */
const MAX_CRASHES = 2;

type Report = (promise: string, detail: string) => void;

/**
 * Checks what workers and callers have seen against the promises on jobs.
 *
 * @param starts - All starts, including those on workers that have crashed.
 * @param jobs - All jobs that were submitted, by id.
 * @returns The broken promises.
 */
export const checkJobs = (
  starts: readonly StartRecord[],
  jobs: ReadonlyMap<string, JobRecord>,
): Violation[] => {
  const violations: Violation[] = [];
  const startsOfTasks = new Map<string, StartRecord[]>();
  for (const start of [...starts].sort(
    (a, b) => a.startedAtMs - b.startedAtMs,
  )) {
    const { task } = start;
    startsOfTasks.set(task, [...(startsOfTasks.get(task) ?? []), start]);
    const [id = ''] = task.split('.');
    if (!jobs.has(id)) {
      const promise = 'only submitted jobs start';
      violations.push({ promise, job: id, detail: describe(start) });
    }
  }
  for (const job of jobs.values()) {
    const report: Report = (promise, detail) => {
      violations.push({ promise, job: job.id, detail });
    };
    const steps = job.taskCounts.map((count, step) =>
      Array.from(
        { length: count },
        (_, i) =>
          startsOfTasks.get(`${job.id}.0.${String(step)}.${String(i)}`) ?? [],
      ),
    );
    checkJob(job, steps, report);
  }
  return violations;
};

const checkJob = (
  job: JobRecord,
  steps: readonly StartRecord[][][],
  report: Report,
): void => {
  const tasks = steps.flat();
  for (const runs of tasks) {
    checkTask(job, runs, report);
  }
  const isRejected = job.attempts.every(
    ({ status }) => status === HTTP_UNAVAILABLE || status === HTTP_TOO_MANY,
  );
  const first = tasks.flat()[0];
  if (isRejected && first) {
    report('a rejected job never starts', describe(first));
  }
  const [attempt] = job.attempts;
  const early = tasks.flat().find((run) => {
    return attempt && run.startedAtMs < attempt.endedAtMs;
  });
  if (attempt?.isCutByStop && early) {
    report(
      'a planned stop answers each call that it has read',
      describe(early),
    );
  }
  switch (job.finalState) {
    case 'completed':
      for (const runs of tasks) {
        const isDone = runs.some(
          (run) => run.endKind === 'done' && run.endedAtMs <= job.endedAtMs,
        );
        if (!isDone) {
          const detail = runs.map(describe).join('; ') || 'a task has no run';
          report('all tasks of a completed job have ended done', detail);
        }
      }
      break;
    case 'failed':
      if (!tasks.some(mayHaveFailed)) {
        const detail = tasks.flat().map(describe).join('; ');
        report('a failed job has used up its attempts', detail);
      }
      break;
    default:
      break;
  }
  if (!job.isVolatile) {
    checkOrder(steps, report);
  }
};

const checkTask = (
  { isVolatile }: JobRecord,
  runs: readonly StartRecord[],
  report: Report,
): void => {
  runs.forEach((earlier, i) => {
    for (const later of runs.slice(i + 1)) {
      const detail = `${describe(earlier)}; ${describe(later)}`;
      if (later.startedAtMs < earlier.endedAtMs) {
        report('a task never runs twice at the same time', detail);
      } else if (
        !isVolatile &&
        earlier.endKind === 'done' &&
        earlier.isAcknowledged
      ) {
        report('no start after an acknowledged end', detail);
      }
    }
    const failed = countFailed(runs.slice(0, i));
    if (!isVolatile && failed >= ATTEMPTS) {
      report('no start after the last attempt', describe(earlier));
    }
  });
};

const checkOrder = (
  steps: readonly StartRecord[][][],
  report: Report,
): void => {
  steps.slice(1).forEach((tasks, i) => {
    const doneAtMs = (steps[i] ?? []).map((runs) =>
      Math.min(
        ...runs.filter((r) => r.endKind === 'done').map((r) => r.endedAtMs),
      ),
    );
    const early = tasks
      .flat()
      .find((run) => run.startedAtMs < Math.max(...doneAtMs));
    if (early) {
      report('a step starts after the one before it', describe(early));
    }
  });
};

const countEnds = (runs: readonly StartRecord[], endKind: string): number =>
  runs.filter((run) => run.endKind === endKind).length;

const countFailed = (runs: readonly StartRecord[]): number =>
  countEnds(runs, 'failed');

const mayHaveFailed = (runs: readonly StartRecord[]): boolean =>
  countFailed(runs) >= ATTEMPTS || countEnds(runs, 'crashed') >= MAX_CRASHES;

const describe = (start: StartRecord): string => {
  const { task, run, startedAtMs, endedAtMs, endKind } = start;
  return `${task} run ${String(run)} from ${String(startedAtMs)} to ${String(endedAtMs)} ${endKind}`;
};
