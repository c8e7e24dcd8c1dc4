import { MAX_CLOCK_DRIFT } from '../clock.js';
import type { Command, Heartbeat } from '../wire/workers.js';
import { LastHeartbeat } from '../wire/last-heartbeat.js';
import { MAX_COMMANDS_PER_MESSAGE } from '../wire/workers.js';
import {
  advanceAttempt,
  attemptKey,
  occupiesCapacity,
  makeAttempt,
  mayBeOnMachine,
  type Attempt,
} from './attempt.js';

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

export interface HeartbeatChanges {
  /** Attempts that are provably not on the machine any more, or exited. */
  exited: Attempt[];
  /** Attempts whose state changed otherwise. */
  changed: Attempt[];
  /** On the machine by its report, but unknown here. */
  unclaimed: Attempt[];
  /** Starts that the worker did not take. */
  rejectedStarts: number;
  agentRestarted: boolean;
  stale: boolean;
}

export class Machine {
  state: MachineState = 'unheard';
  addr = '';
  type = '';
  zone = '';
  spot = false;
  agentEpoch = 0;
  sequence = 0;
  /** The last fenced check-in's number in this session; answers of /do count separately. */
  fencedSequence = 0;
  /** The newest check-in that came by itself, fenced or not, and when. */
  private newestHeartbeat = { session: 0, seq: -1 };
  heartbeatAt = -Infinity;
  /** The newest check-in that had to be parsed, to recognise those that only repeat it. */
  readonly lastHeartbeat = new LastHeartbeat();
  lastSeenAt: number;
  firstSeenAt: number | null = null;
  /** When the worker's lease has run out for certain. */
  leaseExpiresAt: number;
  /** Time at which the cloud takes it, from its notice. */
  reclaimedAt: number | null = null;
  readonly attempts = new Map<string, Attempt>();
  /** Images seen there and when last, the most recently used last. */
  images = new Map<string, { gb: number; at: number }>();
  /** All that was ever seen to be fetched there. */
  fetchedGb = 0;
  /** Since when nothing holds room on it. */
  idleSince: number;
  /** No new work before this time, because it did not do what it was told. */
  cordonedUntil = -Infinity;
  cordonCount = 0;
  /** Jobs whose tasks failed here, and when; emptied by a success. */
  taskFailures = new Map<string, number>();
  successes = 0;
  quarantined = false;
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
    this.leaseExpiresAt = knownAt + this.leaseSpanS() + this.leaseS * 0.1;
  }

  private leaseSpanS(): number {
    return this.leaseS * (1 + 2 * MAX_CLOCK_DRIFT) + this.leaseS * 0.04;
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
   * Whether a check-in at least as new has come by itself before. Then it is a late copy: the worker
   * has long stopped waiting for its answer, which renews nothing.
   */
  isRepeated(heartbeat: Heartbeat): boolean {
    const { session, seq } = this.newestHeartbeat;
    return (
      heartbeat.agentEpoch < session ||
      (heartbeat.agentEpoch === session && heartbeat.sequence <= seq)
    );
  }

  /** A 200 to a check-in is about to be sent: it renews the lease, counted from the sending. */
  leaseRenewed(now: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, now + this.leaseSpanS());
  }

  /**
   * Takes in a report. `checkin`: it came by itself, not as the answer to a direct message. Only
   * check-ins prove that a start has not been carried out: one that is answered with it is over
   * before the next is sent.
   */
  applyHeartbeat(heartbeat: Heartbeat, checkin: boolean, now: number): HeartbeatChanges {
    const changes: HeartbeatChanges = {
      exited: [],
      changed: [],
      unclaimed: [],
      rejectedStarts: 0,
      agentRestarted: false,
      stale: false,
    };
    if (checkin && !this.isRepeated(heartbeat)) {
      this.newestHeartbeat = { session: heartbeat.agentEpoch, seq: heartbeat.sequence };
      this.heartbeatAt = now;
    }
    if (
      heartbeat.agentEpoch < this.agentEpoch ||
      (heartbeat.agentEpoch === this.agentEpoch && heartbeat.sequence <= this.sequence)
    ) {
      // A late copy, or overtaken by the answer to a direct message. It proves nothing new.
      changes.stale = true;
      return changes;
    }
    if (heartbeat.agentEpoch > this.agentEpoch) {
      changes.agentRestarted = this.agentEpoch !== 0;
      // Shown by the answer to a direct command perhaps, which renews nothing: but a session begins
      // with a lease of its own, and what is started in it may be there until that has run out.
      this.leaseRenewed(now);
      this.agentEpoch = heartbeat.agentEpoch;
      for (const attempt of [...this.attempts.values()]) {
        // A session that has moved on takes everything with it, late messages included.
        if (
          attempt.agentEpoch !== null &&
          attempt.agentEpoch < heartbeat.agentEpoch &&
          attempt.state !== 'claiming'
        ) {
          this.endAttempt(attempt, now, changes);
        }
      }
    }
    this.sequence = heartbeat.sequence;
    this.lastSeenAt = now;
    this.firstSeenAt ??= now;
    this.addr = heartbeat.addr;
    this.type = heartbeat.type;
    this.zone = heartbeat.zone;
    this.spot = heartbeat.spot;
    if (heartbeat.reclaimNoticeS !== null) {
      const at = now + heartbeat.reclaimNoticeS;
      this.reclaimedAt = this.reclaimedAt === null ? at : Math.min(this.reclaimedAt, at);
    }
    if (this.state === 'silent') this.changeState('fencing');
    if (heartbeat.token !== this.token) {
      // Not fenced: an older leader's commands may still be carried out after this report.
      this.changeState('fencing');
      return changes;
    }
    this.changeState('ready');
    this.clearUnansweredStarts();
    if (checkin) this.fencedSequence = heartbeat.sequence;
    this.reconcileTasks(heartbeat.tasks, checkin, now, changes);
    return changes;
  }

  private reconcileTasks(
    tasks: Heartbeat['tasks'],
    checkin: boolean,
    now: number,
    changes: HeartbeatChanges,
  ): void {
    const shown = new Set<string>();
    for (const task of tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      shown.add(key);
      let attempt = this.attempts.get(key);
      if (attempt === undefined) {
        attempt = makeAttempt(task.job, task.index, task.attempt, this.id, 'inherited', now);
        attempt.agentEpoch = this.agentEpoch;
        this.attempts.set(key, attempt);
        this.markChanged();
        changes.unclaimed.push(attempt);
      }
      attempt.agentEpoch = this.agentEpoch;
      attempt.cause = task.cause;
      attempt.saved = task.saved;
      if (attempt.state === 'claiming' || attempt.state === 'gone') continue;
      if (attempt.state === 'ended' && task.state !== 'ended') continue;
      if (advanceAttempt(attempt, task.state, now)) {
        this.markChanged();
        (task.state === 'ended' ? changes.exited : changes.changed).push(attempt);
      }
    }
    for (const [key, attempt] of [...this.attempts]) {
      if (shown.has(key)) continue;
      switch (attempt.state) {
        case 'claiming':
        case 'claimed':
        case 'gone':
          break;
        case 'sent':
          if (!checkin || attempt.sendingDirectly || attempt.unansweredToken !== null) break;
          if (attempt.sentInHeartbeat !== null && this.fencedSequence <= attempt.sentInHeartbeat)
            break;
          // The answer that carried the start is over and it is not there: it never will be.
          advanceAttempt(attempt, 'claimed', now);
          attempt.rejectedStarts++;
          changes.rejectedStarts++;
          changes.changed.push(attempt);
          break;
        default:
          this.endAttempt(attempt, now, changes);
      }
    }
  }

  private endAttempt(attempt: Attempt, now: number, changes: HeartbeatChanges): void {
    const before = attempt.state;
    if (!advanceAttempt(attempt, 'gone', now)) return;
    this.markChanged();
    this.attempts.delete(attemptKey(attempt.job, attempt.index, attempt.number));
    if (before !== 'ended') changes.exited.push(attempt);
  }

  /** Everything on it is gone: the lease has run out for certain, or the cloud has confirmed it. */
  endAllAttempts(now: number): Attempt[] {
    const changes: HeartbeatChanges = {
      exited: [],
      changed: [],
      unclaimed: [],
      rejectedStarts: 0,
      agentRestarted: false,
      stale: false,
    };
    for (const attempt of [...this.attempts.values()]) this.endAttempt(attempt, now, changes);
    return changes.exited;
  }

  /** A claim that was never sent is withdrawn. */
  withdrawClaim(attempt: Attempt, now: number): void {
    advanceAttempt(attempt, 'gone', now);
    this.markChanged();
    this.attempts.delete(attemptKey(attempt.job, attempt.index, attempt.number));
  }

  addClaim(attempt: Attempt): void {
    this.markChanged();
    this.attempts.set(attemptKey(attempt.job, attempt.index, attempt.number), attempt);
  }

  /** The claims that its stored record must name: everything that may be or may come on it. */
  claims(): Attempt[] {
    return [...this.attempts.values()].filter((attempt) => attempt.state !== 'gone');
  }

  /**
   * The commands due now. Forgetting goes first, so that a task may come back to its machine; then
   * stops, then starts.
   */
  dueCommands(
    now: number,
    mayStart: (attempt: Attempt) => boolean,
    repeatStops: boolean,
  ): Command[] {
    const forget: Command[] = [];
    const stops: Command[] = [];
    const starts: Command[] = [];
    const forgotten = new Set<string>();
    for (const each of this.attempts.values()) {
      const { job, index, number: attempt } = each;
      if (each.state === 'ended') {
        // A start that may still arrive would begin anew what has been forgotten.
        if (each.settled && each.unansweredToken === null && !each.sendingDirectly) {
          forget.push({ kind: 'forget', job, index, attempt });
          forgotten.add(`${job}/${index}`);
        }
      } else if (each.stopRequest !== null) {
        if (mayBeOnMachine(each) && (repeatStops || each.stopRequest.sentAt === null)) {
          stops.push({ kind: 'stop', job, index, attempt, graceS: each.stopRequest.graceS });
        }
      }
    }
    for (const attempt of this.attempts.values()) {
      const again =
        attempt.state === 'sent' &&
        attempt.unansweredToken !== null &&
        !attempt.sendingDirectly &&
        repeatStops;
      if (attempt.stopRequest !== null || (attempt.state !== 'claimed' && !again)) continue;
      if (attempt.sendingDirectly || !mayStart(attempt)) continue;
      if (this.hasOtherAttempt(attempt) && !forgotten.has(`${attempt.job}/${attempt.index}`))
        continue;
      starts.push({
        kind: 'start',
        job: attempt.job,
        index: attempt.index,
        attempt: attempt.number,
      });
    }
    return [...forget, ...stops, ...starts].slice(0, MAX_COMMANDS_PER_MESSAGE);
  }

  private hasOtherAttempt(attempt: Attempt): boolean {
    for (const each of this.attempts.values()) {
      if (each !== attempt && each.index === attempt.index && each.job === attempt.job) return true;
    }
    return false;
  }

  /** Marks what goes out with the answer to a check-in, or straight to the worker. */
  markSent(commands: Command[], via: 'checkin' | 'direct', now: number): void {
    for (const command of commands) {
      const attempt = this.attempts.get(attemptKey(command.job, command.index, command.attempt));
      if (attempt === undefined) continue;
      if (command.kind === 'stop' && attempt.stopRequest !== null)
        attempt.stopRequest.sentAt ??= now;
      if (command.kind === 'start') {
        if (attempt.state === 'claimed') advanceAttempt(attempt, 'sent', now);
        attempt.startSentAt ??= now;
        attempt.agentEpoch = this.agentEpoch;
        if (via === 'checkin') attempt.sentInHeartbeat = this.fencedSequence;
        else {
          attempt.sendingDirectly = true;
          attempt.sentInHeartbeat = null;
        }
      }
    }
  }

  /** How a direct message ended: carried out or not, provably; or nobody knows. */
  directCommandsEnded(
    commands: Command[],
    how: 'done' | 'refused' | 'unknown',
    session: number,
    now: number,
    /** What the message carried. */
    token = this.token,
  ): void {
    for (const command of commands) {
      const attempt = this.attempts.get(attemptKey(command.job, command.index, command.attempt));
      if (attempt === undefined) continue;
      if (command.kind === 'stop' && how !== 'done' && attempt.stopRequest !== null)
        attempt.stopRequest.sentAt = null;
      if (command.kind !== 'start') continue;
      attempt.sendingDirectly = false;
      if (how === 'unknown' && attempt.agentEpoch === session) attempt.unansweredToken = token;
      if (how === 'refused' && attempt.state === 'sent' && attempt.unansweredToken === null) {
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

  noteImage(image: string, gb: number, cacheGb: number, now: number): void {
    this.markChanged();
    if (!this.images.has(image)) this.fetchedGb += gb;
    this.images.delete(image);
    this.images.set(image, { gb, at: now });
    let total = 0;
    for (const image of this.images.values()) total += image.gb;
    for (const [name, i] of this.images) {
      if (total <= cacheGb || name === image) break;
      total -= i.gb;
      this.images.delete(name);
    }
  }
}
