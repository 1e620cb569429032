import { expect } from 'earl';
import { CreditPool } from '../lib/process/credit-pool.js';

const connect = (pool: CreditPool, ids: readonly string[]): void => {
  ids.forEach((id) => {
    pool.connect(id);
  });
};

it('idle credits are spread evenly', () => {
  const pool = new CreditPool({ capacity: 8 });
  connect(pool, ['a', 'b']);
  const changes = pool.allocate(['a', 'b']);
  expect(changes.get('a')).toEqual({ grant: 4, recall: 0 });
  expect(changes.get('b')).toEqual({ grant: 4, recall: 0 });
});

it('idle credits are recalled when another holder has unmet demand', () => {
  const pool = new CreditPool({ capacity: 8 });
  connect(pool, ['a', 'b']);
  pool.allocate(['a', 'b']);
  pool.setDemand('a', 10);
  const changes = pool.allocate(['a', 'b']);
  expect(changes.get('b')).toEqual({ grant: 0, recall: 4 });
  pool.returnCredits('b', 4);
  expect(pool.allocate(['a', 'b']).get('a')).toEqual({ grant: 4, recall: 0 });
});

it('units in use and credits never exceed the capacity', () => {
  const pool = new CreditPool({ capacity: 2 });
  connect(pool, ['a', 'b']);
  pool.allocate(['a', 'b']);
  expect(pool.take('a')).toEqual(true);
  expect(pool.take('a')).toEqual(false);
  pool.release('a');
  expect(pool.used).toEqual(0);
});

it('closed pool grants no credits', () => {
  const pool = new CreditPool({ capacity: 2 });
  connect(pool, ['a']);
  pool.open = false;
  expect(pool.allocate(['a']).size).toEqual(0);
});

it('units in use by a fenced holder count as used by its successor', () => {
  const pool = new CreditPool({ capacity: 1 });
  connect(pool, ['a', 'b']);
  pool.take('a');
  pool.move('a', 'b');
  expect(pool.take('b')).toEqual(false);
  pool.release('b');
  expect(pool.take('b')).toEqual(true);
});
