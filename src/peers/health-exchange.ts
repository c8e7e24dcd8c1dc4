import type { ControllerHealth, HealthFrame } from './messages.js';

/** Source and destination of the health reports that controllers exchange. */
export interface HealthExchange {
  /**
   * Called once for each connection. The returned function is called with each flush; it returns this
   * controller's health when the next report to the peer is due, otherwise null.
   */
  createSender(): () => ControllerHealth | null;
  /** Called when a health report of another controller arrives. */
  recordHealth(node: string, health: ControllerHealth): void;
}

/** The `attachment` of a `FrameWriter` that sends this controller's health. */
export function healthAttachment(exchange: HealthExchange): () => HealthFrame | null {
  const send = exchange.createSender();
  return () => {
    const health = send();
    return health === null ? null : { fitness: health };
  };
}
