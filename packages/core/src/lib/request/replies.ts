import { RunState } from '../messages.js';
import { ErrorCode } from '../process/entry-events.js';
import type { CallerError, Reply } from '../process/entry-events.js';
import type { JobSpec } from './job-spec.js';

/** A refusal that does not yet say whether the work may have run. */
export type Refusal = Omit<CallerError, 'runState'>;

const RETRY_AFTER_MS = 1000;

/** This entry is not ready, is stopping or has been replaced. */
export const NOT_READY: Refusal = {
  code: ErrorCode.Unavailable,
  detail: 'This entry does not take new work now; another one may.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** The claim of a submission was abandoned. */
export const CLAIM_REFUSED: Refusal = {
  code: ErrorCode.Unavailable,
  detail: 'The store does not answer, so the submission was not accepted.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** @returns A reply that carries an error. */
export const errorReply = (error: CallerError): Reply => ({
  kind: 'error',
  error,
});

/** @returns A refusal of work that provably did not run. */
export const notRunReply = (refusal: Refusal): Reply =>
  errorReply({ ...refusal, runState: RunState.NOT_RUN });

/** @returns A reply that leaves open whether the work has run. */
export const mayHaveRunReply = (refusal: Refusal): Reply =>
  errorReply({ ...refusal, runState: RunState.MAY_HAVE_RUN });

/**
 * Refuses a submission of which this entry has started no task.
 *
 * Another entry may have accepted an earlier attempt with the same id, so the
 * refusal proves that the job has not run only for a first attempt.
 *
 * @param spec - The submission.
 * @param refusal - Why it is refused.
 * @returns The reply.
 */
export const refuseSubmission = (spec: JobSpec, refusal: Refusal): Reply =>
  spec.firstAttempt ? notRunReply(refusal) : mayHaveRunReply(refusal);

/** @returns The reply to a submission whose id is used for other content. */
export const conflictReply = (id: string): Reply =>
  notRunReply({
    code: ErrorCode.Conflict,
    detail: `Submission "${id}" exists with other content; use a new id for new content.`,
  });

/** @returns The reply to a submission whose claim is not confirmed. */
export const pendingReply = (id: string): Reply =>
  mayHaveRunReply({
    code: ErrorCode.Pending,
    detail: `The store has not confirmed submission "${id}" yet; submit it again with the same id to attach to it.`,
    retryAfterMs: RETRY_AFTER_MS,
  });

/** @returns The reply to a status request for a job without a row. */
export const unknownJobReply = (id: string): Reply =>
  // A submission with this id may still be in transit.
  mayHaveRunReply({
    code: ErrorCode.NotFound,
    detail: `No job "${id}" is known.`,
  });

/** The state of the job can't be read from the store. */
export const STATE_UNREADABLE = mayHaveRunReply({
  code: ErrorCode.Unavailable,
  detail: 'The state of the job can not be read now.',
  retryAfterMs: RETRY_AFTER_MS,
});

/** The entry incarnation that received the call has been replaced. */
export const ENTRY_REPLACED = mayHaveRunReply({
  code: ErrorCode.Unavailable,
  detail: 'This entry has been replaced; ask again to reach the new owner.',
  retryAfterMs: RETRY_AFTER_MS,
});
