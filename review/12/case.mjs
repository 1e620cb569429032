// One client has submitted workflows of 800 tasks to one entry, which is then
// stopped and started once, as in a rolling restart.
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { newId, runCase } from '../lib-3/deployment.mjs';

const JOBS = 12;
const STEPS = 200;
const WIDTH = 4;
const TASK_MS = 200;
/** From the sheet of the platform's bounds. */
const FINISH_MS = 14_000;
const GRACE_MS = 6000;
/** A job must not rest for longer while there is room. */
const IDLE_MS = 3000;
/** Time until which the jobs are watched, from the end of the submissions. */
const WATCH_MS = 80_000;

const body = {
  spec: JSON.stringify({ ms: [TASK_MS] }),
  steps: Array.from({ length: STEPS }, (_, step) => ({
    count: WIDTH,
    cpu: 500,
    mem_mb: 64,
    estimate_ms: TASK_MS,
    ...(step === 0 ? {} : { after: [step - 1] }),
  })),
};

const play = async (deployment, isDisturbed) => {
  const [entry, ...others] = deployment.entries;
  const jobs = new Map();
  for (let i = 0; i < JOBS; i += 1) {
    const id = newId();
    const { status } = await deployment.call(entry, 'POST', id, body);
    if (status !== 200) {
      throw new Error(`job ${id} was not accepted: ${status}`);
    }
    jobs.set(id, undefined);
  }
  const submittedAt = performance.now();
  await delay(3000);
  let checkFromMs = deployment.nowMs + FINISH_MS;
  if (isDisturbed) {
    deployment.signal(entry, 'SIGTERM');
    checkFromMs += GRACE_MS;
  }
  let unanswered = 0;
  while (
    performance.now() - submittedAt < WATCH_MS &&
    [...jobs.values()].some((state) => state !== 'completed')
  ) {
    await delay(1000);
    await Promise.all(
      [...jobs.keys()].map(async (id, index) => {
        const reader = others[index % others.length];
        const { status, state } = await deployment.call(reader, 'GET', id);
        unanswered += status === 200 ? 0 : 1;
        jobs.set(id, state ?? jobs.get(id));
      }),
    );
  }
  const endMs = deployment.nowMs;
  const breaches = [];
  for (const [id, state] of jobs) {
    const idleMs = longestIdleMs(deployment, id, checkFromMs, endMs);
    const done = new Set(
      deployment.runs
        .filter(
          ({ what, how, task }) =>
            what === 'end' && how === 'done' && task.startsWith(id),
        )
        .map(({ task }) => task),
    ).size;
    deployment.note({ what: 'job', job: id, state, done, idleMs });
    if (state !== 'completed' && idleMs > IDLE_MS) {
      breaches.push(
        `LOST: job ${id} is ${state ?? 'not known'} with ${done} of ${STEPS * WIDTH} tasks done, and nothing of it ran for ${idleMs} ms`,
      );
    }
  }
  deployment.note({ what: 'summary', unanswered, endMs });
  return breaches;
};

/** Longest time without a run of the job, between two moments. */
const longestIdleMs = (deployment, id, fromMs, toMs) => {
  let active = 0;
  let sinceMs = fromMs;
  let longestMs = 0;
  const runs = deployment.runs.toSorted((a, b) => a.atMs - b.atMs);
  for (const { atMs, what, task } of runs) {
    if (!task.startsWith(id) || what === 'noted') {
      continue;
    }
    if (active === 0) {
      longestMs = Math.max(longestMs, Math.min(atMs, toMs) - sinceMs);
    }
    active += what === 'start' ? 1 : -1;
    sinceMs = Math.max(fromMs, atMs);
  }
  return active === 0 ? Math.max(longestMs, toMs - sinceMs) : longestMs;
};

await runCase(
  {
    record: fileURLToPath(new URL('record.txt', import.meta.url)),
    entryZones: ['z1', 'z2', 'z3'],
    runnerZones: ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'],
  },
  play,
);
