import { readFileSync } from 'node:fs';
import { expect } from 'earl';
import { formatProblem, parseSettings } from '../index.js';

const EXAMPLES = new URL('../../../../examples/', import.meta.url);

for (const name of ['entry.toml', 'runner.toml']) {
  it(`example ${name} is valid`, () => {
    const text = readFileSync(new URL(name, EXAMPLES), 'utf8');
    const parsed = parseSettings(name, text);
    const problems = parsed.isErr() ? parsed.error.map(formatProblem) : [];
    expect(problems).toEqual([]);
  });
}
