/** What a leader knows from evidence about the attempts on one machine. */

import type { Command, Heartbeat, TaskStatus } from '../wire/workers.js';
import {
  advanceAttempt,
  attemptKey,
  makeAttempt,
  occupiesCapacity,
  type Attempt,
} from './attempt.js';
import { dueCommands, isForgetDue, type DueCommandsOptions } from './due-commands.js';
import { noChanges, type HeartbeatChanges } from './heartbeat-changes.js';

/**
 * How a worker's message arrived: as a heartbeat, or as the answer to a direct command. Only a heartbeat proves
 * that a start was not carried out: a worker has processed the answer to one heartbeat before it sends the
 * next.
 */
export type MessageOrigin = 'heartbeat' | 'direct-answer';

/** The outcome of a direct message: carried out, provably not carried out, or unknown. */
export type DirectOutcome = 'done' | 'refused' | 'unknown';

const keyOf = ({ job, index, number }: Attempt): string => attemptKey(job, index, number);

/** The attempts of one machine: what its worker's messages prove about them, and the commands due to it. */
export class MachineAttempts {
  readonly attempts = new Map<string, Attempt>();
  /** Number of changes on the machine, so that derived data is recomputed only after a change. */
  changeCount = 0;
  /** The latest agent epoch seen; 0: none. */
  agentEpoch = 0;
  /** Number of the last fenced heartbeat of this epoch; answers to direct commands are not included. */
  fencedSequence = 0;
  /** Fencing token of commands to it: the term's token, or a higher one of the term; see `fenceDirectStarts`. */
  token: number;
  private directMessagesInFlight = 0;

  constructor(
    readonly id: string,
    /** The token of the term: a worker that shows it, or a higher one of the term, refuses all earlier leaders. */
    protected readonly termToken: number,
  ) {
    this.token = termToken;
  }

  /** Records a change on the machine. */
  markChanged(): void {
    this.changeCount++;
  }

  /**
   * The token of the latest direct start that the worker must refuse before a task can be settled: the start may not have
   * arrived yet, and its task has to end. Null: there is none.
   */
  unansweredStartToRefuse(): number | null {
    return this.latestDirectStart(
      ({ state, stopRequest }) => state === 'sent' && stopRequest !== null,
    );
  }

  /**
   * The token of the latest direct start that the worker must refuse before it may forget an attempt. Null: there is none,
   * or a direct message is in flight, which the worker would refuse too.
   */
  startToRefuseBeforeForgetting(): number | null {
    return this.directMessagesInFlight > 0 ? null : this.latestDirectStart(isForgetDue);
  }

  /** The highest token of direct starts that the worker may still carry out. Null: there is none. */
  private latestDirectStart(concerns: (attempt: Attempt) => boolean): number | null {
    let latest: number | null = null;
    for (const attempt of this.attempts.values()) {
      const { directStartToken: token, sendingDirectly } = attempt;
      if (token === null || token < this.token || sendingDirectly || !concerns(attempt)) continue;
      latest = Math.max(latest ?? token, token);
    }
    return latest;
  }

