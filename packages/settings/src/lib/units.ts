import { z } from 'zod';

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/;

/** Parses a duration with a unit, such as `"500ms"`, into milliseconds. */
export const durationMs = z.string().transform((text, ctx) => {
  const match = DURATION_PATTERN.exec(text);
  const unitMs = MS_PER_UNIT[match?.[2] ?? ''];
  if (!match || unitMs === undefined) {
    ctx.addIssue({
      code: 'custom',
      message: 'expected a duration with a unit, such as "500ms", "2s" or "1h"',
    });
    return z.NEVER;
  }
  return Number(match[1]) * unitMs;
});

const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1024,
  MiB: 1024 * 1024,
};

const SIZE_PATTERN = /^(\d+)(B|KiB|MiB)$/;

/** Parses a size with a unit, such as `"4MiB"`, into bytes. */
export const sizeBytes = z.string().transform((text, ctx) => {
  const match = SIZE_PATTERN.exec(text);
  const unitBytes = BYTES_PER_UNIT[match?.[2] ?? ''];
  if (!match || unitBytes === undefined) {
    ctx.addIssue({
      code: 'custom',
      message: 'expected a size with a unit, such as "64KiB" or "4MiB"',
    });
    return z.NEVER;
  }
  return Number(match[1]) * unitBytes;
});
