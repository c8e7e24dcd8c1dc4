type AnyFunction = (...args: never[]) => unknown;
type AnyMap = ReadonlyMap<unknown, unknown>;

/**
 * The type with all members optional, at every level. The names of members are checked; the signatures of
 * functions, the types of maps and the literals of a string union are not.
 */
export type DeepPartial<T> = T extends AnyFunction
  ? AnyFunction
  : T extends AnyMap
    ? AnyMap
    : T extends string
      ? string
      : T extends ReadonlySet<unknown> | readonly unknown[]
        ? T
        : T extends object
          ? { [K in keyof T]?: DeepPartial<T[K]> }
          : T;

/**
 * A partial test double of `T` with the members that the code under test uses. All other members are
 * undefined, so a test that uses one fails there.
 */
export function fake<T>(members: DeepPartial<T>): T {
  return members as T;
}
