import { PriorityClass } from '@sapphiremux/core';
import { z } from 'zod';

const MAX_TASKS = 800;
const MAX_ID_LENGTH = 200;
const MAX_DEADLINE_MS = 24 * 3_600_000;

const id = z
  .string()
  .min(1)
  .max(MAX_ID_LENGTH)
  .regex(
    /^[A-Za-z0-9._:-]+$/,
    'expected letters, digits, dots, colons, dashes and underscores',
  );

const resources = z.strictObject({
  cores: z.number().min(0).default(0).describe('Processor cores.'),
  memoryMb: z.number().min(0).default(0).describe('Memory in megabytes.'),
  accelerators: z.number().min(0).default(0).describe('Accelerators.'),
});

const task = z.strictObject({
  endpoint: z.string().min(1).describe('Endpoint that executes the task.'),
  payload: z.unknown().describe('Sent to the endpoint as JSON.'),
  needs: resources.optional().describe('Resources held while it runs.'),
});

const common = {
  desk: z.string().min(1).describe('The desk whose quota is drawn on.'),
  priority: z
    .enum(PriorityClass)
    .default(PriorityClass.Routine)
    .describe('Urgent work is placed first.'),
  deadlineMs: z
    .number()
    .positive()
    .max(MAX_DEADLINE_MS)
    .describe('Milliseconds from now after which the work is given up.'),
  dataCentres: z
    .array(z.string())
    .default([])
    .describe('Data centres that may serve the work; empty means any.'),
};

/** Body of a job submission. */
export const jobSchema = z.strictObject({
  id: id.describe('Idempotency key: the same id never runs twice.'),
  ...common,
  firstAttempt: z
    .boolean()
    .default(false)
    .describe(
      'States that the id was never submitted before and will not be again until this attempt is answered or given up; only then can a refusal prove that nothing ran.',
    ),
  tasks: z.array(task).min(1).max(MAX_TASKS),
});

/** Body of a single request. */
export const requestSchema = z.strictObject({
  ...common,
  endpoint: z.string().min(1).describe('Endpoint that executes the request.'),
  idempotent: z
    .boolean()
    .default(false)
    .describe('Allows the request to run more than once.'),
  payload: z.unknown().describe('Sent to the endpoint as JSON.'),
});

const name = z.string().min(1);

const setting = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('data-centre'),
    inService: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal('endpoint'),
    inService: z.boolean(),
    dataCentres: z.array(name),
  }),
  z.strictObject({
    kind: z.literal('desk'),
    ratePerSecond: z.number().positive(),
    burst: z.number().positive(),
  }),
  z.strictObject({
    kind: z.literal('worker-shape'),
    cores: z.number().positive(),
    memoryMb: z.number().positive(),
    accelerators: z.number().min(0),
  }),
]);

/** Body of a change ticket. */
export const ticketSchema = z.strictObject({
  number: z
    .int()
    .positive()
    .optional()
    .describe('The number that it must take; absent means the next one.'),
  author: name,
  reason: name,
  changes: z
    .array(z.strictObject({ subject: name, setting: setting.nullable() }))
    .min(1),
});

/** Query of the calls that submit, read or cancel a job. */
export const waitSchema = z.object({
  wait: z.coerce
    .number()
    .min(0)
    .default(0)
    .describe('Milliseconds to wait for the outcome.'),
});
