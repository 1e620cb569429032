import { EndKind, StartRefusal } from './gen/sapphiremux/v1/fleet_pb.js';
import type {
  ActiveRun,
  CrashedRun,
  RecordedEnd,
  RefusedRun,
  Room,
  RunEnd,
  RunRef,
  RunStop,
  RunStart,
  StartGroup,
  WorkerCrash,
  WorkerHello,
  WorkerOrder,
  WorkerReport,
} from './gen/sapphiremux/v1/fleet_pb.js';
import type { PlainMessage } from './lib/plain-message.js';

/** Result of decoding one message. */
export type Decoded<T> =
  | { readonly kind: 'message'; readonly message: T }
  /** The text is not JSON, or a field has a wrong type. */
  | { readonly kind: 'invalid'; readonly detail: string };

/**
 * Encodes an order as JSON without line breaks. Fields keep the names in
 * `fleet.proto` in lower camel case; those with default values are omitted, and
 * enums are numbers.
 *
 * @param order - The order; its numbers must be finite.
 * @returns The JSON text.
 */
export const encodeWorkerOrder = (order: PlainMessage<WorkerOrder>): string =>
  JSON.stringify({
    entry: order.entry || undefined,
    incarnation: order.incarnation || undefined,
    holdUntilMs: order.holdUntilMs || undefined,
    adopt: nonEmpty(order.adopt),
    starts: encodeList(order.starts, encodeStartGroup),
    stops: encodeList(order.stops, encodeRunStop),
    recorded: encodeList(order.recorded, encodeRecordedEnd),
    claims: encodeList(order.claims, encodeStartGroup),
    sequence: order.sequence || undefined,
    operatorVersion: order.operatorVersion || undefined,
    out: order.out || undefined,
    life: order.life || undefined,
    linkNumber: order.linkNumber || undefined,
    registrationVersion: order.registrationVersion,
    operatorAgeMs: order.operatorAgeMs,
  });

/**
 * @param text - An order that {@link encodeWorkerOrder} has encoded.
 * @returns The order, or why the text is not one. Unknown fields are ignored.
 */
export const decodeWorkerOrder = (
  text: string,
): Decoded<PlainMessage<WorkerOrder>> => decode(text, toOrder);

/**
 * Encodes a report as JSON without line breaks, by the same rules as
 * {@link encodeWorkerOrder}.
 *
 * @param report - The report; its numbers must be finite.
 * @returns The JSON text.
 */
export const encodeWorkerReport = (
  report: PlainMessage<WorkerReport>,
): string =>
  JSON.stringify({
    hello: report.hello && encodeHello(report.hello),
    clockMs: report.clockMs || undefined,
    accepting: report.accepting || undefined,
    free: report.free && encodeRoom(report.free),
    ends: encodeList(report.ends, encodeRunEnd),
    refused: encodeList(report.refused, encodeRefusedRun),
    sequence: report.sequence || undefined,
    active: encodeList(report.active, encodeActiveRun),
    snapshot: report.snapshot || undefined,
    adopted: nonEmpty(report.adopted),
    fenced: report.fenced || undefined,
    crashes: encodeList(report.crashes, encodeCrash),
    unconfirmed: encodeList(report.unconfirmed, encodeRunRef),
    mayActLate: report.mayActLate || undefined,
  });

/**
 * @param text - A report that {@link encodeWorkerReport} has encoded.
 * @returns The report, or why the text is not one. Unknown fields are ignored.
 */
export const decodeWorkerReport = (
  text: string,
): Decoded<PlainMessage<WorkerReport>> => decode(text, toReport);

const nonEmpty = (list: string[]): string[] | undefined =>
  list.length === 0 ? undefined : list;

const encodeList = <T>(
  list: readonly T[],
  encode: (item: T) => unknown,
): unknown[] | undefined => (list.length === 0 ? undefined : list.map(encode));

const encodeRoom = (room: PlainMessage<Room>) => ({
  cpuMilli: room.cpuMilli || undefined,
  memoryMb: room.memoryMb || undefined,
  accelerators: room.accelerators || undefined,
});

const encodeRunRef = (ref: PlainMessage<RunRef>) => ({
  task: ref.task || undefined,
  run: ref.run || undefined,
});

const encodeRunStop = (stop: PlainMessage<RunStop>) => ({
  task: stop.task || undefined,
  run: stop.run || undefined,
  owner: stop.owner,
});

const encodeRunStart = (start: PlainMessage<RunStart>) => ({
  task: start.task || undefined,
  run: start.run || undefined,
  checkpoint: start.checkpoint || undefined,
});

const encodeStartGroup = (group: PlainMessage<StartGroup>) => ({
  spec: group.spec || undefined,
  needs: group.needs && encodeRoom(group.needs),
  runs: encodeList(group.runs, encodeRunStart),
  volatile: group.volatile || undefined,
  queue: group.queue || undefined,
  priority: group.priority || undefined,
  maxWaitMs: group.maxWaitMs || undefined,
});

