/** A state machine was told to make a change of state that it does not allow: a fault of the program. */
export class IllegalTransitionError extends Error {
  constructor(
    /** What has the state, for example `attempt wk-1/0#7`. */
    readonly subject: string,
    readonly from: string,
    readonly to: string,
  ) {
    super(`${subject}: ${from} -> ${to}`);
    this.name = 'IllegalTransitionError';
  }
}
