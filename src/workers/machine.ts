import { MAX_CLOCK_DRIFT } from '../clock.js';
import type { Heartbeat } from '../wire/workers.js';
import { LastHeartbeat } from '../wire/last-heartbeat.js';
import { noChanges, type HeartbeatChanges } from './heartbeat-changes.js';
import { ImageCache } from './image-cache.js';
import { MachineAttempts, type MessageOrigin } from './machine-attempts.js';
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

/** Share of a lease that a worker may need to notice that its lease has expired. */
const EXPIRY_SHARE = 0.04;
/** Share of a lease for which a substitute may still have renewed when a term began. */
const SUBSTITUTE_SHARE = 0.1;

/** One machine in a term of leadership: who it is, what its lease and token say, and its attempts. */
export class Machine extends MachineAttempts {
  state: MachineState = 'unheard';
  addr = '';
  type = '';
  zone = '';
  spot = false;
  sequence = 0;
  /** The newest heartbeat that came by itself, fenced or not, and when. */
  private newestHeartbeat = { agentEpoch: 0, sequence: -1 };
  heartbeatAt = -Infinity;
  /** The newest heartbeat that had to be parsed, to recognise those that only repeat it. */
  readonly lastHeartbeat = new LastHeartbeat();
  lastSeenAt: number;
  firstSeenAt: number | null = null;
  /** When the worker's lease has expired for certain. */
  leaseExpiresAt: number;
  /** Time at which the cloud takes it, from its notice. */
  reclaimedAt: number | null = null;
  readonly images = new ImageCache();
  /** Since when nothing holds capacity on it. */
  idleSince: number;
  readonly condition = new MachineCondition();
  /** Being drained to be given back: nothing new until then. */
  drainingSince: number | null = null;
  /** Revision of its record, 0: none stored. */
  recordRevision = 0;
  recordTerm = 0;
  /** Its record says that it is being returned. */
  returnRecorded = false;
  listedAgeS: number | null = null;

  constructor(
    id: string,
    token: number,
    private readonly leaseS: number,
    readonly knownAt: number,
  ) {
    super(id, token);
    this.lastSeenAt = knownAt;
    this.idleSince = knownAt;
    // Whoever led before may have renewed its lease until this term began; a substitute, in an outage
    // that had just ended then, for a moment more.
    this.leaseExpiresAt = knownAt + this.leaseSpanS() + this.leaseS * SUBSTITUTE_SHARE;
  }

  private leaseSpanS(): number {
    return this.leaseS * (1 + 2 * MAX_CLOCK_DRIFT) + this.leaseS * EXPIRY_SHARE;
  }

  /** The one function that changes its state; false: it stays as it is. */
  changeState(to: MachineState): boolean {
    if (to === this.state) return false;
    if (!TRANSITIONS[this.state].includes(to)) return false;
    this.state = to;
    return true;
  }

  /** From now on it is given a higher token, and trusted once it shows it. */
  raiseToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.state === 'ready') this.changeState('fencing');
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

  /** A task there uses this image. */
  noteImage(image: string, gb: number, cacheGb: number, now: number): void {
    this.markChanged();
    this.images.noteUse(image, gb, cacheGb, now);
  }
}

/** Whether a heartbeat is newer than a point in the sequence of its worker's messages. */
const isNewer = (heartbeat: Heartbeat, than: { agentEpoch: number; sequence: number }): boolean =>
  heartbeat.agentEpoch > than.agentEpoch ||
  (heartbeat.agentEpoch === than.agentEpoch && heartbeat.sequence > than.sequence);
