import { setTimeout as sleep } from 'node:timers/promises';
import { Estate, call } from '@sapphiremux/standins';
import type { EndpointUsage } from '@sapphiremux/standins';
import { drive } from './driver.js';
import { declareEstate } from './ticket.js';
import { makeTrace } from './trace.js';

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

interface Sample {
  readonly atMs: number;
  readonly usages: readonly EndpointUsage[];
}

const RUNNERS = ['north', 'south', 'east', 'west'];
const DRAINED = 'north';
const SLOTS_PER_RUNNER = 8;
const BACKLOG_MS = 30_000;
const BACKLOG_LOAD = 0.98;
const FILL_MS = 3000;
const FEW_SECONDS_MS = 5000;
const OUT_MS = 8000;
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
  const estate = await Estate.start({ entries: 2, runners: RUNNERS });
  try {
    await declareEstate(estate, RUNNERS);
    const running = drive({
      urls: estate.urls,
      trace: backlog(seed),
      name: 'drain',
    });
    const figures = await leaveAndReturn(estate);
    const outcomes = await running;
    const failedJobs = outcomes.filter((o) => o.state !== 'complete').length;
    return { ...figures, failedJobs };
  } finally {
    await estate.close();
  }
};

/** Submits all jobs at time 0, so that no slot is ever short of work. */
const backlog = (seed: number) =>
  makeTrace({
    seed,
    lengthMs: BACKLOG_MS,
    load: BACKLOG_LOAD,
    slots: RUNNERS.length * SLOTS_PER_RUNNER,
    tasksPerJob: 8,
    urgentShare: 0,
  }).map((job) => ({ ...job, atMs: 0 }));

const leaveAndReturn = async (
  estate: Estate,
): Promise<Omit<DrainResult, 'failedJobs'>> => {
  await sleep(FILL_MS);
  const proposedMs = performance.now();
  await setInService(estate, false);
  const ticketMs = performance.now() - proposedMs;
  await sleep(FEW_SECONDS_MS);
  const outFrom = await sample(estate);
  await sleep(OUT_MS);
  const outUntil = await sample(estate);
  await setInService(estate, true);
  await sleep(SETTLE_MS);
  const backFrom = await sample(estate);
  await sleep(RETURNED_MS);
  const backUntil = await sample(estate);
  const [drainedFrom] = outFrom.usages;
  const [drainedUntil] = outUntil.usages;
  return {
    usedWhileOut: usedShare(outFrom, outUntil, (index) => index > 0),
    usedAfterReturn: usedShare(backFrom, backUntil, () => true),
    lateStarts: (drainedUntil?.starts ?? 0) - (drainedFrom?.starts ?? 0),
    ticketMs,
  };
};

const setInService = async (
  estate: Estate,
  inService: boolean,
): Promise<void> => {
  await call(estate.entries[0]?.port ?? 0, 'POST', '/v1/tickets', {
    author: 'bench',
    reason: inService ? 'return' : 'drain',
    changes: [
      {
        subject: `data-centre/${DRAINED}`,
        setting: { kind: 'data-centre', inService },
      },
    ],
  });
};

const sample = async (estate: Estate): Promise<Sample> => {
  // `estate.runners` is in the order in which the runners became ready.
  const runners = [...estate.runners].sort(
    (a, b) => RUNNERS.indexOf(a.dataCentre) - RUNNERS.indexOf(b.dataCentre),
  );
  const usages = await Promise.all(
    runners.map(async ({ endpoint }) => {
      const { body } = await call(endpoint.port, 'GET', '/usage');
      return body as EndpointUsage;
    }),
  );
  return { atMs: performance.now(), usages };
};

const usedShare = (
  from: Sample,
  until: Sample,
  counts: (index: number) => boolean,
): number => {
  let busyMs = 0;
  let slots = 0;
  until.usages.forEach((usage, index) => {
    if (counts(index)) {
      busyMs += usage.busyMs - (from.usages[index]?.busyMs ?? 0);
      slots += SLOTS_PER_RUNNER;
    }
  });
  return busyMs / (slots * (until.atMs - from.atMs));
};
