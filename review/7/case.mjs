// An entry and a worker machine are killed while a start is carried out late; see
// claim.txt.
import console from 'node:console';
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import {
  BOUNDS,
  Deployment,
  delay,
  newId,
  runCase,
} from '../lib-2/deployment.mjs';
import { Runner } from '../lib-2/runner.mjs';

const ENTRIES = 4;
const WORKERS = 9;
const ROUNDS = 4;
const DEADLINE_MS = 4000;
const DOWN_MS = 3500;
/** Time after which the start is carried out. */
const LATE_MS = 2100;
const RUN_MS = 1500;
const MAX_SENDS = 3;
const isTroubled = process.env.TROUBLE !== '0';

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  entries: ENTRIES,
  workers: WORKERS,
  attempts: 3,
});

/** Sends a job that needn't be kept, and sends it again as the pages say. */
const send = async (id, entry, ms) => {
  const steps = [{ count: 1, cpu: 1600, mem_mb: 64, estimate_ms: ms }];
  const body = { spec: `ms=${ms}`, best_effort: true, steps };
  for (let sends = 0; sends < MAX_SENDS; sends += 1) {
    const { status } = await deployment.call(
      'POST',
      (entry + sends) % ENTRIES,
      'work',
      id,
      body,
      DEADLINE_MS,
    );
    if (![0, 502, 504].includes(status)) {
      return;
    }
    await delay(BOUNDS.resend_ms);
  }
};

/** Has the next start of a job held, and kills what gave the order. */
const strike = (id, entry) => {
  let hit;
  deployment.runners.forEach((runner, index) => {
    runner.lateMsOf = ({ task }) => {
      if (hit !== undefined || !task.startsWith(`${id}.`)) {
        return undefined;
      }
      hit = index;
      deployment.signal(`worker-${index}`, 'SIGKILL');
      deployment.signal(`entry-${entry}`, 'SIGKILL');
      return LATE_MS;
    };
  });
  return () => {
    if (hit !== undefined) {
      deployment.spawn(`worker-${hit}`);
      deployment.spawn(`entry-${entry}`);
    }
  };
};

const inSeconds = (at) => ((at - deployment.beganAt) / 1000).toFixed(3);

await runCase(deployment, async () => {
  await deployment.start();
  let isSubmitting = true;
  const others = (async () => {
    for (let count = 0; isSubmitting; count += 1) {
      void send(newId(), count % ENTRIES, 400);
      await delay(100);
    }
  })();
  await delay(2000);
  for (let round = 0; round < ROUNDS; round += 1) {
    const id = newId();
    const entry = round % ENTRIES;
    const restart = isTroubled ? strike(id, entry) : () => undefined;
    void send(id, entry, RUN_MS);
    await delay(DOWN_MS);
    restart();
    await delay(6500);
  }
  isSubmitting = false;
  await others;
  await delay(3000);
  const broken = [];
  for (const earlier of Runner.starts) {
    for (const later of Runner.starts) {
      const isOverlap =
        earlier !== later &&
        earlier.task === later.task &&
        earlier.startedAt <= later.startedAt &&
        later.startedAt < (earlier.endedAt ?? Infinity);
      if (isOverlap) {
        broken.push(
          `TWICE: ${earlier.task} ran on ${earlier.worker} from ${inSeconds(earlier.startedAt)} to ${inSeconds(earlier.endedAt)} s and on ${later.worker} from ${inSeconds(later.startedAt)} to ${inSeconds(later.endedAt)} s`,
        );
      }
    }
  }
  console.log(`${Runner.starts.length} starts`);
  return broken;
});
