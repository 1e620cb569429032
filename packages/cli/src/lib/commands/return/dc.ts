import { Args } from '@oclif/core';
import { TicketCommand } from '../../ticket-command.js';
import type { TicketReceipt } from '../../tickets.js';

/** Brings a data centre back into service by proposing a ticket. */
export default class ReturnDataCentre extends TicketCommand {
  static override description = 'Bring a data centre back into service.';
  static override examples = ['<%= config.bin %> return dc north'];
  static override args = {
    name: Args.string({
      required: true,
      description: 'Name of the data centre.',
    }),
  };

  override async run(): Promise<TicketReceipt> {
    const { args, flags } = await this.parse(ReturnDataCentre);
    return this.setInService(flags.entry, `data-centre/${args.name}`, true);
  }
}
