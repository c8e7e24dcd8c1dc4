/** A state machine was asked for a transition that it does not allow: a bug in this program. */
export class IllegalTransitionError extends Error {
  constructor(
    /** The object whose state it is, for example `attempt wk-1/0#7`. */
    readonly subject: string,
    readonly from: string,
    readonly to: string,
  ) {
    super(`${subject}: ${from} -> ${to}`);
    this.name = 'IllegalTransitionError';
  }
}
