// Prints the cost of an entry's decisions for growing numbers of runners.
import { measureCoreCost } from '../lib/core-cost.js';

const RUNNER_COUNTS = [10, 40, 160, 640];
const TASKS_PER_JOB = 100;
const JOBS = 300;

console.log('runners  us/task  idle us/s  bytes/runner');
for (const runners of RUNNER_COUNTS) {
  const cost = measureCoreCost({
    runners,
    tasksPerJob: TASKS_PER_JOB,
    jobs: JOBS,
  });
  const { usPerTask, idleUsPerSecond, bytesPerRunner } = cost;
  const cells = [runners, usPerTask, idleUsPerSecond, bytesPerRunner];
  console.log(cells.map((cell) => cell.toFixed(1).padStart(8)).join(' '));
}
