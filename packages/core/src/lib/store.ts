/** A row of the platform's table service. */
export interface Row {
  readonly key: string;
  readonly value: string;
  /** Rises with each write of the key; an absent row has version 0. */
  readonly version: number;
}

/** Holds when the row has exactly this version. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** Sets a row, or deletes it when the value is `null`. */
export interface Write {
  readonly key: string;
  readonly value: string | null;
}

/** A call to the table service or the object store of the platform. */
export type StoreRequest =
  | {
      readonly kind: 'transact';
      readonly conditions: readonly Condition[];
      readonly writes: readonly Write[];
    }
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | {
      readonly kind: 'scan';
      readonly prefix: string;
      readonly after: string;
      readonly limit: number;
    }
  /** Stores an object under a key that stands for this content for good. */
  | { readonly kind: 'put-object'; readonly key: string; readonly body: string }
  | { readonly kind: 'get-object'; readonly key: string };

/**
 * What became of a call to the table service or the object store.
 *
 * `refused` proves that nothing took effect. `unknown` proves nothing: the
 * call may have taken effect, or may still do so.
 */
export type StoreReply =
  /** All rows written got this version, higher than any before. */
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict'; readonly keys: readonly string[] }
  | { readonly kind: 'rows'; readonly rows: readonly Row[] }
  /** An object, or nothing when the key has none. */
  | { readonly kind: 'object'; readonly body: string | undefined }
  | { readonly kind: 'refused' }
  | { readonly kind: 'unknown' };

/** Keys of the rows that the system keeps. */
export const storeKeys = {
  job: (id: string): string => `job/${id}`,
  open: (owner: string, id: string): string => `open/${owner}/${id}`,
  openPrefix: (owner: string): string => `open/${owner}/`,
  owner: (incarnation: string): string => `owner/${incarnation}`,
  member: (incarnation: string): string => `member/${incarnation}`,
  memberPrefix: 'member/',
  ticket: (number: number): string =>
    `ticket/${String(number).padStart(9, '0')}`,
  ticketPrefix: 'ticket/',
  head: 'head',
  /** Object with a submission; the digest makes the content unique. */
  spec: (id: string, digest: string): string => `spec/${id}/${digest}`,
  /** Object with an outcome; an owner decides it once in its epoch. */
  outcome: (id: string, owner: string, epoch: number): string =>
    `outcome/${id}/${owner}/${String(epoch)}`,
} as const;

/** A row that was written or, with a value of `null`, deleted. */
export interface ChangedRow {
  readonly key: string;
  readonly value: string | null;
  readonly version: number;
}

/** A call that follows a whole table. */
export type FollowRequest =
  /** All rows of a table as of one moment. */
  | { readonly kind: 'table'; readonly table: string }
  /** Waits for rows that change after a version. */
  | {
      readonly kind: 'changes';
      readonly table: string;
      readonly afterVersion: number;
      readonly waitMs: number;
    };

/** What became of a {@link FollowRequest}. */
export type FollowReply =
  | {
      readonly kind: 'table';
      readonly rows: readonly Row[];
      readonly version: number;
    }
  | {
      readonly kind: 'changes';
      readonly rows: readonly ChangedRow[];
      readonly version: number;
    }
  /** The store no longer knows what has changed since then. */
  | { readonly kind: 'history-lost' }
  | { readonly kind: 'failed' };
