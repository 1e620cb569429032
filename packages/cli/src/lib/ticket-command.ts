import { userInfo } from 'node:os';
import { EntryCommand } from './entry-command.js';
import { ExitCode } from './exit-codes.js';
import type {
  Change,
  ConfigurationState,
  Setting,
  TicketReceipt,
} from './tickets.js';

/** Base class of commands that propose a change ticket. */
export abstract class TicketCommand extends EntryCommand {
  /**
   * @param entries - Addresses of entries, separated by commas.
   * @returns The configuration in force at the first entry that responds.
   */
  protected async readConfiguration(
    entries: string,
  ): Promise<ConfigurationState> {
    return this.callEntry<ConfigurationState>(entries, {
      method: 'GET',
      path: '/v1/configuration',
      retryable: true,
    });
  }

  /**
   * Proposes a ticket and prints the entries at which it is in force.
   *
   * @param entries - Addresses of entries, separated by commas.
   * @param body - The proposed ticket.
   * @returns The receipt.
   */
  protected async propose(
    entries: string,
    body: object,
  ): Promise<TicketReceipt> {
    const receipt = await this.callEntry<TicketReceipt>(entries, {
      method: 'POST',
      path: '/v1/tickets',
      body,
      retryable: false,
    });
    this.log(`ticket ${String(receipt.number)} accepted`);
    this.log(`in force at ${receipt.inForce.join(', ')}`);
    if (receipt.notYet.length > 0) {
      this.log(`not yet at ${receipt.notYet.join(', ')}`);
    }
    return receipt;
  }

  /**
   * Proposes a ticket that takes one subject out of service or returns it.
   *
   * @param entries - Addresses of entries, separated by commas.
   * @param subject - For example `data-centre/north`.
   * @param inService - Whether the subject is to be in service.
   * @returns The receipt.
   */
  protected async setInService(
    entries: string,
    subject: string,
    inService: boolean,
  ): Promise<TicketReceipt> {
    const config = await this.readConfiguration(entries);
    const found = config.subjects.find((s) => s.subject === subject);
    if (!found) {
      this.error(`"${subject}" is not declared in the configuration.`, {
        exit: ExitCode.Invalid,
      });
    }
    const setting: Setting = { ...found.setting, inService };
    const changes: Change[] = [{ subject, setting }];
    return this.propose(entries, {
      // The number makes the proposal conditional on the version that was read.
      number: config.version + 1,
      author: userInfo().username,
      reason: `${inService ? 'return' : 'drain'} ${subject}`,
      changes,
    });
  }
}
