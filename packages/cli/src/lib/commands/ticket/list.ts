import { EntryCommand } from '../../entry-command.js';
import type { Ticket } from '../../tickets.js';

/** Lists the accepted tickets, oldest first. */
export default class TicketList extends EntryCommand {
  static override description = 'List the accepted tickets, oldest first.';
  static override examples = ['<%= config.bin %> ticket list'];

  override async run(): Promise<readonly Ticket[]> {
    const { flags } = await this.parse(TicketList);
    const { tickets } = await this.callEntry<{ tickets: readonly Ticket[] }>(
      flags.entry,
      { method: 'GET', path: '/v1/tickets', retryable: true },
    );
    for (const { number, atMs, author, reason } of tickets) {
      const at = new Date(atMs).toISOString();
      this.log(`${String(number)} ${at} ${author}: ${reason}`);
    }
    return tickets;
  }
}
