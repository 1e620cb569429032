/** Exit codes of the command-line client. */
export enum ExitCode {
  /** The answer is complete. */
  Ok = 0,
  /** The job has failed; its answer states the run state of each task. */
  Failed = 1,
  /** An argument, a file or the request is invalid. */
  Invalid = 2,
  /** Refused or not sent; no task has run. */
  NotRun = 3,
  /** No response or no result; tasks may have run. */
  MayHaveRun = 4,
}
