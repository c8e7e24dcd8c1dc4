import type { Machine } from '../../workers/machine.js';
import type { Term } from '../term/term.js';
import type { DirectTransport } from './direct-channels.js';

/** Sends commands directly to workers when they should not wait for the next heartbeat. */
export class CommandDispatcher {
  private stopped = false;

  constructor(
    private readonly term: Term,
    private readonly transport: DirectTransport,
    private readonly onMoreDue: () => void,
  ) {}

  /** Sends the due commands to all machines that should not wait for their next heartbeat. */
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

  private async sendTo(machine: Machine): Promise<void> {
    const { term } = this;
    const channel = this.transport.channelTo(machine);
    if (channel === null) return;
    const commands = machine.dueCommands((attempt) => term.mayStartDirectly(attempt), false);
    term.machinesToCommand.delete(machine.id);
    if (commands.every((command) => command.kind === 'forget')) return;
    const { agentEpoch, token } = machine;
    term.commandLog.sending(machine, commands, 'direct');
    machine.markSent(commands, 'direct', term.now);
    const { outcome, heartbeat } = await channel.send({ token, agentEpoch, commands });
    if (this.stopped) return;
    term.commandLog.answered(machine, token, outcome);
    machine.applyDirectOutcome(commands, outcome, term.now);
    if (heartbeat?.machine === machine.id)
      term.reconcile(machine, machine.applyHeartbeat(heartbeat, 'direct-answer', term.now));
    if (term.machinesToCommand.has(machine.id)) this.onMoreDue();
  }

  /** Closes the connection to a machine that no longer exists. */
  closeChannel(id: string): void {
    this.transport.closeChannel(id);
  }

  /** Closes all connections; later answers are ignored. */
  stop(): void {
    this.stopped = true;
    this.transport.stop();
  }
}
