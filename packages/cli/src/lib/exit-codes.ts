/** Exit codes of the client. */
export enum ExitCode {
  /** The answer is complete. */
  Ok = 0,
  /** The job has failed; its answer says what is known of each task. */
  Failed = 1,
  /** The arguments, a file or the request itself is wrong. */
  Invalid = 2,
  /** Refused, and it is proved that the work did not run. */
  NotRun = 3,
  /** No answer or no result; the work may have run. */
  MayHaveRun = 4,
}
