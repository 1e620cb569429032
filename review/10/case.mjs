// A zone is evacuated that has all workers of one label; see claim.txt.
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
const WORKERS = 8;
const JOBS = 20;
const ZONE = 'dkr-b';
const WATCH_MS = 12_000;
/** A job may have nothing running for this long while its turn has come. */
const IDLE_MS = 3000;
const CPU = 800;
const isTroubled = process.env.TROUBLE !== '0';

const deployment = new Deployment({
  folder: dirname(fileURLToPath(import.meta.url)),
  entries: ENTRIES,
  workers: WORKERS,
  attempts: 3,
  // The machines of the second zone have workers of another kind.
  labelsOf: (index) => [index % 4 === 1 ? 'b' : 'a', `r1-${(index % 4) + 1}`],
});

/** Tasks of the second step, which needs no label and waits for no other step. */
const tasksOfFreeStep = (id) => [0, 1, 2, 3].map((i) => `${id}.0.1.${i}`);

const overlaps = ({ startedAt, endedAt = Infinity }, fromAt, toAt) =>
  startedAt < toAt && endedAt > fromAt;

await runCase(deployment, async () => {
  await deployment.start();
  if (isTroubled) {
    deployment.log('evacuate', { zone: ZONE });
    deployment.store.put('op', `evacuate/${ZONE}`, { zone: ZONE });
  }
  await delay(BOUNDS.evacuate_ms);
  const accepted = [];
  for (let count = 0; count < JOBS; count += 1) {
    const id = newId();
    const step = { cpu: CPU, mem_mb: 64, estimate_ms: 500 };
    const steps = [
      { ...step, count: 2, requires: 'b' },
      { ...step, count: 4 },
    ];
    const body = { spec: 'ms=500', steps };
    const { status } = await deployment.call(
      'POST',
      count % ENTRIES,
      'work',
      id,
      body,
    );
    if (status === 200) {
      accepted.push(id);
    }
    await delay(250);
  }
  await delay(1000 * BOUNDS.finish_s);
  const fromAt = Date.now();
  await delay(WATCH_MS);
  const toAt = Date.now();
  const broken = [];
  for (const id of accepted) {
    const { status, body } = await deployment.call('GET', 0, 'work', id);
    const runs = Runner.starts.filter(({ task }) => task.startsWith(`${id}.`));
    const waiting = tasksOfFreeStep(id).filter(
      (task) => !runs.some((run) => run.task === task),
    );
    const isIdle = !runs.some((run) => overlaps(run, fromAt, toAt));
    if (waiting.length > 0 && isIdle && toAt - fromAt > IDLE_MS) {
      broken.push(
        `LOST: ${id} (${status} ${body?.state}) had nothing running for ${toAt - fromAt} ms, though ${waiting.length} tasks of step 1 wait for nothing and need no label`,
      );
    }
  }
  const inUse =
    CPU * Runner.starts.filter((run) => overlaps(run, fromAt, toAt)).length;
  console.log(
    `${accepted.length} jobs, at most ${inUse} of ${16_000 * WORKERS} in use`,
  );
  if (isTroubled) {
    deployment.store.put('op', `evacuate/${ZONE}`, undefined);
    await delay(5000);
    const starts = Runner.starts.length;
    console.log(`${starts} starts after the zone was taken back`);
  }
  return inUse < 8000 * WORKERS ? broken : [];
});
