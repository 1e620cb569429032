import { LocalCluster } from '@sapphiremux/standins';
import { readCounters } from './counters.js';
import { declareSubjects } from './declare-subjects.js';
import { referenceResponses } from './reference.js';
import type { Scenario } from './scenario.js';
import { summarize } from './summary.js';
import type { Summary } from './summary.js';
import { replayTrace } from './trace-replay.js';
import type { JobOutcome } from './trace-replay.js';
import { generateTrace } from './trace.js';

/** Measured and reference response times at one load. */
export interface LoadResult {
  readonly load: number;
  readonly measured: Summary;
  readonly reference: Summary;
  /** Mean response time divided by that of the reference. */
  readonly meanRatio: number;
  /** 99th percentile of urgent jobs divided by that of the reference. */
  readonly urgentP99Ratio: number;
  /** Number of jobs that did not complete. */
  readonly failed: number;
  readonly taskStarts: number;
  /** Messages that moved no task forward, by kind. */
  readonly wasted: Readonly<Record<string, number>>;
  /** Wasted messages per task start. */
  readonly wasteRatio: number;
}

/** Default number of slots of the test endpoint that `LocalCluster` starts. */
const SLOTS_PER_RUNNER = 8;
const MS_PER_SECOND = 1000;

/**
 * Runs a scenario at each of its loads on a cluster of real processes, and
 * compares the response times with those of the reference scheduler on the
 * same traces.
 *
 * @param scenario - Sizes and loads.
 * @returns One result for each load.
 */
export const runResponseExperiment = async (
  scenario: Scenario,
): Promise<LoadResult[]> => {
  const cluster = await LocalCluster.start({
    entries: scenario.entries,
    runners: scenario.runners,
    prefetch: scenario.prefetch,
  });
  try {
    await declareSubjects(cluster, scenario.runners);
    const results: LoadResult[] = [];
    for (const load of scenario.loads) {
      results.push(await runLoad(cluster, scenario, load));
    }
    return results;
  } finally {
    await cluster.close();
  }
};

const runLoad = async (
  cluster: LocalCluster,
  scenario: Scenario,
  load: number,
): Promise<LoadResult> => {
  const slots = scenario.runners.length * SLOTS_PER_RUNNER;
  const trace = generateTrace({
    seed: scenario.seed,
    lengthMs: (scenario.warmup_seconds + scenario.seconds) * MS_PER_SECOND,
    load,
    slots,
    tasksPerJob: scenario.tasks_per_job,
    urgentShare: scenario.urgent_share,
  });
  const before = await readCounters(cluster);
  const outcomes = await replayTrace({
    urls: cluster.urls,
    trace,
    idPrefix: `load-${String(load)}`,
  });
  const after = await readCounters(cluster);
  const ideal = referenceResponses(trace, slots);
  const isCounted = (index: number): boolean =>
    (trace[index]?.atMs ?? 0) >= scenario.warmup_seconds * MS_PER_SECOND;
  const isUrgent = (index: number): boolean =>
    isCounted(index) && (trace[index]?.isUrgent ?? false);
  const measuredMs = outcomes.map((o: JobOutcome) => o.responseMs);
  const pick = (values: readonly number[], keep: (i: number) => boolean) =>
    summarize(values.filter((_, index) => keep(index)));
  const measured = pick(measuredMs, isCounted);
  const reference = pick(ideal, isCounted);
  const taskStarts = after.starts - before.starts;
  const wasted: Record<string, number> = {};
  let wasteSum = 0;
  for (const [kind, count] of Object.entries(after.wasted)) {
    wasted[kind] = count - (before.wasted[kind] ?? 0);
    wasteSum += wasted[kind];
  }
  return {
    load,
    measured,
    reference,
    meanRatio: measured.meanMs / reference.meanMs,
    urgentP99Ratio:
      pick(measuredMs, isUrgent).p99Ms / pick(ideal, isUrgent).p99Ms,
    failed: outcomes.filter((o) => o.state !== 'complete').length,
    taskStarts,
    wasted,
    wasteRatio: wasteSum / Math.max(1, taskStarts),
  };
};
