/** The leader's answers to heartbeats: leases renewed, and commands. */

import type { Reply } from '../http/server.js';
import { scanMachineId } from '../wire/heartbeat-scan.js';
import { decodeHeartbeat, type Command, type Heartbeat } from '../wire/workers.js';
import { renewLease } from '../workers/lease-renewal.js';
import type { Machine } from '../workers/machine.js';
import type { Term } from './term/term.js';

/** Takes heartbeats into a term and answers them. */
export class HeartbeatAnswerer {
  constructor(
    private readonly term: Term,
    /** Called with a machine that was not known in this term. */
    private readonly onJoined: (machine: Machine) => void,
  ) {}

  /** The heartbeat in a body, parsed unless it repeats the machine's last one. Throws BadMessage. */
  decode(body: Buffer): Heartbeat {
    const machine = scanMachineId(body);
    const known = machine === null ? undefined : this.term.machines.get(machine);
    return known?.lastHeartbeat.decodeRepetition(body) ?? decodeHeartbeat(body);
  }

  /**
   * Answers a worker's heartbeat, straight from it or forwarded by another controller. `body`: what it was
   * decoded from, if the machine's next heartbeat is to be compared with it.
   */
  answer(heartbeat: Heartbeat, body?: Buffer): Reply {
    const { term } = this;
    if (!this.mayAnswer(heartbeat)) return { status: 503, retryAfter: 1 };
    const machine = this.machineOf(heartbeat);
    const repeated = machine.isRepeated(heartbeat);
    if (body !== undefined && !repeated && !machine.lastHeartbeat.wasDecodedFrom(heartbeat)) {
      machine.lastHeartbeat.keep(heartbeat, body);
    }
    const isFenced = this.takeIn(machine, heartbeat);
    const due = isFenced ? this.takeDueCommands(machine) : [];
    if (!repeated) machine.leaseRenewed(term.now);
    // Also where nothing else may be told yet. Terms that are shorter than two heartbeats once renewed the
    // lease one after another, and none of them stopped what was cancelled.
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
    // Of a later leader: it would drop an answer from here, and its lease would run out meanwhile.
    if (term.isLaterToken(token)) return false;
    // A copy that was held back. Taken for a machine, work would be placed on it.
    return !term.returnedMachines.has(machine);
  }

  /** What the heartbeat shows. Returns whether it is new, and shows this term's token. */
  private takeIn(machine: Machine, heartbeat: Heartbeat): boolean {
    const { term } = this;
    // Fenced by this term, forgotten, and back; or fenced in this leader's place.
    machine.raiseToken(heartbeat.token);
    const changes = machine.applyHeartbeat(heartbeat, 'heartbeat', term.now);
    if (changes.stale) return false;
    term.reconcile(machine, changes);
    const isTrusted = machine.state === 'ready' || machine.state === 'returning';
    return isTrusted && heartbeat.token === machine.token;
  }

  private takeDueCommands(machine: Machine): Command[] {
    const { term } = this;
    const commands = machine.dueCommands((attempt) => term.mayStart(attempt), true);
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
