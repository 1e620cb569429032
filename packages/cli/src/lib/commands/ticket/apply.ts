import { Args, Flags } from '@oclif/core';
import { TicketCommand } from '../../ticket-command.js';
import { diffLines } from '../../tickets.js';
import type { Change, TicketReceipt } from '../../tickets.js';

/** Proposes a ticket from a file. */
export default class TicketApply extends TicketCommand {
  static override description =
    'Propose a change ticket from a TOML or JSON file. It shows what would change, the number that the ticket takes, and where it is in force.\n\nExit codes: 0 accepted, 2 wrong input or another ticket took the number, 3 not accepted.';
  static override examples = [
    '<%= config.bin %> ticket apply change.toml --dry-run',
    '<%= config.bin %> ticket apply change.toml',
  ];
  static override args = {
    file: Args.string({ required: true, description: 'File with the ticket.' }),
  };
  static override flags = {
    'dry-run': Flags.boolean({
      description: 'Show what would change and stop.',
    }),
  };

  override async run(): Promise<TicketReceipt | { changes: string[] }> {
    const { args, flags } = await this.parse(TicketApply);
    const body = await this.readData(args.file);
    const config = await this.readConfiguration(flags.entry);
    const proposed = body.changes;
    const changes = Array.isArray(proposed) ? (proposed as Change[]) : [];
    const lines = diffLines(config, changes);
    lines.forEach((line) => {
      this.log(line);
    });
    if (flags['dry-run']) {
      this.log(`would take number ${String(config.version + 1)}`);
      return { changes: lines };
    }
    // The number ties the ticket to the state that the diff was made from.
    const number = body.number ?? config.version + 1;
    return this.propose(flags.entry, { ...body, number });
  }
}
