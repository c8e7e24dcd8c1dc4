/** The leader's answers to heartbeats, which renew leases and carry commands. */

import type { Reply } from '../http/server.js';
import { scanMachineId } from '../wire/heartbeat-scan.js';
import { decodeHeartbeat, type Command, type Heartbeat } from '../wire/workers.js';
import { renewLease } from '../workers/lease-renewal.js';
import type { Machine } from '../workers/machine.js';
import type { Term } from './term/term.js';

/** Applies heartbeats to a term and answers them. */
export class HeartbeatAnswerer {
  constructor(
    private readonly term: Term,
    /** Called for each machine that was not known in this term. */
    private readonly onJoined: (machine: Machine) => void,
  ) {}

  /** Decodes a body's heartbeat; parses it only if it differs from the machine's last one. Throws BadRequestError. */
  decode(body: Buffer): Heartbeat {
    const machine = scanMachineId(body);
    const known = machine === null ? undefined : this.term.machines.get(machine);
    return known?.lastHeartbeat.decodeRepetition(body) ?? decodeHeartbeat(body);
  }

  /**
   * Answers a worker's heartbeat, received directly or forwarded by another controller. `body`: what it was
   * decoded from, if the machine's next heartbeat is to be compared with it.
   */
  answer(heartbeat: Heartbeat, body?: Buffer): Reply {
    const { term } = this;
    if (!this.mayAnswer(heartbeat)) return { status: 503, retryAfter: 1 };
    const machine = this.machineOf(heartbeat);
    const repeated = machine.isRepeated(heartbeat);
    if (body !== undefined && !repeated && !machine.lastHeartbeat.isDerivedFromCached(heartbeat)) {
      machine.lastHeartbeat.cache(heartbeat, body);
    }
    const isFenced = this.applyHeartbeat(machine, heartbeat);
    // Only here: a higher token in a direct message could overtake an answer, which the worker would then drop.
    if (!repeated) term.fenceDirectStarts(machine);
    const due = isFenced ? this.takeDueCommands(machine) : [];
    if (!repeated) machine.leaseRenewed(term.now);
    // The answer stops cancelled tasks even if the machine has not shown this term's token. Otherwise successive
    // terms shorter than two heartbeats all renew the lease, and none of them stops the cancelled tasks.
    return renewLease({
      token: machine.token,
      tasks: heartbeat.tasks,
      attempts: machine.attempts.values(),
      isCancelled: (job) => term.isCancelled(job),
      due,
    });
  }

  private mayAnswer({ token, machine }: Heartbeat): boolean {
    const { term } = this;
    if (!term.context.isEntitled()) return false;
    // The worker knows a later leader: it would ignore this answer, and its lease would expire meanwhile.
    if (term.isLaterToken(token)) return false;
    // A late copy of a heartbeat from a returned machine; if it were answered, work would be placed there.
    return !term.returnedMachines.has(machine);
  }

  /** Applies a heartbeat. Returns whether it is new and shows a token of this term. */
  private applyHeartbeat(machine: Machine, heartbeat: Heartbeat): boolean {
    const { term } = this;
    // The token may be higher if this term has fenced and forgotten the machine, or if a substitute has fenced it.
    machine.raiseToken(heartbeat.token);
    const changes = machine.applyHeartbeat(heartbeat, 'heartbeat', term.now);
    if (changes.stale) return false;
    term.reconcile(machine, changes);
    const isTrusted = machine.state === 'ready' || machine.state === 'returning';
    return isTrusted && machine.isOfTerm(heartbeat.token);
  }

  private takeDueCommands(machine: Machine): Command[] {
    const { term } = this;
    const commands = machine.dueCommands((attempt) => term.mayStart(attempt), true);
    term.commandLog.sending(machine, commands, 'heartbeat');
    machine.markSent(commands, 'heartbeat', term.now);
    term.machinesToCommand.delete(machine.id);
    return commands;
  }

  private machineOf(heartbeat: Heartbeat): Machine {
    const known = this.term.machines.has(heartbeat.machine);
    const machine = this.term.machine(heartbeat.machine);
    if (!known) {
      this.term.context.log.info(
        { machine: machine.id, type: heartbeat.type, zone: heartbeat.zone },
        'machine joined',
      );
      this.onJoined(machine);
      this.term.requestCycle();
    }
    return machine;
  }
}
