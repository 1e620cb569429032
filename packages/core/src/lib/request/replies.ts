import { RunState } from '../messages.js';
import { ErrorCode } from '../process/entry-events.js';
import type { CallerError, Reply } from '../process/entry-events.js';
import type { JobSpec } from './job-spec.js';

/** A refusal before it is known what it proves. */
export type Refusal = Omit<CallerError, 'runState'>;

const RETRY_AFTER_MS = 1000;

/** This entry is not ready, stops, or has been replaced. */
export const NOT_READY: Refusal = {
  code: ErrorCode.Unavailable,
  detail: 'This entry does not take new work now; another one may.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** A submission could not be claimed. */
export const CLAIM_REFUSED: Refusal = {
  code: ErrorCode.Unavailable,
  detail: 'The store does not answer, so the submission was not accepted.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** @returns The answer that carries an error. */
export const errorReply = (error: CallerError): Reply => ({
  kind: 'error',
  error,
});

/** @returns A refusal of something that provably did not run. */
export const notRunReply = (refusal: Refusal): Reply =>
  errorReply({ ...refusal, runState: RunState.NOT_RUN });

/** @returns An answer that proves nothing about the work. */
export const unknownReply = (refusal: Refusal): Reply =>
  errorReply({ ...refusal, runState: RunState.MAY_HAVE_RUN });

/**
 * Refuses a submission of which nothing was started here.
 *
 * An earlier attempt with the same id may have been accepted elsewhere, so the
 * refusal proves "not run" only for a first attempt.
 *
 * @param spec - The submission.
 * @param refusal - Why it is refused.
 * @returns The answer.
 */
export const refuseSubmission = (spec: JobSpec, refusal: Refusal): Reply =>
  spec.firstAttempt ? notRunReply(refusal) : unknownReply(refusal);

/** @returns The answer to a submission whose id stands for other content. */
export const conflictReply = (id: string): Reply =>
  notRunReply({
    code: ErrorCode.Conflict,
    detail: `Submission "${id}" exists with other content; use a new id for new content.`,
  });

/** @returns The answer to a submission whose claim is not confirmed. */
export const pendingReply = (id: string): Reply =>
  unknownReply({
    code: ErrorCode.Pending,
    detail: `The store has not confirmed submission "${id}" yet; submit it again with the same id to attach to it.`,
    retryAfterMs: RETRY_AFTER_MS,
  });

/** @returns The answer about a job that no row names. */
export const unknownJobReply = (id: string): Reply =>
  // An earlier submission may still be on its way.
  unknownReply({
    code: ErrorCode.NotFound,
    detail: `No job "${id}" is known.`,
  });

/** The state of a job can't be read. */
export const STATE_UNREADABLE = unknownReply({
  code: ErrorCode.Unavailable,
  detail: 'The state of the job can not be read now.',
  retryAfterMs: RETRY_AFTER_MS,
});

/** The incarnation that was asked has been replaced. */
export const REPLACED = unknownReply({
  code: ErrorCode.Unavailable,
  detail: 'This entry has been replaced; ask again to reach the new owner.',
  retryAfterMs: RETRY_AFTER_MS,
});
