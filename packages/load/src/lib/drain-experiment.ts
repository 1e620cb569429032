import { setTimeout as sleep } from 'node:timers/promises';
import { LocalCluster, call } from '@sapphiremux/standins';
import type { EndpointUsage } from '@sapphiremux/standins';
import { declareSubjects } from './declare-subjects.js';
import { replayTrace } from './trace-replay.js';
import { generateTrace } from './trace.js';

/** Figures of a data centre that is drained and returned under a backlog. */
export interface DrainResult {
  /** Utilization of the other data centres' slots during the drain. */
  readonly usedWhileOut: number;
  /** Utilization of all slots after the return. */
  readonly usedAfterReturn: number;
  /** Starts in the drained data centre later than 5 s after the ticket reply. */
  readonly lateStarts: number;
  /** Time from the ticket request to its reply. */
  readonly ticketMs: number;
  readonly failedJobs: number;
}

interface UsageSample {
  readonly atMs: number;
  readonly usages: readonly EndpointUsage[];
}

const RUNNER_DATA_CENTRES = ['north', 'south', 'east', 'west'];
const DRAINED_DATA_CENTRE = 'north';
/** Default number of slots of the test endpoint that `LocalCluster` starts. */
const SLOTS_PER_RUNNER = 8;
/** Time that the backlog takes on all slots; the measurements take about 22 s. */
const BACKLOG_MS = 30_000;
const BACKLOG_LOAD = 0.98;
const WARMUP_MS = 3000;
/** Starts in the drained data centre later than this after the ticket are late. */
const LATE_START_MS = 5000;
/** Measured time while the data centre is out of service. */
const DRAINED_MS = 8000;
/** Measured time after the return, without the settling time. */
const RETURNED_MS = 5000;
const SETTLE_MS = 1000;

/**
 * Takes a data centre out of service and returns it under a backlog of jobs,
 * and measures slot utilization, late starts and failed jobs.
 *
 * @param seed - Seed of the generated jobs.
 * @returns The figures.
 */
export const runDrainExperiment = async (
  seed: number,
): Promise<DrainResult> => {
  const cluster = await LocalCluster.start({
    entries: 2,
    runners: RUNNER_DATA_CENTRES,
  });
  try {
    await declareSubjects(cluster, RUNNER_DATA_CENTRES);
    const running = replayTrace({
      urls: cluster.urls,
      trace: backlogTrace(seed),
      idPrefix: 'drain',
    });
    const figures = await drainAndReturn(cluster);
    const outcomes = await running;
    const failedJobs = outcomes.filter((o) => o.state !== 'complete').length;
    return { ...figures, failedJobs };
  } finally {
    await cluster.close();
  }
};

/** Submits all jobs at time 0, so that no slot is ever short of work. */
const backlogTrace = (seed: number) =>
  generateTrace({
    seed,
    lengthMs: BACKLOG_MS,
    load: BACKLOG_LOAD,
    slots: RUNNER_DATA_CENTRES.length * SLOTS_PER_RUNNER,
    tasksPerJob: 8,
    urgentShare: 0,
  }).map((job) => ({ ...job, atMs: 0 }));

const drainAndReturn = async (
  cluster: LocalCluster,
): Promise<Omit<DrainResult, 'failedJobs'>> => {
  await sleep(WARMUP_MS);
  const ticketSentAtMs = performance.now();
  await setInService(cluster, false);
  const ticketMs = performance.now() - ticketSentAtMs;
  await sleep(LATE_START_MS);
  const drainStart = await sampleUsage(cluster);
  await sleep(DRAINED_MS);
  const drainEnd = await sampleUsage(cluster);
  await setInService(cluster, true);
  await sleep(SETTLE_MS);
  const returnStart = await sampleUsage(cluster);
  await sleep(RETURNED_MS);
  const returnEnd = await sampleUsage(cluster);
  // Index 0 is the drained data centre.
  const [usageAtStart] = drainStart.usages;
  const [usageAtEnd] = drainEnd.usages;
  return {
    usedWhileOut: slotUtilization(drainStart, drainEnd, (index) => index > 0),
    usedAfterReturn: slotUtilization(returnStart, returnEnd, () => true),
    lateStarts: (usageAtEnd?.starts ?? 0) - (usageAtStart?.starts ?? 0),
    ticketMs,
  };
};

const setInService = async (
  cluster: LocalCluster,
  inService: boolean,
): Promise<void> => {
  await call(cluster.entries[0]?.port ?? 0, 'POST', '/v1/tickets', {
    author: 'bench',
    reason: inService ? 'return' : 'drain',
    changes: [
      {
        subject: `data-centre/${DRAINED_DATA_CENTRE}`,
        setting: { kind: 'data-centre', inService },
      },
    ],
  });
};

/** Reads the usage of all endpoints, in the order of `RUNNER_DATA_CENTRES`. */
const sampleUsage = async (cluster: LocalCluster): Promise<UsageSample> => {
  // `cluster.runners` is in the order in which the runners became ready.
  const runners = [...cluster.runners].sort(
    (a, b) =>
      RUNNER_DATA_CENTRES.indexOf(a.dataCentre) -
      RUNNER_DATA_CENTRES.indexOf(b.dataCentre),
  );
  const usages = await Promise.all(
    runners.map(async ({ endpoint }) => {
      const { body } = await call(endpoint.port, 'GET', '/usage');
      return body as EndpointUsage;
    }),
  );
  return { atMs: performance.now(), usages };
};

const slotUtilization = (
  from: UsageSample,
  until: UsageSample,
  isIncluded: (index: number) => boolean,
): number => {
  let busyMs = 0;
  let slots = 0;
  until.usages.forEach((usage, index) => {
    if (isIncluded(index)) {
      busyMs += usage.busyMs - (from.usages[index]?.busyMs ?? 0);
      slots += SLOTS_PER_RUNNER;
    }
  });
  return busyMs / (slots * (until.atMs - from.atMs));
};
