import { Args } from '@oclif/core';
import { TicketCommand } from '../../ticket-command.js';
import type { TicketReceipt } from '../../tickets.js';

/** Takes an endpoint out of service by proposing a ticket. */
export default class DrainEndpoint extends TicketCommand {
  static override description =
    'Take an endpoint out of service in all data centres.';
  static override examples = ['<%= config.bin %> drain endpoint levy'];
  static override args = {
    name: Args.string({ required: true, description: 'Name of the endpoint.' }),
  };

  override async run(): Promise<TicketReceipt> {
    const { args, flags } = await this.parse(DrainEndpoint);
    return this.setInService(flags.entry, `endpoint/${args.name}`, false);
  }
}
