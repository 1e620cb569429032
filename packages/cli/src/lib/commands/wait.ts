import { Args } from '@oclif/core';
import { EntryCommand } from '../entry-command.js';
import type { JobState } from '../entry-client.js';

/** Waits until a job completes or fails and prints its answers. */
export default class Wait extends EntryCommand {
  static override description =
    'Wait until a job completes or fails, and print its answers.\n\nExit codes: 0 complete, 1 failed, 2 no such job, 3 no entry reached, 4 no answer.';
  static override examples = ['<%= config.bin %> wait job-17 --json'];
  static override args = {
    id: Args.string({ required: true, description: 'Id of the job.' }),
  };

  override async run(): Promise<JobState> {
    const { args, flags } = await this.parse(Wait);
    return this.printJob(await this.waitForJob(flags.entry, args.id));
  }
}
