import { Args } from '@oclif/core';
import { EntryCommand } from '../entry-command.js';
import type { JobState } from '../entry-client.js';

/** Prints the current state of a job without waiting. */
export default class Status extends EntryCommand {
  static override description = 'Show the state of a job.';
  static override examples = ['<%= config.bin %> status job-17'];
  static override args = {
    id: Args.string({ required: true, description: 'Id of the job.' }),
  };

  override async run(): Promise<JobState> {
    const { args, flags } = await this.parse(Status);
    const job = await this.callEntry<JobState>(flags.entry, {
      method: 'GET',
      path: `/v1/jobs/${encodeURIComponent(args.id)}`,
      retryable: true,
    });
    return this.printJob(job);
  }
}
