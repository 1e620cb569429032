import { expect } from 'earl';
import { explainJob, parseLog } from '../lib/job-report.js';

const ID = '00000000000000a1';

const line = (
  second: number,
  name: string,
  message: string,
  fields: object,
): string => {
  const time = `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`;
  return JSON.stringify({ time, level: 'info', name, message, ...fields });
};

const log = (...lines: string[]) => parseLog(lines.join('\n'));

it('a prefix before the JSON is ignored and a truncated line is skipped', () => {
  const fullLine = line(1, 'e', 'job accepted', { job: ID });
  const lines = log(
    `  1.0 e ${fullLine}`,
    fullLine.slice(0, 40),
    'no JSON',
    '',
  );
  expect(lines.map(({ name, message }) => [name, message])).toEqual([
    ['e', 'job accepted'],
  ]);
});

it('a refused job is reported with its reason', () => {
  const { findings } = explainJob(
    log(
      line(1, 'e', 'job accepted', { job: ID }),
      line(2, 'e', 'job refused', { job: ID, reason: 'overload' }),
    ),
    ID,
  );
  expect(findings).toEqual(['e: refused for overload; no task has run']);
});

it('a delayed job is reported with its lost runs and the events of its worker', () => {
  const { lines, findings } = explainJob(
    log(
      line(1, 'e', 'runs placed', {
        job: ID,
        runs: '.0.0.0#1@vm',
        waitedMs: 0,
      }),
      line(2, 'vm', 'worker does not answer', { why: 'timed out' }),
      line(2, 'other', 'worker does not answer', { why: 'timed out' }),
      line(3, 'e', 'run ended early', {
        task: `${ID}.0.0.0`,
        run: 1,
        worker: 'vm',
        how: 'LOST',
      }),
      line(3, 'e', 'runs placed', {
        job: ID,
        runs: '.0.0.0#2@vm2',
        waitedMs: 2000,
      }),
      line(4, 'e', 'job ended', { job: ID, state: 'completed', tookMs: 3000 }),
    ),
    ID,
  );
  expect(lines.map((l) => l.name)).toEqual(['e', 'vm', 'e', 'e', 'e']);
  expect(findings).toEqual([
    'e: ended as completed after 3000 ms',
    '2 runs placed, 1 of them restarts; the last placed after 2000 ms',
    `${ID}.0.0.0 #1 ended LOST at vm`,
  ]);
});

it('an accepted job without an end is reported with its entry', () => {
  const { findings } = explainJob(
    log(line(1, 'e', 'job accepted', { job: ID })),
    ID,
  );
  expect(findings).toEqual([
    'no end logged: look for "incarnation begun" of e after the last line',
  ]);
});

it('a job that no line names gives one finding and no lines', () => {
  const { lines, findings } = explainJob(log(line(1, 'e', 'started', {})), ID);
  expect(lines).toEqual([]);
  expect(findings.length).toEqual(1);
});

it('a job that crashed workers is reported with the crashes', () => {
  const crash = (second: number, vm: string): string =>
    line(second, vm, 'worker crashed', {
      runs: 2,
      names: `0000000000000077.0.0.0#1@900ms ${ID}.0.0.0#1@12ms`,
    });
  const { findings } = explainJob(
    log(
      line(1, 'e', 'job accepted', { job: ID }),
      crash(2, 'vm'),
      crash(4, 'vm2'),
      line(5, 'e', 'tasks given up, they crash workers', {
        job: ID,
        names: `${ID}.0.0.0 (12, 12 ms)`,
      }),
    ),
    ID,
  );
  const crashed = (vm: string): string =>
    `worker of ${vm} crashed with 2 active runs, of this job ${ID}.0.0.0#1@12ms`;
  expect(findings).toEqual([
    `e: failed, since a task crashes the workers that start it: ${ID}.0.0.0 (12, 12 ms)`,
    crashed('vm'),
    crashed('vm2'),
  ]);
});
