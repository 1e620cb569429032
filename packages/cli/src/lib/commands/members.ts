import { EntryCommand } from '../entry-command.js';

/** Response to `GET /v1/members`. */
interface Members {
  readonly answeredBy: string;
  readonly entries: readonly {
    readonly id: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Time for which the member row of the entry has been unchanged. */
    readonly silentMs: number;
    readonly replacedBy: string | null;
  }[];
  readonly runners: readonly {
    readonly id: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly endpoint: string;
    readonly connected: boolean;
    /** Whether tasks of jobs may be sent to the runner. */
    readonly registered: boolean;
    readonly accepting: boolean;
    readonly configVersion: number;
    readonly inFlight: number;
  }[];
}

/** Lists the entries and runners that are known to the entry that answers. */
export default class ListMembers extends EntryCommand {
  static override description =
    'List the entries and runners that are known to an entry.';
  static override examples = ['<%= config.bin %> members'];

  override async run(): Promise<Members> {
    const { flags } = await this.parse(ListMembers);
    const members = await this.callEntry<Members>(flags.entry, {
      method: 'GET',
      path: '/v1/members',
      retryable: true,
    });
    this.log(`answered by ${members.answeredBy}`);
    for (const entry of members.entries) {
      const state = entry.replacedBy === null ? 'member' : 'replaced';
      this.log(
        `entry  ${entry.id} ${entry.address} ${entry.dataCentre} ${state}, unchanged for ${String(entry.silentMs)} ms`,
      );
    }
    for (const runner of members.runners) {
      const link = runner.connected ? 'connected' : 'not connected';
      const state = runner.registered ? link : `${link}, not registered`;
      const work = runner.accepting ? 'accepting' : 'not accepting';
      this.log(
        `runner ${runner.id} ${runner.address} ${runner.dataCentre} ${runner.endpoint} ${state}, ${work}, version ${String(runner.configVersion)}, ${String(runner.inFlight)} in flight`,
      );
    }
    return members;
  }
}
