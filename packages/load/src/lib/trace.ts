import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A job of a trace. */
export interface TraceJob {
  /** Scheduled submission time, from the start of the trace. */
  readonly atMs: number;
  /** Run time of each task. */
  readonly taskMs: readonly number[];
  readonly isUrgent: boolean;
}

/** Options of {@link generateTrace}. */
export interface TraceOptions {
  readonly seed: number;
  readonly lengthMs: number;
  /** Offered load as a share of the slots' capacity. */
  readonly load: number;
  readonly slots: number;
  readonly tasksPerJob: number;
  readonly urgentShare: number;
}

const SHORT_TASK_MS = [50, 500] as const;
const LONG_TASK_MS = [1000, 5000] as const;
const LONG_TASK_SHARE = 0.05;

const mean = ([low, high]: readonly [number, number]): number =>
  (low + high) / 2;

/** Mean run time of a task in a trace. */
export const MEAN_TASK_MS =
  (1 - LONG_TASK_SHARE) * mean(SHORT_TASK_MS) +
  LONG_TASK_SHARE * mean(LONG_TASK_MS);

/**
 * Generates a deterministic trace with Poisson arrivals and a bimodal
 * distribution of task run times.
 *
 * @param options - Load and sizes.
 * @returns Jobs in order of their submission times; equal for equal options.
 */
export const generateTrace = (options: TraceOptions): TraceJob[] => {
  const generator = xoroshiro128plus(options.seed);
  const random = (): number => uniformFloat64(generator);
  const workPerJobMs = MEAN_TASK_MS * options.tasksPerJob;
  const jobsPerMs = (options.load * options.slots) / workPerJobMs;
  const jobs: TraceJob[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random()) / jobsPerMs;
    if (atMs >= options.lengthMs) {
      return jobs;
    }
    const isUrgent = random() < options.urgentShare;
    const taskMs = Array.from({ length: options.tasksPerJob }, () =>
      drawTaskMs(random),
    );
    jobs.push({ atMs, taskMs, isUrgent });
  }
};

const drawTaskMs = (random: () => number): number => {
  const [low, high] = random() < LONG_TASK_SHARE ? LONG_TASK_MS : SHORT_TASK_MS;
  return Math.round(low + random() * (high - low));
};
