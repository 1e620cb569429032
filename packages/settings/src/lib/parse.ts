import { parse } from 'smol-toml';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { z } from 'zod';
import { settingsSchema } from './schema.js';
import type { Settings } from './schema.js';

/** One invalid key of a settings file, or a file that is not valid TOML. */
export interface SettingsProblem {
  readonly file: string;
  /** Dotted path of the key; empty when the file can't be parsed. */
  readonly key: string;
  /** What the parser expected at this key. */
  readonly expected: string;
}

/**
 * Parses settings and validates every key.
 *
 * @param file - Name of the file, for messages.
 * @param text - Content of the file in TOML.
 * @returns The settings with defaults filled in, or all problems.
 */
export const parseSettings = (
  file: string,
  text: string,
): Result<Settings, SettingsProblem[]> => {
  let data: unknown;
  try {
    data = parse(text);
  } catch (err) {
    const expected = `valid TOML: ${(err as Error).message.split('\n')[0] ?? ''}`;
    return Err([{ file, key: '', expected }]);
  }
  const parsed = settingsSchema.safeParse(data);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err(parsed.error.issues.flatMap((issue) => toProblems(file, issue)));
};

/**
 * Formats a problem as a one-line error message.
 *
 * @param problem - A problem of a settings file.
 * @returns The file, the key and what was expected, separated by colons.
 */
export const formatProblem = (problem: SettingsProblem): string =>
  problem.key === ''
    ? `${problem.file}: ${problem.expected}`
    : `${problem.file}: ${problem.key}: ${problem.expected}`;

const toProblems = (
  file: string,
  issue: z.core.$ZodIssue,
): SettingsProblem[] => {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      file,
      key: [...path, key].join('.'),
      expected: 'unknown key; remove it or check its spelling',
    }));
  }
  return [{ file, key: path.join('.'), expected: issue.message }];
};
