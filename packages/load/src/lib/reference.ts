import type { TraceJob } from './trace.js';

/**
 * Simulates a trace under an ideal scheduler: one central queue for all slots,
 * urgent tasks first, first come first served within each class, with exact
 * state and no network or store delays.
 *
 * @param trace - Jobs in order of their submission times.
 * @param slots - Number of slots.
 * @returns Response time of each job, in the order of the trace.
 */
export const referenceResponses = (
  trace: readonly TraceJob[],
  slots: number,
): number[] => {
  const freeAtMs = new Array<number>(slots).fill(0);
  const endMs = new Array<number>(trace.length).fill(0);
  const urgent: [number, number][] = [];
  const routine: [number, number][] = [];
  let next = 0;
  let nowMs = 0;
  const enqueueArrivals = (untilMs: number): void => {
    for (let job = trace[next]; job && job.atMs <= untilMs; job = trace[next]) {
      const classQueue = job.isUrgent ? urgent : routine;
      for (const taskMs of job.taskMs) {
        classQueue.push([next, taskMs]);
      }
      next += 1;
    }
  };
  for (;;) {
    const slot = indexOfMinimum(freeAtMs);
    // The earliest free slot may be free before the current time.
    nowMs = Math.max(nowMs, freeAtMs[slot] ?? 0);
    enqueueArrivals(nowMs);
    const nextArrival = trace[next];
    if (urgent.length + routine.length === 0) {
      if (!nextArrival) {
        break;
      }
      nowMs = nextArrival.atMs;
      enqueueArrivals(nowMs);
    }
    const [job, taskMs] = urgent.shift() ?? routine.shift() ?? [0, 0];
    freeAtMs[slot] = nowMs + taskMs;
    endMs[job] = Math.max(endMs[job] ?? 0, nowMs + taskMs);
  }
  return trace.map((job, index) => (endMs[index] ?? 0) - job.atMs);
};

const indexOfMinimum = (values: readonly number[]): number => {
  let best = 0;
  for (let i = 1; i < values.length; i++) {
    if ((values[i] ?? 0) < (values[best] ?? 0)) {
      best = i;
    }
  }
  return best;
};
