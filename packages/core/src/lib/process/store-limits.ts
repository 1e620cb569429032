import type { Condition, Write } from '../store.js';

/** Limits of the store; it never performs a transaction that exceeds one. */
export interface StoreLimits {
  /** Maximum size of the value of a row, in bytes. */
  readonly rowBytes: number;
  /** Maximum number of conditions, writes and deletions in a transaction. */
  readonly entries: number;
  /** Maximum size of a transaction with its keys and conditions, in bytes. */
  readonly transactionBytes: number;
}

/** Limits of the platform's table service, unless its settings say otherwise. */
export const DEFAULT_STORE_LIMITS: StoreLimits = {
  rowBytes: 65_536,
  entries: 100,
  transactionBytes: 1_000_000,
};

/** Upper bound of what an entry takes in a transaction besides key and value. */
const ENTRY_OVERHEAD_BYTES = 128;
/** Values are sent in base64, which turns 3 bytes into 4 characters. */
const BASE64_INPUT_BYTES = 3;
const BASE64_OUTPUT_BYTES = 4;

/** @returns Size of a value as the store counts it, in bytes. */
export const valueBytes = (value: string): number => Buffer.byteLength(value);

/** The entries of a transaction that belong together. */
export interface TransactionEntries {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** @returns Number of entries that they take in a transaction at most. */
export const countEntries = ({
  conditions,
  writes,
}: TransactionEntries): number => conditions.length + writes.length;

/** @returns Size of the largest value among the writes, in bytes. */
export const largestValueBytes = ({ writes }: TransactionEntries): number =>
  Math.max(0, ...writes.map(({ value }) => valueBytes(value ?? '')));

/** @returns Upper bound of their size in a transaction, in bytes. */
export const transactionBytes = ({
  conditions,
  writes,
}: TransactionEntries): number => {
  let sum = 0;
  for (const { key } of conditions) {
    sum += ENTRY_OVERHEAD_BYTES + valueBytes(key);
  }
  for (const { key, value } of writes) {
    const groups = Math.ceil(valueBytes(value ?? '') / BASE64_INPUT_BYTES);
    sum +=
      ENTRY_OVERHEAD_BYTES + valueBytes(key) + groups * BASE64_OUTPUT_BYTES;
  }
  return sum;
};
