import { expect } from 'earl';
import { formatProblem, parseSettings } from '../index.js';

const RUNNER = `
role = "runner"
id = "runner-1"
data_centre = "north"
[listen]
host = "127.0.0.1"
port = 7101
[store]
url = "http://127.0.0.1:7000"
[local]
port = 7102
`;

const problemsOf = (text: string): string[] => {
  const parsed = parseSettings('file.toml', text);
  return parsed.isErr() ? parsed.error.map(formatProblem) : [];
};

it('defaults are filled in', () => {
  const settings = parseSettings('file.toml', RUNNER).unwrap();
  expect(settings.store.timeout).toEqual(1000);
  expect(settings.log.format).toEqual('json');
});

it('an unknown key is reported with its path', () => {
  expect(problemsOf(`${RUNNER}\nprot = 1`)).toEqual([
    'file.toml: local.prot: unknown key; remove it or check its spelling',
  ]);
});

it('a duration with an unknown unit is reported with its path', () => {
  const text = RUNNER.replace('[local]', 'timeout = "5 parsecs"\n[local]');
  expect(problemsOf(text)).toEqual([
    'file.toml: store.timeout: expected a duration with a unit, such as "500ms", "2s" or "1h"',
  ]);
});

it('a missing required key is reported with its path', () => {
  const [problem = ''] = problemsOf(RUNNER.replace(/url = .*/, ''));
  expect(problem.startsWith('file.toml: store.url: ')).toEqual(true);
});

it('invalid TOML is reported with the file name', () => {
  const [problem = ''] = problemsOf('role = ');
  expect(problem.startsWith('file.toml: valid TOML: ')).toEqual(true);
});
