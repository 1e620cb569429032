import type { LocalCluster } from '@sapphiremux/standins';
import { request } from 'undici';

/** Counters, summed over the entries of a cluster. */
export interface Counters {
  /** Task starts sent to runners, resends included. */
  readonly starts: number;
  /** Messages that moved no task forward, by kind (such as `heartbeat`). */
  readonly wasted: Readonly<Record<string, number>>;
}

const STARTS_PATTERN = /^sapphiremux_task_starts_total (\d+)/;
const WASTED_PATTERN =
  /^sapphiremux_wasted_messages_total\{kind="([^"]+)"\} (\d+)/;

/**
 * Reads the counters from the metrics pages of all entries.
 *
 * @param cluster - A running cluster.
 * @returns The sums since the entries started.
 */
export const readCounters = async (
  cluster: LocalCluster,
): Promise<Counters> => {
  let starts = 0;
  const wasted: Record<string, number> = {};
  for (const url of cluster.urls) {
    const res = await request(new URL('/metrics', url));
    for (const line of (await res.body.text()).split('\n')) {
      starts += Number(STARTS_PATTERN.exec(line)?.[1] ?? 0);
      const [, kind = '', count = '0'] = WASTED_PATTERN.exec(line) ?? [];
      if (kind !== '') {
        wasted[kind] = (wasted[kind] ?? 0) + Number(count);
      }
    }
  }
  return { starts, wasted };
};
