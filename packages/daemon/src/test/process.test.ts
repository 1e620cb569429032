import { Writable } from 'node:stream';
import { expect } from 'earl';
import { BoundedOutput } from '../lib/process/bounded-output.js';
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
