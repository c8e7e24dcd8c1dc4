/** Logs and counts the commands to workers: what was sent under which token, and why it was allowed. */

import { attemptKey } from '../../workers/attempt.js';
import type { DirectOutcome } from '../../workers/machine-attempts.js';
import type { Machine } from '../../workers/machine.js';
import type { Command } from '../../wire/workers.js';
import type { TermState } from '../term/term-state.js';

/** How commands are sent: with the answer to a heartbeat, or in a direct message. */
export type CommandRoute = 'heartbeat' | 'direct';

/** The commands of one message, as they are logged: attempts by `attemptKey`. */
interface LoggedCommands {
  /** Started attempts, each with the revision at which its claim was stored. */
  starts: string[];
  /** Stopped attempts, each with its grace period in seconds and the reason. */
  stops: string[];
  forgets: string[];
}

/** Writes one line for each message that carries commands for the first time. */
export class CommandLog {
  private readonly counts = {
    commands_direct: 0,
    commands_direct_refused: 0,
    commands_direct_unanswered: 0,
    starts_direct: 0,
    starts_with_heartbeat: 0,
  };

  constructor(private readonly term: TermState) {}

  /** Called before `markSent`, so that repeated stops can be told from new ones. */
  sending(machine: Machine, commands: readonly Command[], route: CommandRoute): void {
    if (commands.length === 0) return;
    const logged = this.describe(machine, commands);
    if (route === 'direct') this.counts.commands_direct++;
    this.counts[route === 'direct' ? 'starts_direct' : 'starts_with_heartbeat'] +=
      logged.starts.length;
    if (logged.starts.length + logged.stops.length + logged.forgets.length === 0) return;
    const { id, token, agentEpoch, sequence } = machine;
    this.term.context.log.info(
      {
        machine: id,
        route,
        token,
        agentEpoch,
        sequence,
        revision: this.term.context.replica.applied,
        ...logged,
      },
      'commands sent',
    );
  }

  /** Called when the outcome of a direct message with this token is known. */
  answered(machine: Machine, token: number, outcome: DirectOutcome): void {
    if (outcome === 'done') return;
    this.counts[outcome === 'refused' ? 'commands_direct_refused' : 'commands_direct_unanswered']++;
    const { id, agentEpoch, sequence } = machine;
    this.term.context.log.info(
      { machine: id, token, agentEpoch, sequence, outcome },
      'direct commands not carried out for certain',
    );
  }

  private describe(machine: Machine, commands: readonly Command[]): LoggedCommands {
    const logged: LoggedCommands = { starts: [], stops: [], forgets: [] };
    for (const { kind, job, index, attempt: number } of commands) {
      const key = attemptKey(job, index, number);
      const attempt = machine.attempts.get(key);
      if (kind === 'forget') logged.forgets.push(key);
      if (kind === 'start') logged.starts.push(`${key}@${attempt?.claimRevision ?? ''}`);
      if (kind !== 'stop' || attempt?.stopRequest?.sentAt !== null) continue;
      const { graceS, reason } = attempt.stopRequest;
      logged.stops.push(`${key} ${graceS}s ${reason}`);
    }
    return logged;
  }

  /** Values for `/metrics`. */
  statistics(): Record<string, number> {
    return { ...this.counts };
  }
}
