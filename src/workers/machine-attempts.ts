/** What a leader knows of the attempts on one machine, on evidence. */

import type { Command, Heartbeat, TaskStatus } from '../wire/workers.js';
import {
  advanceAttempt,
  attemptKey,
  makeAttempt,
  occupiesCapacity,
  type Attempt,
} from './attempt.js';
import { dueCommands } from './due-commands.js';
import { noChanges, type HeartbeatChanges } from './heartbeat-changes.js';

/**
 * How a message of the worker came: by itself, or as the answer to a direct command. Only a heartbeat that
 * came by itself proves that a start has not been carried out: one that is answered with it is over before
 * the next is sent.
 */
export type MessageOrigin = 'heartbeat' | 'direct-answer';

/** How a direct message ended: carried out or not, provably; or nobody knows. */
export type DirectOutcome = 'done' | 'refused' | 'unknown';

const keyOf = ({ job, index, number }: Attempt): string => attemptKey(job, index, number);

/** The attempts of one machine: what its worker's messages prove of them, and what it is told. */
export class MachineAttempts {
  readonly attempts = new Map<string, Attempt>();
  /** Counts changes of what is on it, so that what is derived from that is computed anew only then. */
  changeCount = 0;
  /** The epoch of its agent that was seen last; 0: none. */
  agentEpoch = 0;
  /** Number of the last fenced heartbeat of this epoch; answers to direct commands count separately. */
  fencedSequence = 0;

  constructor(
    readonly id: string,
    /** What commands to it carry: the term's token, or a higher one of the term; see `fenceUnanswered`. */
    public token: number,
  ) {}

  /** What is on it has changed. */
  markChanged(): void {
    this.changeCount++;
  }

  /**
   * Whether an unanswered start that may still arrive, since no higher token has been given since, keeps a task from
   * ending or being forgotten.
   */
  isBlockedByUnansweredStart(): boolean {
    for (const attempt of this.attempts.values()) {
      if (attempt.unansweredToken === null || attempt.sendingDirectly) continue;
      if (attempt.unansweredToken < this.token) continue;
      if (attempt.stopRequest !== null || attempt.state === 'ended') return true;
    }
    return false;
  }

