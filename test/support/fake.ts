type AnyFunction = (...args: never[]) => unknown;
type AnyMap = ReadonlyMap<unknown, unknown>;

/**
 * What a stand-in in memory has of a type: any of its members, and any of theirs. The names of members
 * are checked; functions, maps, and words of a union are taken as they are.
 */
export type Partially<T> = T extends AnyFunction
  ? AnyFunction
  : T extends AnyMap
    ? AnyMap
    : T extends string
      ? string
      : T extends ReadonlySet<unknown> | readonly unknown[]
        ? T
        : T extends object
          ? { [K in keyof T]?: Partially<T[K]> }
          : T;

/**
 * A stand-in for `T` with the members that the code under test uses. Any other one is undefined, and a
 * test that reaches it fails there.
 */
export function fake<T>(members: Partially<T>): T {
  return members as T;
}
