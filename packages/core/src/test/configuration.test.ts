import { expect } from 'earl';
import { Configuration } from '../lib/version/configuration.js';
import type { Change, Ticket } from '../lib/version/ticket.js';

const ticket = (number: number, changes: readonly Change[]): Ticket => ({
  number,
  author: 'test',
  reason: 'test',
  atMs: 0,
  changes,
});

const NORTH: Change = {
  subject: 'data-centre/north',
  setting: { kind: 'data-centre', inService: true },
};

const LEVY: Change = {
  subject: 'endpoint/levy',
  setting: { kind: 'endpoint', inService: true, dataCentres: ['north'] },
};

it('tickets are applied in order and leave earlier configurations unchanged', () => {
  const config = Configuration.empty.apply(ticket(1, [NORTH, LEVY])).unwrap();
  expect(config.isEndpointInService('levy', 'north')).toEqual(true);
  const drained: Change = {
    subject: 'data-centre/north',
    setting: { kind: 'data-centre', inService: false },
  };
  const next = config.apply(ticket(2, [drained])).unwrap();
  expect(next.isDataCentreInService('north')).toEqual(false);
  expect(config.isDataCentreInService('north')).toEqual(true);
});

it('ticket out of order is rejected', () => {
  const first = Configuration.empty.apply(ticket(1, [NORTH])).unwrap();
  expect(first.apply(ticket(1, [NORTH])).isErr()).toEqual(true);
  expect(first.apply(ticket(3, [NORTH])).isErr()).toEqual(true);
});

it('endpoint in an unknown data centre is rejected', () => {
  const checked = Configuration.empty.check([LEVY]);
  expect(checked.isErr()).toEqual(true);
  expect(Configuration.empty.check([NORTH, LEVY]).isOk()).toEqual(true);
});

it('two changes of one subject are rejected', () => {
  expect(Configuration.empty.check([NORTH, NORTH]).isErr()).toEqual(true);
});

it('setting of another kind is rejected', () => {
  const change = { ...NORTH, subject: 'desk/north' };
  expect(Configuration.empty.check([change]).isErr()).toEqual(true);
});
