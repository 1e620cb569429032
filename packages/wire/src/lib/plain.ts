/**
 * A message without the fields that the protobuf runtime adds.
 *
 * The decisions work on plain data, so that tests build messages as literals
 * and decoded messages fit without a copy.
 */
export type Plain<T> = T extends Uint8Array
  ? T
  : T extends (infer U)[]
    ? Plain<U>[]
    : T extends object
      ? {
          [
            K in keyof T as K extends '$typeName' | '$unknown' ? never : K
          ]: Plain<T[K]>;
        }
      : T;
