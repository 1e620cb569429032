// A start gets no answer and is carried out late. The process that has sent it and
// the entry that has ordered it are killed meanwhile; the entry is back first.
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { newId, runCase } from '../lib-3/deployment.mjs';

const ZONES = ['recife', 'fortaleza', 'salvador'];
const RUNNERS = 10;
const ROUNDS = 4;
const TASK_MS = 3000;
/** `applied_late`: how long after its arrival the start is carried out. */
const LATE_MS = 3200;
/** `node_kill`, `power`: how long the machine of the runner is dark. */
const DARK_MS = 3500;
const WATCH_MS = 14_000;

const body = {
  spec: JSON.stringify({ ms: [TASK_MS] }),
  steps: [{ count: 1, cpu: 1600, mem_mb: 64, estimate_ms: TASK_MS }],
};

const playRound = async (deployment, entry, isDisturbed) => {
  if (isDisturbed) {
    await Promise.all(deployment.runners.map((r) => r.delayNextStart()));
  }
  const seen = deployment.runs.length;
  const id = newId();
  const { status } = await deployment.call(entry, 'POST', id, body);
  if (status !== 200) {
    throw new Error(`the job was not accepted: ${status}`);
  }
  if (isDisturbed) {
    const held = await findHeld(deployment, id, seen);
    const worker = deployment.workers[Number(held.on.slice('i-'.length))];
    worker.restartDelayMs = DARK_MS;
    deployment.signal(worker, 'SIGKILL');
    deployment.signal(entry, 'SIGKILL');
    await Promise.all(deployment.runners.map((r) => r.delayNoStart()));
  }
  await delay(WATCH_MS);
};

const findHeld = async (deployment, id, from) => {
  const endsAtMs = deployment.nowMs + 2000;
  while (deployment.nowMs < endsAtMs) {
    const held = deployment.runs
      .slice(from)
      .find(({ what, task }) => what === 'no-answer' && task.startsWith(id));
    if (held) {
      return held;
    }
    await delay(2);
  }
  throw new Error('no start has been sent');
};

const play = async (deployment, isDisturbed) => {
  for (let round = 0; round < ROUNDS; round += 1) {
    const entry = deployment.entries[round % ZONES.length];
    await playRound(deployment, entry, isDisturbed);
  }
  return overlaps(deployment.runs.toSorted((a, b) => a.atMs - b.atMs));
};

/** Times at which two runs of a task were at work. */
const overlaps = (events) => {
  const active = new Map();
  const found = [];
  for (const { what, task, run, on, atMs } of events) {
    const runs = active.get(task) ?? new Map();
    active.set(task, runs);
    if (what === 'start') {
      runs.set(on, { run, on, atMs });
    } else if (what === 'end' || what === 'crashed') {
      const ended = runs.get(on);
      runs.delete(on);
      for (const other of runs.values()) {
        const sinceMs = Math.max(other.atMs, ended?.atMs ?? atMs);
        found.push(
          `TWICE: ${task} ran for ${atMs - sinceMs} ms at the same time as run ${run} on ${on} and run ${other.run} on ${other.on}`,
        );
      }
    }
  }
  return found;
};

await runCase(
  {
    record: fileURLToPath(new URL('record.txt', import.meta.url)),
    entryZones: ZONES,
    runnerZones: Array.from({ length: RUNNERS }, (_, i) => ZONES[i % 3]),
    runnerOptions: { lateMs: LATE_MS },
  },
  play,
);
