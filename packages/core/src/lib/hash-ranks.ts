import { createHash } from 'node:crypto';

const RANK_BYTES = 6;

/**
 * Ranks names by their hashes, so that all processes that use the same prefix
 * order them the same way. Remembers the rank of each name.
 */
export class HashRanks {
  private readonly _prefix: string;
  private readonly _ranks = new Map<string, number>();

  /** @param prefix - Prepended to each name; other prefixes give other orders. */
  constructor(prefix = '') {
    this._prefix = prefix;
  }

  /** @returns Rank of a name. */
  of(name: string): number {
    let rank = this._ranks.get(name);
    if (rank === undefined) {
      rank = createHash('sha256')
        .update(this._prefix + name)
        .digest()
        .readUIntBE(0, RANK_BYTES);
      this._ranks.set(name, rank);
    }
    return rank;
  }
}
