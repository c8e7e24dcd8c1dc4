import { parseEndpoint } from '../../config/endpoint.js';
import { HttpClient, NoResponseError } from '../../http/client.js';
import { encodeDirectCommands, parseHeartbeat } from '../../wire/workers.js';
import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';

/**
 * Of the sockets, those for direct commands. A connection to every machine, beside one from each, is more
 * than a large fleet's leader has: the ones not used for longest go.
 */
const SOCKETS_SHARE = 0.25;
/** Direct messages wait for an answer for so many heartbeat intervals. */
const ANSWER_TIMEOUT_HEARTBEATS = 1.5;

interface Channel {
  client: HttpClient;
  addr: string;
  busy: boolean;
}

/** Commands sent straight to workers, when they should not wait for the next heartbeat. */
export class CommandDispatcher {
  private readonly channels = new Map<string, Channel>();
  private stopped = false;

  constructor(
    private readonly term: Term,
    private readonly onMoreDue: () => void,
  ) {}

  /** Sends what is due to all machines that should not wait for their next heartbeat. */
  dispatch(): void {
    const { term } = this;
    for (const id of [...term.machinesToCommand]) {
      const machine = term.machines.get(id);
      if (machine === undefined || machine.state === 'silent' || machine.state === 'unheard') {
        term.machinesToCommand.delete(id);
        continue;
      }
      if (machine.state === 'fencing') continue;
      void this.sendTo(machine);
    }
  }

  /** Null: all are busy, and what there is to say waits for the machine's next heartbeat. */
  private channelTo(machine: Machine): Channel | null {
    const known = this.channels.get(machine.id);
    this.channels.delete(machine.id);
    if (known?.addr === machine.addr) {
      this.channels.set(machine.id, known);
      return known;
    }
    known?.client.close();
    if (this.channels.size >= this.term.context.settings.limits.sockets * SOCKETS_SHARE) {
      const idle = [...this.channels].find(([, channel]) => !channel.busy);
      if (idle === undefined) return null;
      this.closeChannel(idle[0]);
    }
    const made = {
      client: new HttpClient(parseEndpoint(machine.addr), 1, 4),
      addr: machine.addr,
      busy: false,
    };
    this.channels.set(machine.id, made);
    return made;
  }

  private async sendTo(machine: Machine): Promise<void> {
    const { term } = this;
    const { context } = term;
    const channel = this.channelTo(machine);
    if (channel === null || channel.busy) return;
    const commands = machine.dueCommands((attempt) => term.mayStartDirectly(attempt), false);
    term.machinesToCommand.delete(machine.id);
    if (commands.every((command) => command.kind === 'forget')) return;
    const { agentEpoch, token } = machine;
    machine.markSent(commands, 'direct', term.now);
    channel.busy = true;
    const timeout = context.settings.workers.report_s * ANSWER_TIMEOUT_HEARTBEATS;
    try {
      const body = encodeDirectCommands(token, agentEpoch, commands);
      const response = await channel.client.request('POST', '/do', body, timeout);
      if (this.stopped) return;
      const how = response.status === 200 ? 'done' : 'refused';
      machine.directCommandsEnded(commands, how, agentEpoch, term.now, token);
      if (response.status === 200 || response.status === 409) {
        const heartbeat = parseHeartbeat(JSON.parse(response.body.toString('utf8')));
        if (heartbeat.machine === machine.id)
          term.reconcile(machine, machine.applyHeartbeat(heartbeat, 'direct-answer', term.now));
      }
    } catch (error) {
      if (this.stopped) return;
      const never = error instanceof NoResponseError && !error.mayHaveBeenSent;
      machine.directCommandsEnded(
        commands,
        never ? 'refused' : 'unknown',
        agentEpoch,
        term.now,
        token,
      );
      context.log.debug({ machine: machine.id, err: error }, 'direct commands unanswered');
    } finally {
      channel.busy = false;
    }
    if (term.machinesToCommand.has(machine.id)) this.onMoreDue();
  }

  /** The machine is gone. */
  closeChannel(id: string): void {
    this.channels.get(id)?.client.close();
    this.channels.delete(id);
  }

  /** Closes all connections; answers that still come are ignored. */
  stop(): void {
    this.stopped = true;
    for (const channel of this.channels.values()) channel.client.close();
    this.channels.clear();
  }
}
