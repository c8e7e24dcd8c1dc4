import { scanHeartbeat } from '../wire/heartbeat-scan.js';
import { decodeHeartbeat, type Heartbeat } from '../wire/workers.js';

/** The fields that decide which controller handles a heartbeat. */
export interface RoutingFields {
  machine: string;
  zone: string;
}

/**
 * A heartbeat as received from a worker, parsed only when necessary. Code that answers it without asking the
 * leader must parse it first, so that malformed bytes get 400 on every path.
 */
export class ReceivedHeartbeat {
  private parsed: Heartbeat | null = null;
  private scanned: RoutingFields | null = null;

  constructor(readonly body: Buffer) {}

  /**
   * Throws BadRequestError if a full parse was needed and failed. Success does not prove that the heartbeat is
   * well-formed.
   */
  get routing(): RoutingFields {
    this.scanned ??= scanHeartbeat(this.body) ?? this.parse();
    return this.scanned;
  }

  /** The whole heartbeat. Throws BadRequestError if it is malformed. */
  parse(): Heartbeat {
    this.parsed ??= decodeHeartbeat(this.body);
    return this.parsed;
  }
}
