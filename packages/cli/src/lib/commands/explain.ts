import { readFile } from 'node:fs/promises';
import { Args, Command } from '@oclif/core';
import { ExitCode } from '../exit-codes.js';
import { explainJob, parseLog } from '../job-report.js';
import type { JobReport, LogLine } from '../job-report.js';

/** Reconstructs from process logs how a job ran and why it ended as it did. */
export default class Explain extends Command {
  static override description =
    'Explain from logs how a job ran and why it ended as it did. Pass the logs of all entries and of the VMs that ran its tasks.';
  static override examples = [
    '<%= config.bin %> explain 4467a71d6d5aa42b entry-*.log vm-7.log',
  ];
  static override strict = false;
  static override enableJsonFlag = true;
  static override args = {
    id: Args.string({ required: true, description: 'Id of the job.' }),
  };

  override async run(): Promise<JobReport> {
    const { args, argv } = await this.parse(Explain);
    const files = argv.slice(1).map(String);
    if (files.length === 0) {
      this.error('no log file given; pass at least one', {
        exit: ExitCode.Invalid,
      });
    }
    const log: LogLine[] = [];
    for (const file of files) {
      log.push(...parseLog(await this._read(file)));
    }
    const jobReport = explainJob(log, args.id);
    for (const { time, name, message, fields } of jobReport.lines) {
      this.log(`${time} ${name} ${message} ${JSON.stringify(fields)}`);
    }
    for (const finding of jobReport.findings) {
      this.log(`- ${finding}`);
    }
    return jobReport;
  }

  private async _read(file: string): Promise<string> {
    try {
      return await readFile(file, 'utf8');
    } catch (err) {
      this.error(`${file}: ${(err as Error).message}`, {
        exit: ExitCode.Invalid,
      });
    }
  }
}
