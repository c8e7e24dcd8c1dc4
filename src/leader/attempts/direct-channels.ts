/** Persistent connections for direct commands to workers, and what an answer on them proves. */

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
 * Share of the sockets for direct commands. In a large fleet the leader has too few sockets for a connection
 * to every machine in addition to one from each, so the least recently used connections are closed.
 */
const MAX_DIRECT_SOCKETS_SHARE = 0.25;
/** Time-out of a direct message, in heartbeat intervals. */
const ANSWER_TIMEOUT_HEARTBEATS = 1.5;

/** Commands with the token and agent epoch that the worker checks. */
export interface DirectMessage {
  token: number;
  agentEpoch: number;
  commands: Command[];
}

/** Outcome of a direct message, and the heartbeat in the answer if there was one. */
export interface DirectAnswer {
  outcome: DirectOutcome;
  heartbeat: Heartbeat | null;
}

/** A connection to one worker, for one message at a time. */
export interface DirectChannel {
  send(message: DirectMessage): Promise<DirectAnswer>;
}

/** The connections to all workers. */
export interface DirectTransport {
  /** Null: no connection is free, so the commands wait for the machine's next heartbeat. */
  channelTo(machine: Pick<Machine, 'id' | 'addr'>): DirectChannel | null;
  /** Closes the connection to a machine that no longer exists. */
  closeChannel(id: string): void;
  /** Closes all connections. */
  stop(): void;
}

/** An HTTP connection to a worker. */
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
      const hasHeartbeat = status === 200 || status === 409;
      const heartbeat = hasHeartbeat ? parseHeartbeat(JSON.parse(answer.toString('utf8'))) : null;
      return { outcome, heartbeat };
    } catch (error) {
      this.log.debug({ addr: this.addr, err: error }, 'direct commands unanswered');
      const isProvablyUnsent = error instanceof NoResponseError && !error.mayHaveBeenSent;
      return { outcome: isProvablyUnsent ? 'refused' : 'unknown', heartbeat: null };
    } finally {
      this.busy = false;
    }
  }

  /** Closes the connection: a message in flight gets no answer. */
  close(): void {
    this.client.close();
  }
}

/** Dependencies of `HttpDirectTransport`. */
interface HttpDirectTransportOptions {
  /** Socket limit of the process. */
  sockets: number;
  heartbeatS: number;
  log: Log;
}

/** Connections to workers, least recently used first. */
export class HttpDirectTransport implements DirectTransport {
  private readonly channels = new Map<string, HttpChannel>();

  constructor(private readonly options: HttpDirectTransportOptions) {}

  /** See `DirectTransport.channelTo`. */
  channelTo({ id, addr }: Pick<Machine, 'id' | 'addr'>): DirectChannel | null {
    const existing = this.channels.get(id);
    this.channels.delete(id);
    if (existing?.addr === addr) {
      this.channels.set(id, existing);
      return existing.busy ? null : existing;
    }
    existing?.close();
    if (!this.reserveConnection()) return null;
    const { heartbeatS, log } = this.options;
    const channel = new HttpChannel(addr, heartbeatS * ANSWER_TIMEOUT_HEARTBEATS, log);
    this.channels.set(id, channel);
    return channel;
  }

  /** Whether another connection may be opened; closes the least recently used idle one if the limit is reached. */
  private reserveConnection(): boolean {
    if (this.channels.size < this.options.sockets * MAX_DIRECT_SOCKETS_SHARE) return true;
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
