import { HttpException } from '@nestjs/common';
import type { z } from 'zod';

const HTTP_UNPROCESSABLE = 422;

/**
 * Validates the body or the query of a request.
 *
 * @param schema - Schema of the expected value.
 * @param value - The value that the caller sent.
 * @returns The validated value.
 * @throws HttpException with status 422 that lists all issues.
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
