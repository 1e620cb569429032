/**
 * A protobuf message type without the fields that the runtime adds.
 *
 * The decision code takes plain data, so that tests can write messages as
 * object literals and decoded messages can be passed without a copy.
 */
export type PlainMessage<T> = T extends Uint8Array
  ? T
  : T extends (infer U)[]
    ? PlainMessage<U>[]
    : T extends object
      ? {
          [
            K in keyof T as K extends '$typeName' | '$unknown' ? never : K
          ]: PlainMessage<T[K]>;
        }
      : T;