  /** It has shown its token: starts that were sent with a lower one are not carried out any more. */
  protected clearUnansweredStarts(): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.unansweredToken !== null && attempt.unansweredToken < this.token)
        attempt.unansweredToken = null;
    }
  }

  /** Attempts that the heartbeat names. Returns their keys. */
  protected applyTasks(
    tasks: Heartbeat['tasks'],
    now: number,
    changes: HeartbeatChanges,
  ): ReadonlySet<string> {
    const shown = new Set<string>();
    for (const task of tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      shown.add(key);
      const attempt = this.attempts.get(key) ?? this.addUnclaimed(key, task, now, changes);
      attempt.agentEpoch = this.agentEpoch;
      attempt.cause = task.cause;
      attempt.saved = task.saved;
      if (attempt.state === 'claiming' || attempt.state === 'gone') continue;
      if (attempt.state === 'ended' && task.state !== 'ended') continue;
      if (!advanceAttempt(attempt, task.state, now)) continue;
      this.markChanged();
      (task.state === 'ended' ? changes.exited : changes.changed).push(attempt);
    }
    return shown;
  }

  private addUnclaimed(
    key: string,
    task: TaskStatus,
    now: number,
    changes: HeartbeatChanges,
  ): Attempt {
    const { job, index, attempt: number } = task;
    const attempt = makeAttempt({ job, index, number, machine: this.id }, 'inherited', now);
    this.attempts.set(key, attempt);
    this.markChanged();
    changes.unclaimed.push(attempt);
    return attempt;
  }

  /** Attempts that the heartbeat does not name. */
  protected applyAbsences(
    shown: ReadonlySet<string>,
    origin: MessageOrigin,
    now: number,
    changes: HeartbeatChanges,
  ): void {
    for (const [key, attempt] of [...this.attempts]) {
      if (shown.has(key)) continue;
      switch (attempt.state) {
        case 'claiming':
        case 'claimed':
        case 'gone':
          break;
        case 'sent':
          if (origin === 'heartbeat') this.noteStartNotTaken(attempt, now, changes);
          break;
        default:
          this.endAttempt(attempt, now, changes);
      }
    }
  }

  /** The answer that carried the start is over and the task is not there: it never will be. */
  private noteStartNotTaken(attempt: Attempt, now: number, changes: HeartbeatChanges): void {
    if (attempt.sendingDirectly || attempt.unansweredToken !== null) return;
    if (attempt.sentInHeartbeat !== null && this.fencedSequence <= attempt.sentInHeartbeat) return;
    advanceAttempt(attempt, 'claimed', now);
    attempt.rejectedStarts++;
    changes.rejectedStarts++;
    changes.changed.push(attempt);
  }

  /** It is provably not on the machine any more. */
  protected endAttempt(attempt: Attempt, now: number, changes: HeartbeatChanges): void {
    const before = attempt.state;
    if (!advanceAttempt(attempt, 'gone', now)) return;
    this.markChanged();
    this.attempts.delete(keyOf(attempt));
    if (before !== 'ended') changes.exited.push(attempt);
  }

  /** Everything on it is gone: the lease has expired for certain, or the cloud has confirmed it. */
  endAllAttempts(now: number): Attempt[] {
    const changes = noChanges();
    for (const attempt of [...this.attempts.values()]) this.endAttempt(attempt, now, changes);
    return changes.exited;
  }

  /** A claim that was never sent is withdrawn. */
  withdrawClaim(attempt: Attempt, now: number): void {
    advanceAttempt(attempt, 'gone', now);
    this.markChanged();
    this.attempts.delete(keyOf(attempt));
  }

  /** A claim that is to be stored, or that a record names. */
  addClaim(attempt: Attempt): void {
    this.markChanged();
    this.attempts.set(keyOf(attempt), attempt);
  }

  /** The claims that its stored record must name: everything that may be or may come on it. */
  claims(): Attempt[] {
    return [...this.attempts.values()].filter((attempt) => attempt.state !== 'gone');
  }

  /** The commands due now; see `dueCommands`. */
  dueCommands(mayStart: (attempt: Attempt) => boolean, repeatStops: boolean): Command[] {
    return dueCommands(this.attempts, mayStart, repeatStops);
  }

  /** Marks what goes out with the answer to a heartbeat, or straight to the worker. */
  markSent(commands: Command[], via: 'heartbeat' | 'direct', now: number): void {
    for (const command of commands) {
      const attempt = this.attempts.get(attemptKey(command.job, command.index, command.attempt));
      if (attempt === undefined) continue;
      if (command.kind === 'stop' && attempt.stopRequest !== null) {
        attempt.stopRequest.sentAt ??= now;
      }
      if (command.kind === 'start') this.markStartSent(attempt, via, now);
    }
  }

  private markStartSent(attempt: Attempt, via: 'heartbeat' | 'direct', now: number): void {
    if (attempt.state === 'claimed') advanceAttempt(attempt, 'sent', now);
    attempt.startSentAt ??= now;
    attempt.agentEpoch = this.agentEpoch;
    if (via === 'heartbeat') attempt.sentInHeartbeat = this.fencedSequence;
    else {
      attempt.sendingDirectly = true;
      attempt.sentInHeartbeat = null;
    }
  }

  /** How a direct message ended that carried this epoch and token. */
  directCommandsEnded(
    commands: Command[],
    outcome: DirectOutcome,
    agentEpoch: number,
    now: number,
    token = this.token,
  ): void {
    for (const command of commands) {
      const attempt = this.attempts.get(attemptKey(command.job, command.index, command.attempt));
      if (attempt === undefined) continue;
      if (command.kind === 'stop' && outcome !== 'done' && attempt.stopRequest !== null)
        attempt.stopRequest.sentAt = null;
      if (command.kind !== 'start') continue;
      attempt.sendingDirectly = false;
      if (outcome === 'unknown' && attempt.agentEpoch === agentEpoch)
        attempt.unansweredToken = token;
      if (outcome === 'refused' && attempt.state === 'sent' && attempt.unansweredToken === null) {
        advanceAttempt(attempt, 'claimed', now);
      }
    }
  }

  /** Whether any attempt holds capacity here. */
  hasActiveAttempts(): boolean {
    for (const attempt of this.attempts.values()) if (occupiesCapacity(attempt)) return true;
    return false;
  }

  /** Attempts that hold capacity here. */
  activeAttempts(): Attempt[] {
    return [...this.attempts.values()].filter(occupiesCapacity);
  }
}
