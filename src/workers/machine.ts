import { MAX_CLOCK_DRIFT } from '../clock.js';
import type { Command, Heartbeat, TaskStatus } from '../wire/workers.js';
import { LastHeartbeat } from '../wire/last-heartbeat.js';
import {
  advanceAttempt,
  attemptKey,
  occupiesCapacity,
  makeAttempt,
  type Attempt,
} from './attempt.js';
import { dueCommands } from './due-commands.js';
import { noChanges, type HeartbeatChanges } from './heartbeat-changes.js';
import { ImageCache } from './image-cache.js';
import { MachineCondition } from './machine-condition.js';

/**
 * What a leader knows of one machine, on evidence.
 *
 *   unheard    nothing heard in this term
 *   fencing    heard, but it has not yet shown that it knows this term's token
 *   ready      it has: its task list can be trusted
 *   silent     its lease has provably run out; whatever was on it is gone
 *   returning  to be given back; nothing new starts
 *   returned   the cloud has confirmed that it is gone
 */
export type MachineState = 'unheard' | 'fencing' | 'ready' | 'silent' | 'returning' | 'returned';

const TRANSITIONS: Record<MachineState, MachineState[]> = {
  unheard: ['fencing', 'ready', 'silent', 'returning', 'returned'],
  fencing: ['ready', 'silent', 'returning', 'returned'],
  ready: ['fencing', 'silent', 'returning', 'returned'],
  silent: ['fencing', 'ready', 'returning', 'returned'],
  returning: ['returned'],
  returned: [],
};

/**
 * How a message of the worker came: by itself, or as the answer to a direct command. Only a heartbeat that
 * came by itself proves that a start has not been carried out: one that is answered with it is over before
 * the next is sent.
 */
export type MessageOrigin = 'heartbeat' | 'direct-answer';

/** How a direct message ended: carried out or not, provably; or nobody knows. */
export type DirectOutcome = 'done' | 'refused' | 'unknown';

/** Share of a lease that a worker may need to notice that its lease has expired. */
const EXPIRY_SHARE = 0.04;
/** Share of a lease for which a substitute may still have renewed when a term began. */
const SUBSTITUTE_SHARE = 0.1;

/** One machine in a term of leadership: who it is, what its lease and token say, and its attempts. */
export class Machine {
  state: MachineState = 'unheard';
  addr = '';
  type = '';
  zone = '';
  spot = false;
  agentEpoch = 0;
  sequence = 0;
  /** Number of the last fenced heartbeat of this epoch; answers to direct commands count separately. */
  fencedSequence = 0;
  /** The newest heartbeat that came by itself, fenced or not, and when. */
  private newestHeartbeat = { agentEpoch: 0, sequence: -1 };
  heartbeatAt = -Infinity;
  /** The newest heartbeat that had to be parsed, to recognise those that only repeat it. */
  readonly lastHeartbeat = new LastHeartbeat();
  lastSeenAt: number;
  firstSeenAt: number | null = null;
  /** When the worker's lease has run out for certain. */
  leaseExpiresAt: number;
  /** Time at which the cloud takes it, from its notice. */
  reclaimedAt: number | null = null;
  readonly attempts = new Map<string, Attempt>();
  readonly images = new ImageCache();
  /** Since when nothing holds room on it. */
  idleSince: number;
  readonly condition = new MachineCondition();
  /** Being emptied to be given back: nothing new until then. */
  drainingSince: number | null = null;
  /** Counts changes of what is on it, so that what is derived from that is reckoned anew only then. */
  changeCount = 0;
  /** Revision of its record, 0: none stored. */
  recordRevision = 0;
  recordTerm = 0;
  /** Its record says that it is being returned. */
  returnRecorded = false;
  listedAgeS: number | null = null;

  /** The token that its record is to name next; above `token`: the machine is to be fenced anew. */
  nextToken: number;

  constructor(
    readonly id: string,
    /** What commands to it carry: the term's token, or a later revision of the term's own commits. */
    public token: number,
    private readonly leaseS: number,
    readonly knownAt: number,
  ) {
    this.nextToken = token;
    this.lastSeenAt = knownAt;
    this.idleSince = knownAt;
    // Whoever led before may have renewed its lease until this term began; a substitute, in an outage
    // that had just ended then, for a moment more.
    this.leaseExpiresAt = knownAt + this.leaseSpanS() + this.leaseS * SUBSTITUTE_SHARE;
  }

  private leaseSpanS(): number {
    return this.leaseS * (1 + 2 * MAX_CLOCK_DRIFT) + this.leaseS * EXPIRY_SHARE;
  }

  changeState(to: MachineState): boolean {
    if (to === this.state) return false;
    if (!TRANSITIONS[this.state].includes(to)) return false;
    this.state = to;
    return true;
  }

