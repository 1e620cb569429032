import { Args, Flags } from '@oclif/core';
import { EntryCommand } from '../entry-command.js';
import type { JobState } from '../entry-client.js';

/** Submits a job from a file and optionally waits for its outcome. */
export default class Submit extends EntryCommand {
  static override description =
    'Submit a job from a TOML or JSON file. Submitting the same file again attaches to the same job.\n\nExit codes: 0 accepted or complete, 1 failed, 2 wrong input, 3 refused and not run, 4 may have run.';
  static override examples = [
    '<%= config.bin %> submit job.toml',
    '<%= config.bin %> submit job.json --first --wait --json',
  ];
  static override args = {
    file: Args.string({ required: true, description: 'File with the job.' }),
  };
  static override flags = {
    first: Flags.boolean({
      description:
        'State that this id was never submitted before, so that a refusal proves that no task ran.',
    }),
    wait: Flags.boolean({
      description: 'Wait until the job completes or fails.',
    }),
  };

  override async run(): Promise<JobState> {
    const { args, flags } = await this.parse(Submit);
    const content = await this.readDataFile(args.file);
    const body = { ...content, firstAttempt: flags.first };
    const job = await this.callEntry<JobState>(flags.entry, {
      method: 'POST',
      path: '/v1/jobs',
      body,
      retryBody: { ...content, firstAttempt: false },
      retryable: true,
    });
    return this.printJob(
      flags.wait ? await this.waitForJob(flags.entry, job.id) : job,
    );
  }
}
