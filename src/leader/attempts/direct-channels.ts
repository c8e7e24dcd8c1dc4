/** Ways on which commands go straight to workers: connections that are kept, and what an answer on them proves. */

import { parseEndpoint } from '../../config/endpoint.js';
import { HttpClient, NoResponseError } from '../../http/client.js';
import type { Log } from '../../log.js';
import {
  encodeDirectCommands,
  parseHeartbeat,
  type Command,
  type Heartbeat,
} from '../../wire/workers.js';
import type { DirectOutcome } from '../../workers/machine-attempts.js';
import type { Machine } from '../../workers/machine.js';

/**
 * Of the sockets, those for direct commands. A connection to every machine, beside one from each, is more
 * than a large fleet's leader has: the ones not used for longest go.
 */
const SOCKETS_SHARE = 0.25;
/** Direct messages wait for an answer for so many heartbeat intervals. */
const ANSWER_TIMEOUT_HEARTBEATS = 1.5;

/** Commands with what makes a worker take them. */
export interface DirectMessage {
  token: number;
  agentEpoch: number;
  commands: Command[];
}

/** What became of a direct message, and the worker's heartbeat if there was one in the answer. */
export interface DirectAnswer {
  outcome: DirectOutcome;
  heartbeat: Heartbeat | null;
}

/** A way to one worker, for one message at a time. */
export interface DirectChannel {
  send(message: DirectMessage): Promise<DirectAnswer>;
}

/** The ways to all workers. */
export interface DirectTransport {
  /** Null: none is free, and what there is to say waits for the machine's next heartbeat. */
  channelTo(machine: Pick<Machine, 'id' | 'addr'>): DirectChannel | null;
  /** The machine is gone. */
  closeChannel(id: string): void;
  /** Closes all of them. */
  stop(): void;
}

/** A connection to a worker. */
class HttpChannel implements DirectChannel {
  busy = false;
  private readonly client: HttpClient;

  constructor(
    readonly addr: string,
    private readonly timeoutS: number,
    private readonly log: Log,
  ) {
    this.client = new HttpClient(parseEndpoint(addr), 1, 4);
  }

  /** Sends a message and waits for the answer; never throws. */
  async send({ token, agentEpoch, commands }: DirectMessage): Promise<DirectAnswer> {
    this.busy = true;
    try {
      const body = encodeDirectCommands(token, agentEpoch, commands);
      const { status, body: answer } = await this.client.request(
        'POST',
        '/do',
        body,
        this.timeoutS,
      );
      const outcome = status === 200 ? 'done' : 'refused';
      const showsTasks = status === 200 || status === 409;
      const heartbeat = showsTasks ? parseHeartbeat(JSON.parse(answer.toString('utf8'))) : null;
      return { outcome, heartbeat };
    } catch (error) {
      this.log.debug({ addr: this.addr, err: error }, 'direct commands unanswered');
      const never = error instanceof NoResponseError && !error.mayHaveBeenSent;
      return { outcome: never ? 'refused' : 'unknown', heartbeat: null };
    } finally {
      this.busy = false;
    }
  }

  /** Closes the connection: a message that is on its way is not answered any more. */
  close(): void {
    this.client.close();
  }
}

/** What `HttpDirectTransport` works with. */
interface HttpDirectTransportOptions {
  /** Sockets of the process. */
  sockets: number;
  heartbeatS: number;
  log: Log;
}

/** Connections to workers, the one used longest ago first. */
export class HttpDirectTransport implements DirectTransport {
  private readonly channels = new Map<string, HttpChannel>();

  constructor(private readonly options: HttpDirectTransportOptions) {}

  /** See `DirectTransport.channelTo`. */
  channelTo({ id, addr }: Pick<Machine, 'id' | 'addr'>): DirectChannel | null {
    const known = this.channels.get(id);
    this.channels.delete(id);
    if (known?.addr === addr) {
      this.channels.set(id, known);
      return known.busy ? null : known;
    }
    known?.close();
    if (!this.makeRoom()) return null;
    const { heartbeatS, log } = this.options;
    const made = new HttpChannel(addr, heartbeatS * ANSWER_TIMEOUT_HEARTBEATS, log);
    this.channels.set(id, made);
    return made;
  }

  /** Whether another connection may be opened; the one that has been idle for longest may go for it. */
  private makeRoom(): boolean {
    if (this.channels.size < this.options.sockets * SOCKETS_SHARE) return true;
    const idle = [...this.channels].find(([, channel]) => !channel.busy);
    if (idle === undefined) return false;
    this.closeChannel(idle[0]);
    return true;
  }

  /** See `DirectTransport.closeChannel`. */
  closeChannel(id: string): void {
    this.channels.get(id)?.close();
    this.channels.delete(id);
  }

  /** See `DirectTransport.stop`. */
  stop(): void {
    for (const channel of this.channels.values()) channel.close();
    this.channels.clear();
  }
}
