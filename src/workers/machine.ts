import { DRIFT } from '../clock.js';
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
    return this.leaseS * (1 + 2 * DRIFT) + this.leaseS * 0.04;
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
    for (const a of this.attempts.values()) {
      if (a.unansweredToken === null || a.sendingDirectly) continue;
      if (a.stopRequest !== null || a.state === 'ended') return true;
    }
    return false;
  }

  /** It has shown its token: starts that were sent with a lower one are not carried out any more. */
  private clearUnansweredStarts(): void {
    for (const a of this.attempts.values()) {
      if (a.unansweredToken !== null && a.unansweredToken < this.token) a.unansweredToken = null;
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
  isRepeated(r: Heartbeat): boolean {
    const { session, seq } = this.newestHeartbeat;
    return r.agentEpoch < session || (r.agentEpoch === session && r.sequence <= seq);
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
  applyHeartbeat(r: Heartbeat, checkin: boolean, now: number): HeartbeatChanges {
    const c: HeartbeatChanges = {
      exited: [],
      changed: [],
      unclaimed: [],
      rejectedStarts: 0,
      agentRestarted: false,
      stale: false,
    };
    if (checkin && !this.isRepeated(r)) {
      this.newestHeartbeat = { session: r.agentEpoch, seq: r.sequence };
      this.heartbeatAt = now;
    }
    if (
      r.agentEpoch < this.agentEpoch ||
      (r.agentEpoch === this.agentEpoch && r.sequence <= this.sequence)
    ) {
      // A late copy, or overtaken by the answer to a direct message. It proves nothing new.
      c.stale = true;
      return c;
    }
    if (r.agentEpoch > this.agentEpoch) {
      c.agentRestarted = this.agentEpoch !== 0;
      // Shown by the answer to a direct command perhaps, which renews nothing: but a session begins
      // with a lease of its own, and what is started in it may be there until that has run out.
      this.leaseRenewed(now);
      this.agentEpoch = r.agentEpoch;
      for (const a of [...this.attempts.values()]) {
        // A session that has moved on takes everything with it, late messages included.
        if (a.agentEpoch !== null && a.agentEpoch < r.agentEpoch && a.state !== 'claiming') {
          this.endAttempt(a, now, c);
        }
      }
    }
    this.sequence = r.sequence;
    this.lastSeenAt = now;
    this.firstSeenAt ??= now;
    this.addr = r.addr;
    this.type = r.type;
    this.zone = r.zone;
    this.spot = r.spot;
    if (r.reclaimNoticeS !== null) {
      const at = now + r.reclaimNoticeS;
      this.reclaimedAt = this.reclaimedAt === null ? at : Math.min(this.reclaimedAt, at);
    }
    if (this.state === 'silent') this.changeState('fencing');
    if (r.token !== this.token) {
      // Not fenced: an older leader's commands may still be carried out after this report.
      this.changeState('fencing');
      return c;
    }
    this.changeState('ready');
    this.clearUnansweredStarts();
    if (checkin) this.fencedSequence = r.sequence;
    this.reconcileTasks(r.tasks, checkin, now, c);
    return c;
  }

  private reconcileTasks(
    tasks: Heartbeat['tasks'],
    checkin: boolean,
    now: number,
    c: HeartbeatChanges,
  ): void {
    const shown = new Set<string>();
    for (const t of tasks) {
      const key = attemptKey(t.job, t.index, t.attempt);
      shown.add(key);
      let a = this.attempts.get(key);
      if (a === undefined) {
        a = makeAttempt(t.job, t.index, t.attempt, this.id, 'inherited', now);
        a.agentEpoch = this.agentEpoch;
        this.attempts.set(key, a);
        this.markChanged();
        c.unclaimed.push(a);
      }
      a.agentEpoch = this.agentEpoch;
      a.cause = t.cause;
      a.saved = t.saved;
      if (a.state === 'claiming' || a.state === 'gone') continue;
      if (a.state === 'ended' && t.state !== 'ended') continue;
      if (advanceAttempt(a, t.state, now)) {
        this.markChanged();
        (t.state === 'ended' ? c.exited : c.changed).push(a);
      }
    }
    for (const [key, a] of [...this.attempts]) {
      if (shown.has(key)) continue;
      switch (a.state) {
        case 'claiming':
        case 'claimed':
        case 'gone':
          break;
        case 'sent':
          if (!checkin || a.sendingDirectly || a.unansweredToken !== null) break;
          if (a.sentInHeartbeat !== null && this.fencedSequence <= a.sentInHeartbeat) break;
          // The answer that carried the start is over and it is not there: it never will be.
          advanceAttempt(a, 'claimed', now);
          a.rejectedStarts++;
          c.rejectedStarts++;
          c.changed.push(a);
          break;
        default:
          this.endAttempt(a, now, c);
      }
    }
  }

  private endAttempt(a: Attempt, now: number, c: HeartbeatChanges): void {
    const before = a.state;
    if (!advanceAttempt(a, 'gone', now)) return;
    this.markChanged();
    this.attempts.delete(attemptKey(a.job, a.index, a.number));
    if (before !== 'ended') c.exited.push(a);
  }

  /** Everything on it is gone: the lease has run out for certain, or the cloud has confirmed it. */
  endAllAttempts(now: number): Attempt[] {
    const c: HeartbeatChanges = {
      exited: [],
      changed: [],
      unclaimed: [],
      rejectedStarts: 0,
      agentRestarted: false,
      stale: false,
    };
    for (const a of [...this.attempts.values()]) this.endAttempt(a, now, c);
    return c.exited;
  }

  /** A claim that was never sent is withdrawn. */
  withdrawClaim(a: Attempt, now: number): void {
    advanceAttempt(a, 'gone', now);
    this.markChanged();
    this.attempts.delete(attemptKey(a.job, a.index, a.number));
  }

  addClaim(a: Attempt): void {
    this.markChanged();
    this.attempts.set(attemptKey(a.job, a.index, a.number), a);
  }

  /** The claims that its stored record must name: everything that may be or may come on it. */
  claims(): Attempt[] {
    return [...this.attempts.values()].filter((a) => a.state !== 'gone');
  }

  /**
   * The commands due now. Forgetting goes first, so that a task may come back to its machine; then
   * stops, then starts.
   */
  dueCommands(now: number, mayStart: (a: Attempt) => boolean, repeatStops: boolean): Command[] {
    const forget: Command[] = [];
    const stops: Command[] = [];
    const starts: Command[] = [];
    const forgotten = new Set<string>();
    for (const a of this.attempts.values()) {
      const { job, index, number: attempt } = a;
      if (a.state === 'ended') {
        // A start that may still arrive would begin anew what has been forgotten.
        if (a.settled && a.unansweredToken === null && !a.sendingDirectly) {
          forget.push({ kind: 'forget', job, index, attempt });
          forgotten.add(`${job}/${index}`);
        }
      } else if (a.stopRequest !== null) {
        if (mayBeOnMachine(a) && (repeatStops || a.stopRequest.sentAt === null)) {
          stops.push({ kind: 'stop', job, index, attempt, graceS: a.stopRequest.graceS });
        }
      }
    }
    for (const a of this.attempts.values()) {
      const again =
        a.state === 'sent' && a.unansweredToken !== null && !a.sendingDirectly && repeatStops;
      if (a.stopRequest !== null || (a.state !== 'claimed' && !again)) continue;
      if (a.sendingDirectly || !mayStart(a)) continue;
      if (this.hasOtherAttempt(a) && !forgotten.has(`${a.job}/${a.index}`)) continue;
      starts.push({ kind: 'start', job: a.job, index: a.index, attempt: a.number });
    }
    return [...forget, ...stops, ...starts].slice(0, MAX_COMMANDS_PER_MESSAGE);
  }

  private hasOtherAttempt(a: Attempt): boolean {
    for (const b of this.attempts.values()) {
      if (b !== a && b.index === a.index && b.job === a.job) return true;
    }
    return false;
  }

  /** Marks what goes out with the answer to a check-in, or straight to the worker. */
  markSent(commands: Command[], via: 'checkin' | 'direct', now: number): void {
    for (const c of commands) {
      const a = this.attempts.get(attemptKey(c.job, c.index, c.attempt));
      if (a === undefined) continue;
      if (c.kind === 'stop' && a.stopRequest !== null) a.stopRequest.sentAt ??= now;
      if (c.kind === 'start') {
        if (a.state === 'claimed') advanceAttempt(a, 'sent', now);
        a.startSentAt ??= now;
        a.agentEpoch = this.agentEpoch;
        if (via === 'checkin') a.sentInHeartbeat = this.fencedSequence;
        else {
          a.sendingDirectly = true;
          a.sentInHeartbeat = null;
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
    for (const c of commands) {
      const a = this.attempts.get(attemptKey(c.job, c.index, c.attempt));
      if (a === undefined) continue;
      if (c.kind === 'stop' && how !== 'done' && a.stopRequest !== null)
        a.stopRequest.sentAt = null;
      if (c.kind !== 'start') continue;
      a.sendingDirectly = false;
      if (how === 'unknown' && a.agentEpoch === session) a.unansweredToken = token;
      if (how === 'refused' && a.state === 'sent' && a.unansweredToken === null) {
        advanceAttempt(a, 'claimed', now);
      }
    }
  }

  hasActiveAttempts(): boolean {
    for (const a of this.attempts.values()) if (occupiesCapacity(a)) return true;
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
    for (const i of this.images.values()) total += i.gb;
    for (const [name, i] of this.images) {
      if (total <= cacheGb || name === image) break;
      total -= i.gb;
      this.images.delete(name);
    }
  }
}
