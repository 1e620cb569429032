import { Writable } from 'node:stream';
import { expect } from 'earl';
import { Registry } from 'prom-client';
import { BoundedOutput } from '../lib/process/bounded-output.js';
import { Tally } from '../lib/process/metrics.js';
import { PauseDetector } from '../lib/process/pause-detector.js';

it('a forward jump of the wall clock against the monotonic clock is a pause', () => {
  const detector = new PauseDetector();
  expect(detector.check(1000, 50_000)).toEqual(undefined);
  expect(detector.check(1100, 50_110)).toEqual(undefined);
  expect(detector.check(1200, 54_200)).toEqual(4000);
  expect(detector.check(1300, 54_300)).toEqual(undefined);
});

it('a backward step of the wall clock is no pause', () => {
  const detector = new PauseDetector();
  detector.check(1000, 50_000);
  expect(detector.check(1100, 48_100)).toEqual(undefined);
  // Later jumps are measured from the time after the step.
  expect(detector.check(1200, 48_200)).toEqual(undefined);
  expect(detector.check(1300, 50_300)).toEqual(2000);
});

it('lines are dropped and counted when the reader does not read', () => {
  const lines: string[] = [];
  const release: (() => void)[] = [];
  const blockedStream = new Writable({
    highWaterMark: 1,
    write: (chunk: Buffer, _encoding, done) => {
      lines.push(chunk.toString('utf8'));
      release.push(done);
    },
  });
  const output = new BoundedOutput(blockedStream);
  const line = `${'x'.repeat(1000)}\n`;
  for (let i = 0; i < 2000; i += 1) {
    output.write(line);
  }
  expect(output.dropped > 900).toEqual(true);
  expect(blockedStream.writableLength < 1_100_000).toEqual(true);
});

/** A stream that keeps what is written to it, one entry for each write. */
const recordingStream = (): { stream: Writable; writes: string[] } => {
  const writes: string[] = [];
  const stream = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      writes.push(chunk.toString('utf8'));
      done();
    },
  });
  return { stream, writes };
};

it('the lines of one turn are written together, in their order', async () => {
  const { stream, writes } = recordingStream();
  const output = new BoundedOutput(stream);
  output.write('a\n');
  output.write('b\n');
  await new Promise((resolve) => setImmediate(resolve));
  output.write('c\n');
  await new Promise((resolve) => setImmediate(resolve));
  expect(writes).toEqual(['a\nb\n', 'c\n']);
});

it('lines of the last turn are not lost at exit, nor written twice', async () => {
  const { stream, writes } = recordingStream();
  const output = new BoundedOutput(stream);
  output.write('last\n');
  output.flush();
  expect(writes).toEqual(['last\n']);
  await new Promise((resolve) => setImmediate(resolve));
  expect(writes).toEqual(['last\n']);
});

it('a tally shows every increment once, however often it is read', async () => {
  const registry = new Registry();
  const tally = new Tally({
    name: 'replies_total',
    help: 'Replies.',
    labelNames: ['call', 'reply'],
    registry,
  });
  tally.inc('submit', 'ended');
  tally.inc('submit', 'ended');
  tally.inc('status', 'state');
  await registry.metrics();
  tally.inc('submit', 'ended');
  const text = await registry.metrics();
  expect(text).toInclude('replies_total{call="submit",reply="ended"} 3\n');
  expect(text).toInclude('replies_total{call="status",reply="state"} 1');
});
