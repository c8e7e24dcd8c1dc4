import type { Fitness, FitnessFrame } from './messages.js';

/** Where the figures of fitness that travel between controllers come from and go to. */
export interface FitnessExchange {
  /**
   * Called once for each connection. What it returns is called with each flush, and gives this
   * controller's figure when the other end is due to get it again, otherwise null.
   */
  sender(): () => Fitness | null;
  /** Another controller's figure has come. */
  note(node: string, fitness: Fitness): void;
}

/** The attachment of a `FrameWriter`. */
export function fitnessAttachment(exchange: FitnessExchange): () => FitnessFrame | null {
  const send = exchange.sender();
  return () => {
    const fitness = send();
    return fitness === null ? null : { fitness };
  };
}
