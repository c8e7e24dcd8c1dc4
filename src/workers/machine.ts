import { DRIFT } from '../clock.js';
import type { Command, Report } from '../wire/workers.js';
import { LastReport } from '../wire/last-report.js';
import { MAX_COMMANDS } from '../wire/workers.js';
import { advance, attemptKey, holds, makeAttempt, mayBeThere, type Attempt } from './attempt.js';

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

const ALLOWED: Record<MachineState, MachineState[]> = {
  unheard: ['fencing', 'ready', 'silent', 'returning', 'returned'],
  fencing: ['ready', 'silent', 'returning', 'returned'],
  ready: ['fencing', 'silent', 'returning', 'returned'],
  silent: ['fencing', 'ready', 'returning', 'returned'],
  returning: ['returned'],
  returned: [],
};

export interface Changes {
  /** Attempts that are provably not on the machine any more, or exited. */
  over: Attempt[];
  /** Attempts whose state changed otherwise. */
  moved: Attempt[];
  /** On the machine by its report, but unknown here. */
  foreign: Attempt[];
  /** Starts that the worker did not take. */
  missed: number;
  sessionMoved: boolean;
  stale: boolean;
}

export class Machine {
  state: MachineState = 'unheard';
  addr = '';
  type = '';
  zone = '';
  spot = false;
  session = 0;
  seq = 0;
  /** The last fenced check-in's number in this session; answers of /do count separately. */
  checkinSeq = 0;
  /** The newest check-in that came by itself, fenced or not, and when. */
  private lastCheckin = { session: 0, seq: -1 };
  checkinAt = -Infinity;
  /** The newest check-in that had to be parsed, to recognise those that only repeat it. */
  readonly lastReport = new LastReport();
  heardAt: number;
  firstHeardAt: number | null = null;
  /** When the worker's lease has run out for certain. */
  leaseEnd: number;
  /** Time at which the cloud takes it, from its notice. */
  takenAt: number | null = null;
  readonly attempts = new Map<string, Attempt>();
  /** Images seen there and when last, the most recently used last. */
  images = new Map<string, { gb: number; at: number }>();
  /** All that was ever seen to be fetched there. */
  fetchedGb = 0;
  /** Since when nothing holds room on it. */
  idleSince: number;
  /** No new work before this time, because it did not do what it was told. */
  shunnedUntil = -Infinity;
  shuns = 0;
  /** Jobs whose tasks failed here, and when; emptied by a success. */
  errors = new Map<string, number>();
  successes = 0;
  faulty = false;
  /** Being emptied to be given back: nothing new until then. */
  vacatedAt: number | null = null;
  /** Counts changes of what is on it, so that what is derived from that is reckoned anew only then. */
  version = 0;
  /** Revision of its record, 0: none stored. */
  revision = 0;
  recordTerm = 0;
  /** Its record says that it is being returned. */
  returnStored = false;
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
    this.heardAt = knownAt;
    this.idleSince = knownAt;
    // Whoever led before may have renewed its lease until this term began; a substitute, in an outage
    // that had just ended then, for a moment more.
    this.leaseEnd = knownAt + this.leaseSpan() + this.leaseS * 0.1;
  }

  private leaseSpan(): number {
    return this.leaseS * (1 + 2 * DRIFT) + this.leaseS * 0.04;
  }

  become(to: MachineState): boolean {
    if (to === this.state) return false;
    if (!ALLOWED[this.state].includes(to)) return false;
    this.state = to;
    return true;
  }

  /** Its record names a higher token: from now on it is given that, and trusted once it shows it. */
  raiseToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.nextToken = Math.max(this.nextToken, token);
    if (this.state === 'ready') this.become('fencing');
  }

  /** Whether an unanswered start that may still arrive keeps a task from ending or being forgotten. */
  blockedByUnanswered(): boolean {
    for (const a of this.attempts.values()) {
      if (a.unanswered === null || a.direct) continue;
      if (a.stop !== null || a.state === 'ended') return true;
    }
    return false;
  }

  /** It has shown its token: starts that were sent with a lower one are not carried out any more. */
  private settleUnanswered(): void {
    for (const a of this.attempts.values()) {
      if (a.unanswered !== null && a.unanswered < this.token) a.unanswered = null;
    }
  }

  /** What is on it has changed. */
  touch(): void {
    this.version++;
  }

  /**
   * Whether a check-in at least as new has come by itself before. Then it is a late copy: the worker
   * has long stopped waiting for its answer, which renews nothing.
   */
  hasSeen(r: Report): boolean {
    const { session, seq } = this.lastCheckin;
    return r.session < session || (r.session === session && r.seq <= seq);
  }

  /** A 200 to a check-in is about to be sent: it renews the lease, counted from the sending. */
  renewed(now: number): void {
    this.leaseEnd = Math.max(this.leaseEnd, now + this.leaseSpan());
  }

  /**
   * Takes in a report. `checkin`: it came by itself, not as the answer to a direct message. Only
   * check-ins prove that a start has not been carried out: one that is answered with it is over
   * before the next is sent.
   */
  apply(r: Report, checkin: boolean, now: number): Changes {
    const c: Changes = {
      over: [],
      moved: [],
      foreign: [],
      missed: 0,
      sessionMoved: false,
      stale: false,
    };
    if (checkin && !this.hasSeen(r)) {
      this.lastCheckin = { session: r.session, seq: r.seq };
      this.checkinAt = now;
    }
    if (r.session < this.session || (r.session === this.session && r.seq <= this.seq)) {
      // A late copy, or overtaken by the answer to a direct message. It proves nothing new.
      c.stale = true;
      return c;
    }
    if (r.session > this.session) {
      c.sessionMoved = this.session !== 0;
      // Shown by the answer to a direct command perhaps, which renews nothing: but a session begins
      // with a lease of its own, and what is started in it may be there until that has run out.
      this.renewed(now);
      this.session = r.session;
      for (const a of [...this.attempts.values()]) {
        // A session that has moved on takes everything with it, late messages included.
        if (a.session !== null && a.session < r.session && a.state !== 'claiming') {
          this.end(a, now, c);
        }
      }
    }
    this.seq = r.seq;
    this.heardAt = now;
    this.firstHeardAt ??= now;
    this.addr = r.addr;
    this.type = r.type;
    this.zone = r.zone;
    this.spot = r.spot;
    if (r.noticeS !== null) {
      const at = now + r.noticeS;
      this.takenAt = this.takenAt === null ? at : Math.min(this.takenAt, at);
    }
    if (this.state === 'silent') this.become('fencing');
    if (r.token !== this.token) {
      // Not fenced: an older leader's commands may still be carried out after this report.
      this.become('fencing');
      return c;
    }
    this.become('ready');
    this.settleUnanswered();
    if (checkin) this.checkinSeq = r.seq;
    this.compare(r.tasks, checkin, now, c);
    return c;
  }

  private compare(tasks: Report['tasks'], checkin: boolean, now: number, c: Changes): void {
    const shown = new Set<string>();
    for (const t of tasks) {
      const key = attemptKey(t.job, t.index, t.attempt);
      shown.add(key);
      let a = this.attempts.get(key);
      if (a === undefined) {
        a = makeAttempt(t.job, t.index, t.attempt, this.id, 'inherited', now);
        a.session = this.session;
        this.attempts.set(key, a);
        this.touch();
        c.foreign.push(a);
      }
      a.session = this.session;
      a.cause = t.cause;
      a.saved = t.saved;
      if (a.state === 'claiming' || a.state === 'gone') continue;
      if (a.state === 'ended' && t.state !== 'ended') continue;
      if (advance(a, t.state, now)) {
        this.touch();
        (t.state === 'ended' ? c.over : c.moved).push(a);
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
          if (!checkin || a.direct || a.unanswered !== null) break;
          if (a.viaCheckin !== null && this.checkinSeq <= a.viaCheckin) break;
          // The answer that carried the start is over and it is not there: it never will be.
          advance(a, 'claimed', now);
          a.resends++;
          c.missed++;
          c.moved.push(a);
          break;
        default:
          this.end(a, now, c);
      }
    }
  }

  private end(a: Attempt, now: number, c: Changes): void {
    const before = a.state;
    if (!advance(a, 'gone', now)) return;
    this.touch();
    this.attempts.delete(attemptKey(a.job, a.index, a.number));
    if (before !== 'ended') c.over.push(a);
  }

  /** Everything on it is gone: the lease has run out for certain, or the cloud has confirmed it. */
  lost(now: number): Attempt[] {
    const c: Changes = {
      over: [],
      moved: [],
      foreign: [],
      missed: 0,
      sessionMoved: false,
      stale: false,
    };
    for (const a of [...this.attempts.values()]) this.end(a, now, c);
    return c.over;
  }

  /** A claim that was never sent is withdrawn. */
  withdraw(a: Attempt, now: number): void {
    advance(a, 'gone', now);
    this.touch();
    this.attempts.delete(attemptKey(a.job, a.index, a.number));
  }

  claim(a: Attempt): void {
    this.touch();
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
  commands(now: number, mayStart: (a: Attempt) => boolean, repeatStops: boolean): Command[] {
    const forget: Command[] = [];
    const stops: Command[] = [];
    const starts: Command[] = [];
    const forgotten = new Set<string>();
    for (const a of this.attempts.values()) {
      const { job, index, number: attempt } = a;
      if (a.state === 'ended') {
        // A start that may still arrive would begin anew what has been forgotten.
        if (a.settled && a.unanswered === null && !a.direct) {
          forget.push({ op: 'forget', job, index, attempt });
          forgotten.add(`${job}/${index}`);
        }
      } else if (a.stop !== null) {
        if (mayBeThere(a) && (repeatStops || a.stop.sentAt === null)) {
          stops.push({ op: 'stop', job, index, attempt, graceS: a.stop.graceS });
        }
      }
    }
    for (const a of this.attempts.values()) {
      const again = a.state === 'sent' && a.unanswered !== null && !a.direct && repeatStops;
      if (a.stop !== null || (a.state !== 'claimed' && !again)) continue;
      if (a.direct || !mayStart(a)) continue;
      if (this.otherAttempt(a) && !forgotten.has(`${a.job}/${a.index}`)) continue;
      starts.push({ op: 'start', job: a.job, index: a.index, attempt: a.number });
    }
    return [...forget, ...stops, ...starts].slice(0, MAX_COMMANDS);
  }

  private otherAttempt(a: Attempt): boolean {
    for (const b of this.attempts.values()) {
      if (b !== a && b.index === a.index && b.job === a.job) return true;
    }
    return false;
  }

  /** Marks what goes out with the answer to a check-in, or straight to the worker. */
  mark(commands: Command[], via: 'checkin' | 'direct', now: number): void {
    for (const c of commands) {
      const a = this.attempts.get(attemptKey(c.job, c.index, c.attempt));
      if (a === undefined) continue;
      if (c.op === 'stop' && a.stop !== null) a.stop.sentAt ??= now;
      if (c.op === 'start') {
        if (a.state === 'claimed') advance(a, 'sent', now);
        a.sentAt ??= now;
        a.session = this.session;
        if (via === 'checkin') a.viaCheckin = this.checkinSeq;
        else {
          a.direct = true;
          a.viaCheckin = null;
        }
      }
    }
  }

  /** How a direct message ended: carried out or not, provably; or nobody knows. */
  directDone(
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
      if (c.op === 'stop' && how !== 'done' && a.stop !== null) a.stop.sentAt = null;
      if (c.op !== 'start') continue;
      a.direct = false;
      if (how === 'unknown' && a.session === session) a.unanswered = token;
      if (how === 'refused' && a.state === 'sent' && a.unanswered === null) {
        advance(a, 'claimed', now);
      }
    }
  }

  holdsAny(): boolean {
    for (const a of this.attempts.values()) if (holds(a)) return true;
    return false;
  }

  held(): Attempt[] {
    return [...this.attempts.values()].filter(holds);
  }

  sawImage(image: string, gb: number, cacheGb: number, now: number): void {
    this.touch();
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
