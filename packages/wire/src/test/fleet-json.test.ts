import { expect } from 'earl';
import fc from 'fast-check';
import {
  EndKind,
  StartRefusal,
  decodeWorkerOrder,
  decodeWorkerReport,
  encodeWorkerOrder,
  encodeWorkerReport,
} from '../index.js';

const text = fc.string({ unit: 'binary', maxLength: 6 });
const uint = fc.nat(0xffffffff);
const double = fc
  .double({ noNaN: true, noDefaultInfinity: true })
  .map((value) => value + 0);
const flag = fc.boolean();
const list = <T>(item: fc.Arbitrary<T>) => fc.array(item, { maxLength: 3 });
const maybe = <T>(item: fc.Arbitrary<T>) => fc.option(item, { nil: undefined });
const enumOf = <E>(values: Readonly<Record<string, string | E>>) =>
  fc.constantFrom(
    ...Object.values(values).filter((v): v is E => typeof v === 'number'),
  );

/** A generator of plain objects, which are what decoding returns. */
const record = <T>(fields: { [K in keyof T]: fc.Arbitrary<T[K]> }) =>
  fc.record<T>(fields, { noNullPrototype: true });

const room = record({ cpuMilli: uint, memoryMb: uint, accelerators: uint });
const group = record({
  spec: text,
  needs: maybe(room),
  runs: list(record({ task: text, run: uint, checkpoint: text })),
  volatile: flag,
  queue: text,
  priority: uint,
  maxWaitMs: uint,
});
const anyOrder = record({
  entry: text,
  incarnation: text,
  holdUntilMs: double,
  adopt: list(text),
  starts: list(group),
  stops: list(record({ task: text, run: uint, owner: maybe(text) })),
  recorded: list(record({ life: text, number: uint, superseded: flag })),
  claims: list(group),
  sequence: uint,
  operatorVersion: double,
  out: flag,
  life: text,
  linkNumber: uint,
  registrationVersion: maybe(double),
  operatorAgeMs: maybe(double),
});
const anyReport = record({
  hello: maybe(
    record({
      worker: text,
      incarnation: text,
      dataCentre: text,
      service: text,
      life: text,
      labels: list(text),
      capacity: maybe(room),
    }),
  ),
  clockMs: double,
  accepting: flag,
  free: maybe(room),
  ends: list(
    record({
      task: text,
      run: uint,
      kind: enumOf<EndKind>(EndKind),
      checkpoint: text,
      life: text,
      number: uint,
    }),
  ),
  refused: list(
    record({
      task: text,
      run: uint,
      reason: enumOf<StartRefusal>(StartRefusal),
    }),
  ),
  sequence: uint,
  active: list(
    record({
      task: text,
      run: uint,
      owner: text,
      checkpoint: text,
      percent: uint,
    }),
  ),
  snapshot: flag,
  adopted: list(text),
  fenced: flag,
  crashes: list(
    record({
      life: text,
      runs: list(
        record({
          task: text,
          run: uint,
          activeMs: uint,
          queue: text,
          uncertaintyMs: uint,
        }),
      ),
    }),
  ),
  unconfirmed: list(record({ task: text, run: uint })),
  mayActLate: flag,
});

const detailOf = (
  decoded: { kind: 'message' } | { kind: 'invalid'; detail: string },
) => (decoded.kind === 'invalid' ? decoded.detail : undefined);

it('an order is the same after encoding and decoding, on one line', () => {
  fc.assert(
    fc.property(anyOrder, (order) => {
      const line = encodeWorkerOrder(order);
      expect(line.includes('\n')).toEqual(false);
      expect(decodeWorkerOrder(line)).toEqual({
        kind: 'message',
        message: order,
      });
    }),
  );
});

it('a report is the same after encoding and decoding, on one line', () => {
  fc.assert(
    fc.property(anyReport, (report) => {
      const line = encodeWorkerReport(report);
      expect(line.includes('\n')).toEqual(false);
      expect(decodeWorkerReport(line)).toEqual({
        kind: 'message',
        message: report,
      });
    }),
  );
});

it('fields with default values are omitted and unknown fields ignored', () => {
  const decoded = decodeWorkerReport('{"later":[{}],"ends":[{"later":1}]}');
  if (decoded.kind === 'invalid') {
    throw new Error(decoded.detail);
  }
  expect(decoded.message.ends).toEqual([
    {
      task: '',
      run: 0,
      kind: EndKind.UNSPECIFIED,
      checkpoint: '',
      life: '',
      number: 0,
    },
  ]);
  expect(encodeWorkerReport(decoded.message)).toEqual('{"ends":[{}]}');
});

it('a field of a wrong type is an error that names the field', () => {
  const orders: [line: string, detail: string][] = [
    ['[]', 'message: expected an object'],
    ['null', 'message: expected an object'],
    ['{"entry":1}', 'entry: expected a string'],
    ['{"entry":null}', 'entry: expected a string'],
    ['{"holdUntilMs":"1"}', 'holdUntilMs: expected a finite number'],
    ['{"holdUntilMs":1e999}', 'holdUntilMs: expected a finite number'],
    ['{"sequence":-1}', 'sequence: expected an unsigned 32-bit integer'],
    ['{"sequence":1.5}', 'sequence: expected an unsigned 32-bit integer'],
    [
      '{"sequence":4294967296}',
      'sequence: expected an unsigned 32-bit integer',
    ],
    ['{"out":0}', 'out: expected a boolean'],
    ['{"adopt":["a",1]}', 'adopt: expected a list of strings'],
    ['{"stops":{}}', 'stops: expected a list'],
    ['{"stops":[[]]}', 'stops: expected an object'],
    ['{"stops":[{"owner":1}]}', 'owner: expected a string'],
    ['{"starts":[{"needs":1}]}', 'needs: expected an object'],
  ];
  for (const [line, detail] of orders) {
    expect(detailOf(decodeWorkerOrder(line))).toEqual(detail);
  }
  expect(detailOf(decodeWorkerReport('{"ends":[{"kind":99}]}'))).toEqual(
    'kind: expected a known value',
  );
});

it('text that is not JSON is an error', () => {
  for (const line of ['', '{', '{"out":true}}', 'x']) {
    expect(decodeWorkerOrder(line).kind).toEqual('invalid');
    expect(decodeWorkerReport(line).kind).toEqual('invalid');
  }
});
