import { z } from 'zod';
import { jobSchema, requestSchema, ticketSchema } from './schemas.js';

const PROBLEM_SCHEMA = {
  type: 'object',
  required: ['type', 'title', 'status', 'detail', 'runState'],
  properties: {
    type: { type: 'string' },
    title: { type: 'string' },
    status: { type: 'integer' },
    detail: { type: 'string' },
    runState: { enum: ['not-run', 'may-have-run', 'ran'] },
    retryAfterMs: { type: 'number' },
  },
};

const PROBLEM = {
  description: 'A refusal or failure, with what the caller may conclude.',
  content: { 'application/problem+json': { schema: PROBLEM_SCHEMA } },
};

const ID_PARAMETER = {
  name: 'id',
  in: 'path',
  required: true,
  schema: { type: 'string' },
};

const WAIT_PARAMETER = {
  name: 'wait',
  in: 'query',
  description: 'Milliseconds to wait for the outcome.',
  schema: { type: 'number', minimum: 0 },
};

/** @returns The OpenAPI description of the HTTP interface of an entry. */
export const openApiDocument = (): object => ({
  openapi: '3.1.0',
  info: {
    title: 'sapphiremux',
    version: '0.1.0',
    description: 'Jobs of many short tasks, single requests, change tickets.',
  },
  paths: {
    '/v1/jobs': {
      post: operation('Submit a job, or attach to it', {
        body: jobSchema,
        parameters: [WAIT_PARAMETER],
        ok: 'The state of the job; status 202 while it is open.',
      }),
    },
    '/v1/jobs/{id}': {
      get: operation('Read the state of a job', {
        parameters: [ID_PARAMETER, WAIT_PARAMETER],
        ok: 'The state of the job.',
      }),
    },
    '/v1/jobs/{id}/cancel': {
      post: operation('Give a job up', {
        parameters: [ID_PARAMETER, WAIT_PARAMETER],
        ok: 'The state of the job.',
      }),
    },
    '/v1/requests': {
      post: operation('Run one request', {
        body: requestSchema,
        ok: 'The whole answer of the endpoint, with its status.',
      }),
    },
    '/v1/tickets': {
      get: operation('List accepted tickets', { ok: 'The tickets.' }),
      post: operation('Propose a change ticket', {
        body: ticketSchema,
        ok: 'The number of the ticket and the entries that have it.',
      }),
    },
    '/v1/configuration': {
      get: operation('Read the configuration', { ok: 'What is in force.' }),
    },
    '/v1/members': {
      get: operation('List entries and runners', { ok: 'What is known.' }),
    },
  },
});

interface OperationOptions {
  readonly body?: z.ZodType;
  readonly parameters?: readonly object[];
  readonly ok: string;
}

const operation = (summary: string, options: OperationOptions): object => ({
  summary,
  ...(options.parameters ? { parameters: options.parameters } : {}),
  ...(options.body ? { requestBody: requestBody(options.body) } : {}),
  responses: { '2XX': { description: options.ok }, default: PROBLEM },
});

const requestBody = (schema: z.ZodType): object => ({
  required: true,
  content: {
    'application/json': { schema: z.toJSONSchema(schema, { io: 'input' }) },
  },
});
