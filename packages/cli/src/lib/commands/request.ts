import { Args } from '@oclif/core';
import { EntryCommand } from '../entry-command.js';

/** Runs a single request at its endpoint and prints the response. */
export default class Request extends EntryCommand {
  static override description =
    'Run a single request from a TOML or JSON file and print the complete response of its endpoint. It is retried at another entry only if it is idempotent or proved not to have run.';
  static override examples = ['<%= config.bin %> request quote.toml'];
  static override args = {
    file: Args.string({
      required: true,
      description: 'File with the request.',
    }),
  };

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(Request);
    const body = await this.readDataFile(args.file);
    const answer = await this.callEntry(flags.entry, {
      method: 'POST',
      path: '/v1/requests',
      body,
      retryable: body.idempotent === true,
    });
    this.log(JSON.stringify(answer));
    return answer;
  }
}
