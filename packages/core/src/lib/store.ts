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

/** A call to the table service. */
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
    };

/**
 * What became of a call to the table service.
 *
 * `refused` proves that nothing took effect. `unknown` proves nothing: the
 * call may have taken effect, or may still do so.
 */
export type StoreReply =
  /** All rows written got this version, higher than any before. */
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict'; readonly keys: readonly string[] }
  | { readonly kind: 'rows'; readonly rows: readonly Row[] }
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
} as const;
