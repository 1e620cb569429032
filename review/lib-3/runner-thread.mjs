// Runs one stand-in of a runner in a thread of its own, so that runners don't
// wait for each other or for the clients and the store.
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setInterval } from 'node:timers';
import { parentPort, workerData } from 'node:worker_threads';
import { Runner } from './runner.mjs';

const now = () => performance.timeOrigin + performance.now();

let events = [];
const runner = new Runner({
  ...workerData,
  log: (event) => events.push({ at: now(), ...event }),
});

/** Passes on the events. */
const flush = () => {
  if (events.length > 0) {
    parentPort.postMessage({ kind: 'events', events });
    events = [];
  }
};
setInterval(flush, 20);

parentPort.on('message', ({ id, method }) => {
  Promise.resolve(runner[method]()).then(
    () => {
      flush();
      parentPort.postMessage({ kind: 'done', id });
    },
    (err) => {
      process.stderr.write(`runner: ${err.stack}\n`);
      process.exit(2);
    },
  );
});
