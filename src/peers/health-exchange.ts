import type { ControllerHealth, HealthFrame } from './messages.js';

/** Where the figures of health that travel between controllers come from and go to. */
export interface HealthExchange {
  /**
   * Called once for each connection. What it returns is called with each flush, and gives this
   * controller's figure when the other end is due to get it again, otherwise null.
   */
  nextToSend(): () => ControllerHealth | null;
  /** Another controller's figure has come. */
  note(node: string, health: ControllerHealth): void;
}

/** The attachment of a `FrameWriter`. */
export function healthAttachment(exchange: HealthExchange): () => HealthFrame | null {
  const send = exchange.nextToSend();
  return () => {
    const health = send();
    return health === null ? null : { fitness: health };
  };
}
