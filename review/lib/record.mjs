import { createWriteStream } from 'node:fs';
import { performance } from 'node:perf_hooks';

const startedAtMs = performance.now();

/** Milliseconds since the start of the script. */
export const nowMs = () => performance.now() - startedAtMs;

/**
 * Writes what was sent, answered and run, one line an event.
 *
 * @param path - File to write.
 */
export const openRecord = (path) => {
  const stream = createWriteStream(path);
  return {
    write(kind, fields = {}) {
      const at = (nowMs() / 1000).toFixed(3).padStart(8);
      const text = Object.entries(fields)
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' ');
      stream.write(`${at} ${kind} ${text}\n`);
    },
    close: () => new Promise((resolve) => stream.end(resolve)),
  };
};
