import { HttpException } from '@nestjs/common';
import type { z } from 'zod';

const HTTP_UNPROCESSABLE = 422;

/**
 * @param schema - What is expected.
 * @param value - What a caller sent.
 * @returns The checked value.
 * @throws An exception that the problem filter answers with status 422.
 */
export const validate = <T extends z.ZodType>(
  schema: T,
  value: unknown,
): z.output<T> => {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return parsed.data;
  }
  const details = parsed.error.issues.map((issue) => {
    const path = issue.path.map(String).join('.');
    return path === '' ? issue.message : `${path}: ${issue.message}`;
  });
  throw new HttpException(details.join('; '), HTTP_UNPROCESSABLE);
};
