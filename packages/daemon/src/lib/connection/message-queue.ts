/**
 * Unbounded queue with one asynchronous reader. Feeds the outgoing side of a
 * streaming RPC with messages that are pushed from elsewhere.
 */
export class MessageQueue<T> implements AsyncIterable<T> {
  private _items: T[] = [];
  private _closed = false;
  private _wake: (() => void) | undefined;

  /** @param item - The next message; ignored after {@link close}. */
  push(item: T): void {
    if (!this._closed) {
      this._items.push(item);
      this._wake?.();
    }
  }

  /** Ends the iteration once all pushed messages have been read. */
  close(): void {
    this._closed = true;
    this._wake?.();
  }

  /** @returns The messages in the order in which they were pushed. */
  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    for (;;) {
      const items = this._items;
      this._items = [];
      yield* items;
      if (this._items.length > 0) {
        continue;
      }
      if (this._closed) {
        return;
      }
      await new Promise<void>((resolve) => {
        this._wake = resolve;
      });
      this._wake = undefined;
    }
  }
}
