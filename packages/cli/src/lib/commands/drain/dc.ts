import { Args } from '@oclif/core';
import { TicketCommand } from '../../ticket-command.js';
import type { TicketReceipt } from '../../tickets.js';

/** Takes a data centre out of service by proposing a ticket. */
export default class DrainDataCentre extends TicketCommand {
  static override description =
    'Take a data centre out of service: no new task starts there, and running tasks finish.';
  static override examples = ['<%= config.bin %> drain dc north'];
  static override args = {
    name: Args.string({
      required: true,
      description: 'Name of the data centre.',
    }),
  };

  override async run(): Promise<TicketReceipt> {
    const { args, flags } = await this.parse(DrainDataCentre);
    return this.setInService(flags.entry, `data-centre/${args.name}`, false);
  }
}
