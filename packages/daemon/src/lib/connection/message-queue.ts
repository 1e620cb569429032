/** An asynchronous stream that is written by hand. */
export class MessageQueue<T> implements AsyncIterable<T> {
  private _items: T[] = [];
  private _closed = false;
  private _wake: (() => void) | undefined;

  /** @param item - The next element; ignored after {@link close}. */
  push(item: T): void {
    if (!this._closed) {
      this._items.push(item);
      this._wake?.();
    }
  }

  /** Ends the stream after what has been pushed. */
  close(): void {
    this._closed = true;
    this._wake?.();
  }

  /** @returns The elements in the order in which they were pushed. */
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
