/** Exit codes of the command-line client. */
export enum ExitCode {
  /** The command succeeded; a job is accepted, open or complete. */
  Ok = 0,
  /**
   * The job has failed and its answer states the run state of each task, or an
   * endpoint has answered a single request with an HTTP error status.
   */
  Failed = 1,
  /** An argument, a file or the request is invalid. */
  Invalid = 2,
  /** Refused or not sent; no task has run. */
  NotRun = 3,
  /** No response or no result; tasks may have run. */
  MayHaveRun = 4,
}
