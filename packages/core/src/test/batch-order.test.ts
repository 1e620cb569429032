import { expect } from 'earl';
import {
  Prospect,
  isHopeless,
  orderJobs,
  prospectOf,
} from '../lib/process/batch-order.js';

/** Jobs of one kind that come faster than the room can take for a while. */
interface ReplayJob {
  readonly acceptedAtMs: number;
  readonly runMs: number;
}

const STRETCH = 1.6;
const SLACK_MS = 60;
const SLOTS = 10;

const bounds = (job: ReplayJob) => ({
  acceptedAtMs: job.acceptedAtMs,
  chainMs: job.runMs,
  leftMs: job.runMs,
  stretch: STRETCH,
  slackMs: SLACK_MS,
});

/** Replays a trace over slots that are all taken until `opensMs`. */
const replay = (
  jobs: readonly ReplayJob[],
  opensMs: number,
  choose: (waiting: ReplayJob[], now: number) => ReplayJob | undefined,
): number => {
  const free = Array.from({ length: SLOTS }, () => opensMs);
  const waiting = [...jobs];
  let inAim = 0;
  for (let now = 0; now < 20_000; now += 1) {
    for (let slot = 0; slot < SLOTS; slot += 1) {
      if ((free[slot] ?? 0) > now) {
        continue;
      }
      const here = waiting.filter((job) => job.acceptedAtMs <= now);
      const job = choose(here, now);
      if (!job) {
        break;
      }
      waiting.splice(waiting.indexOf(job), 1);
      free[slot] = now + job.runMs;
      const tookMs = now + job.runMs - job.acceptedAtMs;
      inAim += tookMs <= STRETCH * job.runMs + SLACK_MS ? 1 : 0;
    }
  }
  return inAim;
};

const firstCome = (waiting: ReplayJob[]): ReplayJob | undefined => waiting[0];

const byProspect = (waiting: ReplayJob[], now: number): ReplayJob | undefined =>
  orderJobs(
    waiting.map((job) => ({ job, ...prospectOf(bounds(job), now) })),
  ).find(({ prospect }) => prospect !== Prospect.Useless)?.job;

it('a backlog after an outage does not make all later jobs late', () => {
  const trace = Array.from({ length: 400 }, (_, i) => ({
    acceptedAtMs: i * 11,
    runMs: i % 3 === 0 ? 86 : 100,
  }));
  const before = replay(trace, 1500, firstCome);
  const after = replay(trace, 1500, byProspect);
  expect(after > 1.2 * before).toEqual(true);
  expect(after >= 250).toEqual(true);
});

it('what can still meet its objective goes before what is late', () => {
  const fresh = { acceptedAtMs: 1000, runMs: 100 };
  const late = { acceptedAtMs: 700, runMs: 100 };
  expect(byProspect([late, fresh], 1000)).toEqual(fresh);
});

it('what its caller has no use for any longer is told apart', () => {
  const job = { acceptedAtMs: 0, runMs: 100 };
  const at = (now: number): Prospect => prospectOf(bounds(job), now).prospect;
  expect([at(100), at(300), at(700)]).toEqual([
    Prospect.InAim,
    Prospect.Late,
    Prospect.Useless,
  ]);
});

it('a late job is refused while its caller has time to ask again', () => {
  const at = (prospect: Prospect, waitedMs: number): boolean =>
    isHopeless(prospect, { waitedMs, patienceMs: 1000 });
  expect(at(Prospect.InAim, 900)).toEqual(false);
  expect(at(Prospect.Late, 300)).toEqual(false);
  expect(at(Prospect.Late, 450)).toEqual(true);
  expect(at(Prospect.Useless, 10)).toEqual(true);
});
