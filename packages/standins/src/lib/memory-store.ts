import type { Row, StoreReply, StoreRequest } from '@sapphiremux/core';

interface VersionedValue {
  readonly value: string;
  readonly version: number;
}

/**
 * In-memory table and object store. Transactions commit only if each condition
 * matches the current row version; a missing row has version zero.
 */
export class MemoryStore {
  private readonly _rows = new Map<string, VersionedValue>();
  private readonly _objects = new Map<string, string>();
  private _version = 0;

  /**
   * Carries out a store call.
   *
   * @param req - The call.
   * @returns The reply.
   */
  apply(req: StoreRequest): StoreReply {
    switch (req.kind) {
      case 'transact':
        return this._transact(req);
      case 'read':
        return { kind: 'rows', rows: this._read(req.keys) };
      case 'scan':
        return { kind: 'rows', rows: this._scan(req) };
      case 'put-object':
        this._objects.set(req.key, req.body);
        this._version += 1;
        return { kind: 'committed', version: this._version };
      case 'get-object':
        return { kind: 'object', body: this._objects.get(req.key) };
    }
  }

  private _transact(
    req: Extract<StoreRequest, { kind: 'transact' }>,
  ): StoreReply {
    const keys: string[] = [];
    for (const { key, version } of req.conditions) {
      if ((this._rows.get(key)?.version ?? 0) !== version) {
        keys.push(key);
      }
    }
    if (keys.length > 0) {
      return { kind: 'conflict', keys };
    }
    this._version += 1;
    for (const { key, value } of req.writes) {
      if (value === null) {
        this._rows.delete(key);
      } else {
        this._rows.set(key, { value, version: this._version });
      }
    }
    return { kind: 'committed', version: this._version };
  }

  private _read(keys: readonly string[]): Row[] {
    const rows: Row[] = [];
    for (const key of keys) {
      const row = this._rows.get(key);
      if (row) {
        rows.push({ key, ...row });
      }
    }
    return rows;
  }

  private _scan(req: Extract<StoreRequest, { kind: 'scan' }>): Row[] {
    const keys = [...this._rows.keys()]
      .filter((key) => key.startsWith(req.prefix) && key > req.after)
      .sort()
      .slice(0, req.limit);
    return this._read(keys);
  }
}
