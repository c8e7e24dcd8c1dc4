import { scanHeartbeat } from '../wire/heartbeat-scan.js';
import { decodeHeartbeat, type Heartbeat } from '../wire/workers.js';

/** What decides where a heartbeat goes. */
export interface Routing {
  machine: string;
  zone: string;
}

/**
 * A heartbeat as it came from a worker, parsed only when that is needed. Whoever answers it without the leader's
 * word must have parsed it first, so that malformed bytes get 400 by every way.
 */
export class ReceivedHeartbeat {
  private parsed: Heartbeat | null = null;
  private scanned: Routing | null = null;

  constructor(readonly body: Buffer) {}

  /** Throws BadMessage if a full parse was needed and failed. That it does not throw proves nothing. */
  get routing(): Routing {
    this.scanned ??= scanHeartbeat(this.body) ?? this.parse();
    return this.scanned;
  }

  /** The whole heartbeat. Throws BadMessage if it is malformed. */
  parse(): Heartbeat {
    this.parsed ??= decodeHeartbeat(this.body);
    return this.parsed;
  }
}
