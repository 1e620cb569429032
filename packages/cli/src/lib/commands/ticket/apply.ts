import { Args, Flags } from '@oclif/core';
import { TicketCommand } from '../../ticket-command.js';
import { diffLines } from '../../tickets.js';
import type { Change, TicketReceipt } from '../../tickets.js';

/** Proposes a change ticket from a file and prints what it changes. */
export default class TicketApply extends TicketCommand {
  static override description =
    'Propose a change ticket from a TOML or JSON file. Prints the changes, the number of the ticket and the entries at which it is in force.\n\nExit codes: 0 accepted, 2 wrong input or number already taken by another ticket, 3 not accepted, 4 may have been accepted.';
  static override examples = [
    '<%= config.bin %> ticket apply change.toml --dry-run',
    '<%= config.bin %> ticket apply change.toml',
  ];
  static override args = {
    file: Args.string({ required: true, description: 'File with the ticket.' }),
  };
  static override flags = {
    'dry-run': Flags.boolean({
      description: 'Print the changes without proposing the ticket.',
    }),
  };

  override async run(): Promise<TicketReceipt | { changes: string[] }> {
    const { args, flags } = await this.parse(TicketApply);
    const body = await this.readDataFile(args.file);
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
    // The number makes the proposal conditional on the version that the diff
    // was computed from.
    const number = body.number ?? config.version + 1;
    return this.propose(flags.entry, { ...body, number });
  }
}