const encodeRecordedEnd = (end: PlainMessage<RecordedEnd>) => ({
  life: end.life || undefined,
  number: end.number || undefined,
  superseded: end.superseded || undefined,
});

const encodeRunEnd = (end: PlainMessage<RunEnd>) => ({
  task: end.task || undefined,
  run: end.run || undefined,
  kind: end.kind || undefined,
  checkpoint: end.checkpoint || undefined,
  life: end.life || undefined,
  number: end.number || undefined,
});

const encodeRefusedRun = (refused: PlainMessage<RefusedRun>) => ({
  task: refused.task || undefined,
  run: refused.run || undefined,
  reason: refused.reason || undefined,
});

const encodeActiveRun = (active: PlainMessage<ActiveRun>) => ({
  task: active.task || undefined,
  run: active.run || undefined,
  owner: active.owner || undefined,
  checkpoint: active.checkpoint || undefined,
  percent: active.percent || undefined,
});

const encodeHello = (hello: PlainMessage<WorkerHello>) => ({
  worker: hello.worker || undefined,
  incarnation: hello.incarnation || undefined,
  dataCentre: hello.dataCentre || undefined,
  service: hello.service || undefined,
  life: hello.life || undefined,
  labels: nonEmpty(hello.labels),
  capacity: hello.capacity && encodeRoom(hello.capacity),
});

const encodeCrashedRun = (crashed: PlainMessage<CrashedRun>) => ({
  task: crashed.task || undefined,
  run: crashed.run || undefined,
  activeMs: crashed.activeMs || undefined,
  queue: crashed.queue || undefined,
  uncertaintyMs: crashed.uncertaintyMs || undefined,
});

const encodeCrash = (crash: PlainMessage<WorkerCrash>) => ({
  life: crash.life || undefined,
  runs: encodeList(crash.runs, encodeCrashedRun),
});

/** A JSON value that is expected to be a message. */
type Json = Readonly<Record<string, unknown>>;

/** Greatest value of an unsigned integer field. */
export const MAX_UINT32 = 0xffffffff;

/** @returns Whether an unsigned integer field can hold the number. */
export const isUint32 = (value: number): boolean =>
  Number.isInteger(value) && value >= 0 && value <= MAX_UINT32;

const decode = <T>(text: string, toMessage: (json: Json) => T): Decoded<T> => {
  try {
    const message = toMessage(toObject(JSON.parse(text), 'message'));
    return { kind: 'message', message };
  } catch (err) {
    return { kind: 'invalid', detail: (err as Error).message };
  }
};

const invalid = (name: string, expected: string): TypeError =>
  new TypeError(`${name}: expected ${expected}`);

const toObject = (value: unknown, name: string): Json => {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw invalid(name, 'an object');
  }
  return value as Json;
};

const toText = (json: Json, name: string): string => {
  const value = json[name];
  if (value === undefined) {
    return '';
  }
  if (typeof value !== 'string') {
    throw invalid(name, 'a string');
  }
  return value;
};

const toFlag = (json: Json, name: string): boolean => {
  const value = json[name];
  if (value === undefined) {
    return false;
  }
  if (typeof value !== 'boolean') {
    throw invalid(name, 'a boolean');
  }
  return value;
};

const toDouble = (json: Json, name: string): number => {
  const value = json[name];
  if (value === undefined) {
    return 0;
  }
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    throw invalid(name, 'a finite number');
  }
  return value;
};

const toUint = (json: Json, name: string): number => {
  const value = json[name];
  if (value === undefined) {
    return 0;
  }
  if (typeof value !== 'number' || !isUint32(value)) {
    throw invalid(name, 'an unsigned 32-bit integer');
  }
  return value;
};

/** @param values - The enum, which maps its numbers to their names. */
const toEnum = <E extends number>(
  json: Json,
  name: string,
  values: Readonly<Record<string, string | E>>,
): E => {
  const value = toUint(json, name);
  if (!(value in values)) {
    throw invalid(name, 'a known value');
  }
  return value as E;
};

const toMessages = <T>(
  json: Json,
  name: string,
  toItem: (json: Json) => T,
): T[] => {
  const value = json[name];
  if (value === undefined) {
    return [];
  }
  if (!Array.isArray(value)) {
    throw invalid(name, 'a list');
  }
  return value.map((item) => toItem(toObject(item, name)));
};

const toTexts = (json: Json, name: string): string[] => {
  const value = json[name];
  if (value === undefined) {
    return [];
  }
  if (!Array.isArray(value) || value.some((item) => typeof item !== 'string')) {
    throw invalid(name, 'a list of strings');
  }
  return value as string[];
};

