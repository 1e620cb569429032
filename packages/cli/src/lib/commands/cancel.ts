import { Args } from '@oclif/core';
import { EntryCommand } from '../entry-command.js';
import type { JobState } from '../entry-client.js';

/** Maximum time that the entry waits for the job to end before it replies. */
const CANCEL_WAIT_MS = 5000;

/** Cancels a job, waits briefly for it to end and prints its state. */
export default class Cancel extends EntryCommand {
  static override description =
    'Cancel a job. Tasks that have started may still run; the answer states the run state of each task.';
  static override examples = ['<%= config.bin %> cancel job-17'];
  static override args = {
    id: Args.string({ required: true, description: 'Id of the job.' }),
  };

  override async run(): Promise<JobState> {
    const { args, flags } = await this.parse(Cancel);
    const id = encodeURIComponent(args.id);
    const job = await this.callEntry<JobState>(flags.entry, {
      method: 'POST',
      path: `/v1/jobs/${id}/cancel?wait=${String(CANCEL_WAIT_MS)}`,
      retryable: true,
    });
    return this.printJob(job);
  }
}
