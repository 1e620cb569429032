import { readFile } from 'node:fs/promises';
import { Command, Flags } from '@oclif/core';
import { parse } from 'smol-toml';
import type { Result } from 'ts-results-es';
import { EntryClient } from './entry-client.js';
import type { CallFailure, EntryCall, JobState } from './entry-client.js';
import { ExitCode } from './exit-codes.js';

/** Maximum time that an entry holds a poll until the job ends. */
const POLL_WAIT_MS = 20_000;
/** Delay after a failed poll if the entry does not state one. */
const RETRY_BACKOFF_MS = 500;
/** Number of failed polls, over the whole wait, that ends it with a failure. */
const MAX_FAILED_POLLS = 60;

/**
 * Base class of commands that call entries. Provides calls with failover, the
 * reading of input files and the printing of job states.
 */
export abstract class EntryCommand extends Command {
  static override enableJsonFlag = true;
  static override baseFlags = {
    entry: Flags.string({
      description:
        'Addresses of entries, separated by commas; they are tried in order.',
      env: 'SAPPHIREMUX_ENTRIES',
      helpValue: 'http://HOST:PORT',
      required: true,
    }),
  };

  /**
   * @param entries - Addresses of entries, separated by commas.
   * @param call - The call.
   * @returns The response; a failure ends the command with its exit code.
   */
  protected async callEntry<T>(entries: string, call: EntryCall): Promise<T> {
    return this.unwrap(await new EntryClient(entries.split(',')).call<T>(call));
  }

  /** @returns The value; a failure ends the command with its exit code. */
  protected unwrap<T>(result: Result<T, CallFailure>): T {
    if (result.isOk()) {
      return result.value;
    }
    this.error(result.error.message, { exit: result.error.exitCode });
  }

  /**
   * Reads a JSON file if its name ends in `.json`, and a TOML file otherwise.
   *
   * @param file - Path of the file.
   * @returns The parsed content.
   */
  protected async readDataFile(file: string): Promise<Record<string, unknown>> {
    try {
      const text = await readFile(file, 'utf8');
      return file.endsWith('.json')
        ? (JSON.parse(text) as Record<string, unknown>)
        : parse(text);
    } catch (err) {
      const line = (err as Error).message.split('\n')[0] ?? '';
      this.error(`${file}: ${line}`, { exit: ExitCode.Invalid });
    }
  }

  /**
   * Polls a job until it completes or fails. Retries failed polls, except
   * those that the entry rejects as invalid.
   *
   * @param entries - Addresses of entries, separated by commas.
   * @param id - Id of the job.
   * @returns The final state.
   */
  protected async waitForJob(entries: string, id: string): Promise<JobState> {
    const client = new EntryClient(entries.split(','));
    const path = `/v1/jobs/${encodeURIComponent(id)}?wait=${String(POLL_WAIT_MS)}`;
    let failures = 0;
    for (;;) {
      const result = await client.call<JobState>({
        method: 'GET',
        path,
        retryable: true,
      });
      if (result.isOk() && result.value.state !== 'open') {
        return result.value;
      }
      if (result.isErr()) {
        failures += 1;
        if (failures >= MAX_FAILED_POLLS || isPermanent(result.error)) {
          return this.unwrap(result);
        }
        const waitMs = result.error.problem?.retryAfterMs ?? RETRY_BACKOFF_MS;
        await new Promise((resolve) => setTimeout(resolve, waitMs));
      } else {
        this.printProgress(result.value);
      }
    }
  }

  /** Prints the progress of a job to stderr if that is a terminal. */
  protected printProgress(job: JobState): void {
    if (process.stderr.isTTY) {
      process.stderr.write(
        `${job.id}: ${String(job.doneCount)} of ${String(job.taskCount)} tasks answered\n`,
      );
    }
  }

  /**
   * Prints the state of a job and sets the exit code.
   *
   * @param job - The state.
   * @returns The state, for `--json`.
   */
  protected printJob(job: JobState): JobState {
    const count = `${String(job.doneCount)} of ${String(job.taskCount)} tasks answered`;
    this.log(`job ${job.id}: ${job.state}, ${count}`);
    if (job.state === 'failed') {
      this.log(`reason: ${job.reason ?? ''}. ${job.detail ?? ''}`);
      this.log(`tasks: ${countStates(job.runStates ?? [])}`);
      process.exitCode = ExitCode.Failed;
    }
    job.answers?.forEach((answer, index) => {
      this.log(`${String(index)}: ${JSON.stringify(answer)}`);
    });
    return job;
  }
}

const isPermanent = (failure: CallFailure): boolean =>
  failure.exitCode === ExitCode.Invalid;

const countStates = (states: readonly string[]): string => {
  const counts = new Map<string, number>();
  for (const state of states) {
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return [...counts].map(([s, n]) => `${String(n)} ${s}`).join(', ');
};
