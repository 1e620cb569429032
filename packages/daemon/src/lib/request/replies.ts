import type { JobStatus, Outcome, Reply } from '@sapphiremux/core';
import type { FastifyReply } from 'fastify';
import { runStateName, toProblem } from './problem.js';
import type { Problem, RunStateName } from './problem.js';

const MS_PER_SECOND = 1000;
const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;

/** The endpoint's answer to one task in the body of an HTTP response. */
export interface TaskAnswerBody {
  readonly status: number;
  readonly contentType: string;
  /** The answer, when it is valid UTF-8. */
  readonly text?: string;
  /** The answer in Base64, when it is not valid UTF-8. */
  readonly base64?: string;
}

/** State of a job in the body of an HTTP response. */
export interface JobBody {
  readonly id: string;
  readonly desk: string;
  readonly state: 'open' | 'complete' | 'failed';
  readonly taskCount: number;
  readonly doneCount: number;
  /** One answer per task, in the order of submission; only when complete. */
  readonly answers?: readonly TaskAnswerBody[];
  /** Why the job has no answers; only when failed. */
  readonly reason?: string;
  readonly detail?: string;
  /** Whether each task has run, as far as known; only when failed. */
  readonly runStates?: readonly RunStateName[];
}

/**
 * @param status - State of a job.
 * @returns The body of the response.
 */
export const toJobBody = (status: JobStatus): JobBody => {
  const { id, desk, taskCount, doneCount, outcome } = status;
  const head = { id, desk, taskCount, doneCount };
  return outcome
    ? { ...head, ...toOutcomeBody(outcome) }
    : { ...head, state: 'open' };
};

/**
 * Sends the reply of an entry as an HTTP response.
 *
 * @param res - The response to send.
 * @param reply - The reply of the entry.
 */
export const sendReply = async (
  res: FastifyReply,
  reply: Reply,
): Promise<void> => {
  switch (reply.kind) {
    case 'job':
      await res
        .status(reply.status.outcome ? HTTP_OK : HTTP_ACCEPTED)
        .send(toJobBody(reply.status));
      return;
    case 'answer':
      await res
        .status(reply.status)
        .header('content-type', reply.contentType)
        .header('x-run-state', 'ran')
        .send(reply.body);
      return;
    case 'ticket':
      await res.status(HTTP_OK).send(reply.receipt);
      return;
    case 'error':
      await sendProblem(res, toProblem(reply.error));
      return;
    case 'forward':
      throw new Error('A forwarded call must be answered by its owner.');
  }
};

/**
 * Sends problem details as an HTTP response.
 *
 * @param res - The response to send.
 * @param problem - The problem details.
 */
export const sendProblem = async (
  res: FastifyReply,
  problem: Problem,
): Promise<void> => {
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
    res.header('retry-after', String(Math.max(1, seconds)));
  }
  await res
    .status(problem.status)
    .header('content-type', 'application/problem+json')
    .send(JSON.stringify(problem));
};

const toOutcomeBody = (
  outcome: Outcome,
): Pick<JobBody, 'state' | 'answers' | 'reason' | 'detail' | 'runStates'> => {
  switch (outcome.kind) {
    case 'complete':
      return {
        state: 'complete',
        answers: outcome.answers.map(({ status, contentType, body }) => ({
          status,
          contentType,
          ...decodeBody(body),
        })),
      };
    case 'failed':
      return {
        state: 'failed',
        reason: outcome.reason,
        detail: outcome.detail,
        runStates: outcome.runStates.map(runStateName),
      };
  }
};

const decodeBody = (
  base64: string,
): Pick<TaskAnswerBody, 'text' | 'base64'> => {
  const bytes = Buffer.from(base64, 'base64');
  const text = bytes.toString('utf8');
  return Buffer.from(text, 'utf8').equals(bytes) ? { text } : { base64 };
};
