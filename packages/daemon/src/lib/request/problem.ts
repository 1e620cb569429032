import { ErrorCode, RunState } from '@sapphiremux/core';
import type { CallerError } from '@sapphiremux/core';

/** Whether a request or task has run, as named in the HTTP interface. */
export enum RunStateName {
  NotRun = 'not-run',
  MayHaveRun = 'may-have-run',
  Ran = 'ran',
}

/** Problem details (RFC 9457), extended by the run state and a retry delay. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly runState: RunStateName;
  readonly retryAfterMs?: number;
}

const HTTP_STATUS: Readonly<Record<ErrorCode, number>> = {
  [ErrorCode.Invalid]: 422,
  [ErrorCode.Conflict]: 409,
  [ErrorCode.NotFound]: 404,
  [ErrorCode.OverQuota]: 429,
  [ErrorCode.Unavailable]: 503,
  [ErrorCode.Pending]: 503,
  [ErrorCode.Deadline]: 504,
  [ErrorCode.Lost]: 502,
};

const TITLES: Readonly<Record<ErrorCode, string>> = {
  [ErrorCode.Invalid]: 'The request can never succeed as it is',
  [ErrorCode.Conflict]: 'The id or number is in use',
  [ErrorCode.NotFound]: 'No such job',
  [ErrorCode.OverQuota]: 'The desk is over its quota',
  [ErrorCode.Unavailable]: 'Not available now',
  [ErrorCode.Pending]: 'Not confirmed by the store yet',
  [ErrorCode.Deadline]: 'The deadline passed',
  [ErrorCode.Lost]: 'The result is lost',
};

/**
 * @param state - Run state of a task.
 * @returns Its name in the HTTP interface; without proof it may have run.
 */
export const runStateName = (state: RunState): RunStateName => {
  switch (state) {
    case RunState.NOT_RUN:
      return RunStateName.NotRun;
    case RunState.RAN:
      return RunStateName.Ran;
    case RunState.MAY_HAVE_RUN:
    case RunState.UNSPECIFIED:
      return RunStateName.MayHaveRun;
  }
};

/**
 * @param error - A refusal or failure.
 * @returns The problem details for the response.
 */
export const toProblem = (error: CallerError): Problem => ({
  type: `urn:sapphiremux:problem:${error.code}`,
  title: TITLES[error.code],
  status: HTTP_STATUS[error.code],
  detail: error.detail,
  runState: runStateName(error.runState),
  ...(error.retryAfterMs === undefined
    ? {}
    : { retryAfterMs: error.retryAfterMs }),
});
