import { expect } from 'earl';
import {
  CompletionEstimate,
  orderJobs,
  rankOf,
  reservedCapacity,
  shouldRefuse,
} from '../lib/process/batch-order.js';

/** A job of a load trace that exceeds the capacity for a while. */
interface ReplayJob {
  readonly acceptedAtMs: number;
  readonly runMs: number;
}

const STRETCH = 1.6;
const SLACK_MS = 60;
const SLOTS = 10;

const times = (job: ReplayJob) => ({
  acceptedAtMs: job.acceptedAtMs,
  criticalPathMs: job.runMs,
  remainingMs: job.runMs,
  stretch: STRETCH,
  slackMs: SLACK_MS,
});

/**
 * Replays a trace over slots that are all busy until `opensMs`.
 *
 * @returns Number of jobs that end within their objective.
 */
const replay = (
  jobs: readonly ReplayJob[],
  opensMs: number,
  choose: (waiting: ReplayJob[], now: number) => ReplayJob | undefined,
): number => {
  const free = Array.from({ length: SLOTS }, () => opensMs);
  const waiting = [...jobs];
  let onTime = 0;
  for (let now = 0; now < 20_000; now += 1) {
    for (let slot = 0; slot < SLOTS; slot += 1) {
      if ((free[slot] ?? 0) > now) {
        continue;
      }
      const arrived = waiting.filter((job) => job.acceptedAtMs <= now);
      const job = choose(arrived, now);
      if (!job) {
        break;
      }
      waiting.splice(waiting.indexOf(job), 1);
      free[slot] = now + job.runMs;
      const tookMs = now + job.runMs - job.acceptedAtMs;
      onTime += tookMs <= STRETCH * job.runMs + SLACK_MS ? 1 : 0;
    }
  }
  return onTime;
};

const firstComeFirstServed = (waiting: ReplayJob[]): ReplayJob | undefined =>
  waiting[0];

const byEstimate = (waiting: ReplayJob[], now: number): ReplayJob | undefined =>
  orderJobs(waiting.map((job) => ({ job, ...rankOf(times(job), now) }))).find(
    ({ estimate }) => estimate !== CompletionEstimate.TooLate,
  )?.job;

it('a backlog after an outage does not make all later jobs late', () => {
  const trace = Array.from({ length: 400 }, (_, i) => ({
    acceptedAtMs: i * 11,
    runMs: i % 3 === 0 ? 86 : 100,
  }));
  const before = replay(trace, 1500, firstComeFirstServed);
  const after = replay(trace, 1500, byEstimate);
  expect(after > 1.2 * before).toEqual(true);
  expect(after >= 250).toEqual(true);
});

it('late jobs of one entry leave capacity for on-time jobs of another', () => {
  // The first entry has a backlog after an outage, the second has new jobs.
  const backlog = Array.from({ length: 150 }, () => ({
    acceptedAtMs: 0,
    runMs: 100,
  }));
  const fresh = Array.from({ length: 200 }, (_, i) => ({
    acceptedAtMs: 600 + i * 12.5,
    runMs: 100,
  }));
  const onTime = (hasReserve: boolean): number => {
    const slots = Array.from({ length: SLOTS }, () => 0);
    const queues = [[...backlog], [...fresh]];
    let count = 0;
    for (let now = 600; now < 8000; now += 1) {
      // The entries alternate in being the first to see a free slot.
      for (const turn of [now % 2, (now + 1) % 2]) {
        const waiting = queues[turn] ?? [];
        const due = waiting.filter((job) => job.acceptedAtMs <= now);
        const [first] = orderJobs(
          due.map((job) => ({ job, ...rankOf(times(job), now) })),
        );
        const free = slots.filter((at) => at <= now).length;
        const left = first
          ? reservedCapacity(
              first.estimate,
              now - first.job.acceptedAtMs,
              SLOTS,
            )
          : 0;
        if (!first || free < 1 + (hasReserve ? left : 0)) {
          continue;
        }
        waiting.splice(waiting.indexOf(first.job), 1);
        slots[slots.findIndex((at) => at <= now)] = now + first.job.runMs;
        const tookMs = now + first.job.runMs - first.job.acceptedAtMs;
        count += tookMs <= STRETCH * first.job.runMs + SLACK_MS ? 1 : 0;
      }
    }
    return count;
  };
  expect(onTime(true) >= 195).toEqual(true);
  expect(onTime(true) > 1.2 * onTime(false)).toEqual(true);
});

it('a late job may use the reserved capacity after a maximum wait', () => {
  expect(reservedCapacity(CompletionEstimate.OnTime, 0, 16_000)).toEqual(0);
  expect(reservedCapacity(CompletionEstimate.Late, 1000, 16_000)).toEqual(3200);
  expect(reservedCapacity(CompletionEstimate.Late, 6000, 16_000)).toEqual(0);
});

it('a job that can meet its objective goes before a late one', () => {
  const fresh = { acceptedAtMs: 1000, runMs: 100 };
  const late = { acceptedAtMs: 700, runMs: 100 };
  expect(byEstimate([late, fresh], 1000)).toEqual(fresh);
});

it('a job too late to be of use is distinguished from a late one', () => {
  const job = { acceptedAtMs: 0, runMs: 100 };
  const at = (now: number): CompletionEstimate =>
    rankOf(times(job), now).estimate;
  expect([at(100), at(300), at(700)]).toEqual([
    CompletionEstimate.OnTime,
    CompletionEstimate.Late,
    CompletionEstimate.TooLate,
  ]);
});

it('a late job is refused while its caller has time to retry', () => {
  const at = (estimate: CompletionEstimate, waitedMs: number): boolean =>
    shouldRefuse(estimate, { waitedMs, timeoutMs: 1000 });
  expect(at(CompletionEstimate.OnTime, 900)).toEqual(false);
  expect(at(CompletionEstimate.Late, 300)).toEqual(false);
  expect(at(CompletionEstimate.Late, 450)).toEqual(true);
  expect(at(CompletionEstimate.TooLate, 10)).toEqual(true);
});