const toOptional = <T>(
  json: Json,
  name: string,
  toMessage: (json: Json) => T,
): T | undefined => {
  const value = json[name];
  return value === undefined ? undefined : toMessage(toObject(value, name));
};

const toOptionalDouble = (json: Json, name: string): number | undefined =>
  json[name] === undefined ? undefined : toDouble(json, name);

const toOrder = (json: Json): PlainMessage<WorkerOrder> => ({
  entry: toText(json, 'entry'),
  incarnation: toText(json, 'incarnation'),
  holdUntilMs: toDouble(json, 'holdUntilMs'),
  adopt: toTexts(json, 'adopt'),
  starts: toMessages(json, 'starts', toStartGroup),
  stops: toMessages(json, 'stops', toRunStop),
  recorded: toMessages(json, 'recorded', toRecordedEnd),
  claims: toMessages(json, 'claims', toStartGroup),
  sequence: toUint(json, 'sequence'),
  operatorVersion: toDouble(json, 'operatorVersion'),
  out: toFlag(json, 'out'),
  life: toText(json, 'life'),
  linkNumber: toUint(json, 'linkNumber'),
  registrationVersion: toOptionalDouble(json, 'registrationVersion'),
  operatorAgeMs: toOptionalDouble(json, 'operatorAgeMs'),
});

const toReport = (json: Json): PlainMessage<WorkerReport> => ({
  hello: toOptional(json, 'hello', toHello),
  clockMs: toDouble(json, 'clockMs'),
  accepting: toFlag(json, 'accepting'),
  free: toOptional(json, 'free', toRoom),
  ends: toMessages(json, 'ends', toRunEnd),
  refused: toMessages(json, 'refused', toRefusedRun),
  sequence: toUint(json, 'sequence'),
  active: toMessages(json, 'active', toActiveRun),
  snapshot: toFlag(json, 'snapshot'),
  adopted: toTexts(json, 'adopted'),
  fenced: toFlag(json, 'fenced'),
  crashes: toMessages(json, 'crashes', toCrash),
  unconfirmed: toMessages(json, 'unconfirmed', toRunRef),
  mayActLate: toFlag(json, 'mayActLate'),
});

const toRoom = (json: Json): PlainMessage<Room> => ({
  cpuMilli: toUint(json, 'cpuMilli'),
  memoryMb: toUint(json, 'memoryMb'),
  accelerators: toUint(json, 'accelerators'),
});

const toRunRef = (json: Json): PlainMessage<RunRef> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
});

const toRunStop = (json: Json): PlainMessage<RunStop> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
  owner: json.owner === undefined ? undefined : toText(json, 'owner'),
});

const toRunStart = (json: Json): PlainMessage<RunStart> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
  checkpoint: toText(json, 'checkpoint'),
});

const toStartGroup = (json: Json): PlainMessage<StartGroup> => ({
  spec: toText(json, 'spec'),
  needs: toOptional(json, 'needs', toRoom),
  runs: toMessages(json, 'runs', toRunStart),
  volatile: toFlag(json, 'volatile'),
  queue: toText(json, 'queue'),
  priority: toUint(json, 'priority'),
  maxWaitMs: toUint(json, 'maxWaitMs'),
});

const toRecordedEnd = (json: Json): PlainMessage<RecordedEnd> => ({
  life: toText(json, 'life'),
  number: toUint(json, 'number'),
  superseded: toFlag(json, 'superseded'),
});

const toRunEnd = (json: Json): PlainMessage<RunEnd> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
  kind: toEnum(json, 'kind', EndKind),
  checkpoint: toText(json, 'checkpoint'),
  life: toText(json, 'life'),
  number: toUint(json, 'number'),
});

const toRefusedRun = (json: Json): PlainMessage<RefusedRun> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
  reason: toEnum(json, 'reason', StartRefusal),
});

const toActiveRun = (json: Json): PlainMessage<ActiveRun> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
  owner: toText(json, 'owner'),
  checkpoint: toText(json, 'checkpoint'),
  percent: toUint(json, 'percent'),
});

const toHello = (json: Json): PlainMessage<WorkerHello> => ({
  worker: toText(json, 'worker'),
  incarnation: toText(json, 'incarnation'),
  dataCentre: toText(json, 'dataCentre'),
  service: toText(json, 'service'),
  life: toText(json, 'life'),
  labels: toTexts(json, 'labels'),
  capacity: toOptional(json, 'capacity', toRoom),
});

const toCrashedRun = (json: Json): PlainMessage<CrashedRun> => ({
  task: toText(json, 'task'),
  run: toUint(json, 'run'),
  activeMs: toUint(json, 'activeMs'),
  queue: toText(json, 'queue'),
  uncertaintyMs: toUint(json, 'uncertaintyMs'),
});

const toCrash = (json: Json): PlainMessage<WorkerCrash> => ({
  life: toText(json, 'life'),
  runs: toMessages(json, 'runs', toCrashedRun),
});
