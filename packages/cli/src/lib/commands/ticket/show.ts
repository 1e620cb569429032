import { Args } from '@oclif/core';
import { EntryCommand } from '../../entry-command.js';
import { ExitCode } from '../../exit-codes.js';
import type { Ticket } from '../../tickets.js';

/** Prints one accepted ticket with its changes. */
export default class TicketShow extends EntryCommand {
  static override description = 'Show an accepted ticket.';
  static override examples = ['<%= config.bin %> ticket show 12'];
  static override args = {
    number: Args.integer({
      required: true,
      description: 'Number of the ticket.',
    }),
  };

  override async run(): Promise<Ticket> {
    const { args, flags } = await this.parse(TicketShow);
    const { tickets } = await this.callEntry<{ tickets: readonly Ticket[] }>(
      flags.entry,
      { method: 'GET', path: '/v1/tickets', retryable: true },
    );
    const ticket = tickets.find((t) => t.number === args.number);
    if (!ticket) {
      this.error(`Ticket ${String(args.number)} is not known at this entry.`, {
        exit: ExitCode.Invalid,
      });
    }
    this.log(`ticket ${String(ticket.number)} by ${ticket.author}`);
    this.log(ticket.reason);
    for (const { subject, setting } of ticket.changes) {
      this.log(`${subject}: ${JSON.stringify(setting)}`);
    }
    return ticket;
  }
}
