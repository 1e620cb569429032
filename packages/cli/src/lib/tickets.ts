/** Setting of one subject of the configuration. */
export type Setting = Readonly<Record<string, unknown>> & {
  readonly kind: string;
};

/** One change of a ticket; a setting of `null` removes the subject. */
export interface Change {
  readonly subject: string;
  readonly setting: Setting | null;
}

/** An accepted ticket. */
export interface Ticket {
  readonly number: number;
  readonly author: string;
  readonly reason: string;
  readonly atMs: number;
  readonly changes: readonly Change[];
}

/** The configuration in force at one entry. */
export interface ConfigurationState {
  readonly version: number;
  readonly subjects: readonly {
    readonly subject: string;
    readonly setting: Setting;
  }[];
}

/** Entries at which an accepted ticket is and is not yet in force. */
export interface TicketReceipt {
  readonly number: number;
  readonly inForce: readonly string[];
  readonly notYet: readonly string[];
}

/**
 * Describes the effect of changes on a configuration.
 *
 * @param config - The configuration in force.
 * @param changes - The proposed changes.
 * @returns One line for each value that is added, removed or changed.
 */
export const diffLines = (
  config: ConfigurationState,
  changes: readonly Change[],
): string[] => {
  const lines: string[] = [];
  for (const { subject, setting } of changes) {
    const before = config.subjects.find((s) => s.subject === subject)?.setting;
    lines.push(...diffSetting(subject, before ?? null, setting));
  }
  return lines;
};

const diffSetting = (
  subject: string,
  before: Setting | null,
  after: Setting | null,
): string[] => {
  const keys = new Set([
    ...Object.keys(before ?? {}),
    ...Object.keys(after ?? {}),
  ]);
  keys.delete('kind');
  const lines: string[] = [];
  for (const key of keys) {
    const beforeText = JSON.stringify(before?.[key]);
    const afterText = JSON.stringify(after?.[key]);
    if (beforeText === afterText) {
      continue;
    }
    if (before !== null) {
      lines.push(`- ${subject} ${key} = ${beforeText}`);
    }
    if (after !== null) {
      lines.push(`+ ${subject} ${key} = ${afterText}`);
    }
  }
  return lines;
};
