import { Args } from '@oclif/core';
import { TicketCommand } from '../../ticket-command.js';
import type { TicketReceipt } from '../../tickets.js';

/** Brings an endpoint back into service by proposing a ticket. */
export default class ReturnEndpoint extends TicketCommand {
  static override description = 'Bring an endpoint back into service.';
  static override examples = ['<%= config.bin %> return endpoint levy'];
  static override args = {
    name: Args.string({ required: true, description: 'Name of the endpoint.' }),
  };

  override async run(): Promise<TicketReceipt> {
    const { args, flags } = await this.parse(ReturnEndpoint);
    return this.setInService(flags.entry, `endpoint/${args.name}`, true);
  }
}