  /** The worker has shown this token: it refuses all direct starts that were sent with a lower one. */
  protected clearRefusedStarts(shownToken: number): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.directStartToken !== null && attempt.directStartToken < shownToken)
        attempt.directStartToken = null;
    }
  }

  /** Applies the tasks that the heartbeat reports. Returns the keys of their attempts. */
  protected applyTasks(
    tasks: Heartbeat['tasks'],
    now: number,
    changes: HeartbeatChanges,
  ): ReadonlySet<string> {
    const reportedKeys = new Set<string>();
    for (const task of tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      reportedKeys.add(key);
      const attempt =
        this.reportedAttempt(key, task, now, changes) ?? this.addUnclaimed(key, task, now, changes);
      attempt.agentEpoch = this.agentEpoch;
      attempt.cause = task.cause;
      attempt.saved = task.saved;
      if (attempt.state === 'claiming' || attempt.state === 'gone') continue;
      if (!advanceAttempt(attempt, task.state, now)) continue;
      this.markChanged();
      (task.state === 'ended' ? changes.exited : changes.changed).push(attempt);
    }
    return reportedKeys;
  }

  /** The known attempt of a reported task. Undefined: none, or it had ended and runs again, which nothing has claimed. */
  private reportedAttempt(
    key: string,
    task: TaskStatus,
    now: number,
    changes: HeartbeatChanges,
  ): Attempt | undefined {
    const attempt = this.attempts.get(key);
    if (attempt?.state !== 'ended' || task.state === 'ended') return attempt;
    this.endAttempt(attempt, now, changes);
    return undefined;
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

  /** Updates the attempts that the heartbeat does not report. */
  protected applyAbsences(
    reportedKeys: ReadonlySet<string>,
    origin: MessageOrigin,
    now: number,
    changes: HeartbeatChanges,
  ): void {
    for (const [key, attempt] of [...this.attempts]) {
      if (reportedKeys.has(key)) continue;
      switch (attempt.state) {
        case 'claiming':
        case 'claimed':
        case 'gone':
          break;
        case 'sent':
          if (origin === 'heartbeat') this.revertRejectedStart(attempt, now, changes);
          break;
        default:
          this.endAttempt(attempt, now, changes);
      }
    }
  }

  /**
   * The worker has processed the answer with the start, and the task is not there: this start will never be
   * carried out.
   */
  private revertRejectedStart(attempt: Attempt, now: number, changes: HeartbeatChanges): void {
    if (attempt.sendingDirectly || attempt.directStartToken !== null) return;
    if (attempt.sentInHeartbeat !== null && this.fencedSequence <= attempt.sentInHeartbeat) return;
    advanceAttempt(attempt, 'claimed', now);
    attempt.rejectedStarts++;
    changes.rejectedStarts++;
    changes.changed.push(attempt);
  }

  /** Marks an attempt as provably no longer on the machine. */
  protected endAttempt(attempt: Attempt, now: number, changes: HeartbeatChanges): void {
    const before = attempt.state;
    if (!advanceAttempt(attempt, 'gone', now)) return;
    this.markChanged();
    this.attempts.delete(keyOf(attempt));
    if (before !== 'ended') changes.exited.push(attempt);
  }

  /**
   * Ends all attempts on the machine: its lease has certainly expired, or the cloud has confirmed that it is
   * gone.
   */
  endAllAttempts(now: number): Attempt[] {
    const changes = noChanges();
    for (const attempt of [...this.attempts.values()]) this.endAttempt(attempt, now, changes);
    return changes.exited;
  }

  /** Withdraws a claim whose start was never sent. */
  withdrawClaim(attempt: Attempt, now: number): void {
    advanceAttempt(attempt, 'gone', now);
    this.markChanged();
    this.attempts.delete(keyOf(attempt));
  }

  /** Adds a claim that is to be stored, or that a stored record names. */
  addClaim(attempt: Attempt): void {
    this.markChanged();
    this.attempts.set(keyOf(attempt), attempt);
  }

  /**
   * The claims that the machine's stored record must name: all attempts that are or may later be on the
   * machine.
   */
  claims(): Attempt[] {
    return [...this.attempts.values()].filter((attempt) => attempt.state !== 'gone');
  }

  /** The commands due now; see `dueCommands`. */
  dueCommands(
    mayStart: DueCommandsOptions['mayStart'],
    repeatSent: DueCommandsOptions['repeatSent'],
  ): Command[] {
    return dueCommands(this.attempts, { token: this.token, mayStart, repeatSent });
  }

  /** Records that commands are sent with the answer to a heartbeat, or directly to the worker. */
  markSent(commands: Command[], via: 'heartbeat' | 'direct', now: number): void {
    if (via === 'direct') this.directMessagesInFlight++;
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
      attempt.directStartToken = this.token;
      attempt.sentInHeartbeat = null;
    }
  }

  /** Applies the outcome of a direct message. */
  applyDirectOutcome(commands: Command[], outcome: DirectOutcome, now: number): void {
    this.directMessagesInFlight--;
    for (const command of commands) {
      const attempt = this.attempts.get(attemptKey(command.job, command.index, command.attempt));
      if (attempt === undefined) continue;
      if (command.kind === 'stop' && outcome !== 'done' && attempt.stopRequest !== null)
        attempt.stopRequest.sentAt = null;
      if (command.kind !== 'start') continue;
      attempt.sendingDirectly = false;
      if (outcome === 'refused' && attempt.state === 'sent') this.startRefused(attempt, now);
    }
  }

  /** The start was refused, as any copy will be: tokens and agent epochs only rise. */
  private startRefused(attempt: Attempt, now: number): void {
    advanceAttempt(attempt, 'claimed', now);
    attempt.directStartToken = null;
  }

  /** Whether any attempt occupies capacity here. */
  hasActiveAttempts(): boolean {
    for (const attempt of this.attempts.values()) if (occupiesCapacity(attempt)) return true;
    return false;
  }

  /** Attempts that occupy capacity here. */
  activeAttempts(): Attempt[] {
    return [...this.attempts.values()].filter(occupiesCapacity);
  }
}