  /** Its record names a higher token: from now on it is given that, and trusted once it shows it. */
  raiseToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.nextToken = Math.max(this.nextToken, token);
    if (this.state === 'ready') this.changeState('fencing');
  }

  /** Whether an unanswered start that may still arrive keeps a task from ending or being forgotten. */
  isBlockedByUnansweredStart(): boolean {
    for (const attempt of this.attempts.values()) {
      if (attempt.unansweredToken === null || attempt.sendingDirectly) continue;
      if (attempt.stopRequest !== null || attempt.state === 'ended') return true;
    }
    return false;
  }

  /** It has shown its token: starts that were sent with a lower one are not carried out any more. */
  private clearUnansweredStarts(): void {
    for (const attempt of this.attempts.values()) {
      if (attempt.unansweredToken !== null && attempt.unansweredToken < this.token)
        attempt.unansweredToken = null;
    }
  }

  /** What is on it has changed. */
  markChanged(): void {
    this.changeCount++;
  }

  /**
   * Whether a heartbeat at least as new has come by itself before. Then it is a late copy: the worker
   * has long stopped waiting for its answer, which renews nothing.
   */
  isRepeated(heartbeat: Heartbeat): boolean {
    return !isNewer(heartbeat, this.newestHeartbeat);
  }

  /** A 200 to a heartbeat is about to be sent: it renews the lease, counted from the sending. */
  leaseRenewed(now: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, now + this.leaseSpanS());
  }

  /** Takes in a heartbeat, and what it proves of the attempts here. */
  applyHeartbeat(heartbeat: Heartbeat, origin: MessageOrigin, now: number): HeartbeatChanges {
    const changes = noChanges();
    if (origin === 'heartbeat' && !this.isRepeated(heartbeat)) {
      const { agentEpoch, sequence } = heartbeat;
      this.newestHeartbeat = { agentEpoch, sequence };
      this.heartbeatAt = now;
    }
    if (!isNewer(heartbeat, this)) {
      // A late copy, or overtaken by the answer to a direct message. It proves nothing new.
      changes.stale = true;
      return changes;
    }
    if (heartbeat.agentEpoch > this.agentEpoch) this.beginEpoch(heartbeat, now, changes);
    this.noteIdentity(heartbeat, now);
    if (this.state === 'silent') this.changeState('fencing');
    if (heartbeat.token !== this.token) {
      // Not fenced: an older leader's commands may still be carried out after this heartbeat.
      this.changeState('fencing');
      return changes;
    }
    this.changeState('ready');
    this.clearUnansweredStarts();
    if (origin === 'heartbeat') this.fencedSequence = heartbeat.sequence;
    const shown = this.applyTasks(heartbeat.tasks, now, changes);
    this.applyAbsences(shown, origin, now, changes);
    return changes;
  }

  /** The agent began anew: an epoch that has moved on takes everything with it, late messages included. */
  private beginEpoch({ agentEpoch }: Heartbeat, now: number, changes: HeartbeatChanges): void {
    changes.agentRestarted = this.agentEpoch !== 0;
    // Shown by the answer to a direct command perhaps, which renews nothing: but an epoch begins
    // with a lease of its own, and what is started in it may be there until that has expired.
    this.leaseRenewed(now);
    this.agentEpoch = agentEpoch;
    for (const attempt of [...this.attempts.values()]) {
      const isOld = attempt.agentEpoch !== null && attempt.agentEpoch < agentEpoch;
      if (isOld && attempt.state !== 'claiming') this.endAttempt(attempt, now, changes);
    }
  }

  private noteIdentity(heartbeat: Heartbeat, now: number): void {
    this.sequence = heartbeat.sequence;
    this.lastSeenAt = now;
    this.firstSeenAt ??= now;
    this.addr = heartbeat.addr;
    this.type = heartbeat.type;
    this.zone = heartbeat.zone;
    this.spot = heartbeat.spot;
    if (heartbeat.reclaimNoticeS === null) return;
    const at = now + heartbeat.reclaimNoticeS;
    this.reclaimedAt = this.reclaimedAt === null ? at : Math.min(this.reclaimedAt, at);
  }

  /** Attempts that the heartbeat names. Returns their keys. */
  private applyTasks(
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
  private applyAbsences(
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

  private endAttempt(attempt: Attempt, now: number, changes: HeartbeatChanges): void {
    const before = attempt.state;
    if (!advanceAttempt(attempt, 'gone', now)) return;
    this.markChanged();
    this.attempts.delete(keyOf(attempt));
    if (before !== 'ended') changes.exited.push(attempt);
  }

  /** Everything on it is gone: the lease has run out for certain, or the cloud has confirmed it. */
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

  hasActiveAttempts(): boolean {
    for (const attempt of this.attempts.values()) if (occupiesCapacity(attempt)) return true;
    return false;
  }

  activeAttempts(): Attempt[] {
    return [...this.attempts.values()].filter(occupiesCapacity);
  }

  /** A task there uses this image. */
  noteImage(image: string, gb: number, cacheGb: number, now: number): void {
    this.markChanged();
    this.images.noteUse(image, gb, cacheGb, now);
  }
}

const keyOf = ({ job, index, number }: Attempt): string => attemptKey(job, index, number);

/** Whether a heartbeat is newer than a point in the sequence of its worker's messages. */
const isNewer = (heartbeat: Heartbeat, than: { agentEpoch: number; sequence: number }): boolean =>
  heartbeat.agentEpoch > than.agentEpoch ||
  (heartbeat.agentEpoch === than.agentEpoch && heartbeat.sequence > than.sequence);
