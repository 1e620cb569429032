import type { Open } from '../messages.js';
import { EntryLink } from './entry-link.js';

/**
 * The open links of a runner, at most one for each entry incarnation.
 *
 * The link numbers of an owner increase, and only the link with the highest
 * number is served. A start that was delayed on an earlier connection therefore
 * can't run after it was refused on a later one.
 */
export class EntryLinks {
  private readonly _byId = new Map<string, EntryLink>();
  private readonly _byOwner = new Map<string, EntryLink>();
  private readonly _highestNumbers = new Map<string, number>();

  /** Number of entries with an open link. */
  get size(): number {
    return this._byOwner.size;
  }

  /** @returns The entry incarnations with an open link. */
  owners(): string[] {
    return [...this._byOwner.keys()];
  }

  /** @returns All open links. */
  all(): EntryLink[] {
    return [...this._byOwner.values()];
  }

  /** @returns The link with the id, if it is open. */
  get(linkId: string): EntryLink | undefined {
    return this._byId.get(linkId);
  }

  /** @returns The link of an entry incarnation, if it has one. */
  of(owner: string): EntryLink | undefined {
    return this._byOwner.get(owner);
  }

  /**
   * @param open - First message of an entry on a new connection.
   * @returns Whether its link number is the highest of the entry so far.
   */
  isLatest(open: Open): boolean {
    return open.linkNumber > (this._highestNumbers.get(open.incarnation) ?? 0);
  }

  /**
   * Adds a link as the current link of its owner.
   *
   * @param linkId - Identifies the connection.
   * @param open - First message of the entry on it.
   * @param now - Current time in milliseconds.
   * @returns The link.
   */
  open(linkId: string, open: Open, now: number): EntryLink {
    const owner = open.incarnation;
    this._highestNumbers.set(owner, open.linkNumber);
    const link = new EntryLink(linkId, owner, open.linkNumber, now);
    this._byId.set(linkId, link);
    this._byOwner.set(owner, link);
    return link;
  }

  /**
   * @param linkId - A link that is closed.
   * @returns The link, if it was open.
   */
  drop(linkId: string): EntryLink | undefined {
    const link = this._byId.get(linkId);
    if (link) {
      this._byId.delete(linkId);
      if (this._byOwner.get(link.owner) === link) {
        this._byOwner.delete(link.owner);
      }
    }
    return link;
  }
}
