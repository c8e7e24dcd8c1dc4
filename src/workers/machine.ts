import { MAX_CLOCK_DRIFT } from '../clock.js';
import type { Heartbeat } from '../wire/workers.js';
import { LastHeartbeat } from '../wire/last-heartbeat.js';
import { noChanges, type HeartbeatChanges } from './heartbeat-changes.js';
import { ImageCache } from './image-cache.js';
import { MachineAttempts, type MessageOrigin } from './machine-attempts.js';
import { MachineCondition } from './machine-condition.js';

/**
 * What a leader knows from evidence about one machine.
 *
 *   unheard    no message received in this term
 *   fencing    message received, but the worker has not yet shown this term's token
 *   ready      it has shown the token: its task list can be trusted
 *   silent     its lease has provably expired; all tasks on it are gone
 *   returning  to be returned to the cloud; nothing new starts
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
const EXPIRY_DETECTION_SHARE = 0.04;
/** Share of a lease for which a substitute may still have renewed leases after a term began. */
const SUBSTITUTE_RENEWAL_SHARE = 0.1;

/** One machine in a term of leadership: its identity, lease, fencing token and attempts. */
export class Machine extends MachineAttempts {
  state: MachineState = 'unheard';
  addr = '';
  type = '';
  zone = '';
  spot = false;
  sequence = 0;
  /** The newest heartbeat, fenced or not; answers to direct commands are not included. */
  private newestHeartbeat = { agentEpoch: 0, sequence: -1 };
  /** When it arrived. */
  lastHeartbeatAt = -Infinity;
  /** The newest heartbeat that had to be parsed, to recognise heartbeats that only repeat it. */
  readonly lastHeartbeat = new LastHeartbeat();
  lastSeenAt: number;
  firstSeenAt: number | null = null;
  /** When the worker's lease has certainly expired. */
  leaseExpiresAt: number;
  /** When the cloud reclaims the machine, by its notice; null: no notice. */
  reclaimAt: number | null = null;
  readonly images = new ImageCache();
  /** Since when no attempt occupies capacity on it. */
  idleSince: number;
  readonly condition = new MachineCondition();
  /** Since when it is drained to be returned and gets nothing new; null: it is not. */
  drainingSince: number | null = null;
  /** Revision of its stored record; 0: none. */
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
    // The former leader may have renewed its lease until this term began; a substitute slightly longer, if a
    // store outage had just ended then.
    this.leaseExpiresAt =
      knownAt + this.maxLeaseDurationS() + this.leaseS * SUBSTITUTE_RENEWAL_SHARE;
  }

  private maxLeaseDurationS(): number {
    return this.leaseS * (1 + 2 * MAX_CLOCK_DRIFT) + this.leaseS * EXPIRY_DETECTION_SHARE;
  }

  /** Changes its state; no other function does. False: the state is unchanged. */
  changeState(to: MachineState): boolean {
    if (to === this.state) return false;
    if (!TRANSITIONS[this.state].includes(to)) return false;
    this.state = to;
    return true;
  }

  /** Gives the machine a higher token of the term. */
  raiseToken(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    this.markChanged();
  }

  /** Whether a worker that shows this token has taken one of this term, and none of a later one. */
  isOfTerm(token: number): boolean {
    return token >= this.termToken && token <= this.token;
  }

  /**
   * Whether a heartbeat at least as new has arrived before. Then this one is a late copy: the worker no longer
   * waits for its answer, which renews no lease.
   */
  isRepeated(heartbeat: Heartbeat): boolean {
    return !isNewer(heartbeat, this.newestHeartbeat);
  }

  /** A 200 to a heartbeat is about to be sent: it renews the lease, counted from the time of sending. */
  leaseRenewed(now: number): void {
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, now + this.maxLeaseDurationS());
  }

  /** Applies a heartbeat and what it proves about the attempts here. */
  applyHeartbeat(heartbeat: Heartbeat, origin: MessageOrigin, now: number): HeartbeatChanges {
    const changes = noChanges();
    if (origin === 'heartbeat' && !this.isRepeated(heartbeat)) {
      const { agentEpoch, sequence } = heartbeat;
      this.newestHeartbeat = { agentEpoch, sequence };
      this.lastHeartbeatAt = now;
    }
    if (!isNewer(heartbeat, this)) {
      // A late copy, or overtaken by the answer to a direct message: it proves nothing new.
      changes.stale = true;
      return changes;
    }
    if (heartbeat.agentEpoch > this.agentEpoch) this.beginEpoch(heartbeat, now, changes);
    this.updateIdentity(heartbeat, now);
    if (this.state === 'silent') this.changeState('fencing');
    if (!this.isOfTerm(heartbeat.token)) {
      // Not fenced: commands of another leader may still be carried out after this heartbeat.
      this.changeState('fencing');
      return changes;
    }
    this.changeState('ready');
    this.clearRefusedStarts(heartbeat.token);
    if (origin === 'heartbeat') this.fencedSequence = heartbeat.sequence;
    const reportedKeys = this.applyTasks(heartbeat.tasks, now, changes);
    this.applyAbsences(reportedKeys, origin, now, changes);
    return changes;
  }

  /**
   * The agent restarted: all attempts of earlier epochs are gone, and so are starts of earlier epochs that
   * arrive late.
   */
  private beginEpoch({ agentEpoch }: Heartbeat, now: number, changes: HeartbeatChanges): void {
    changes.agentRestarted = this.agentEpoch !== 0;
    // The answer to a direct command may be the first to show the epoch. It renews no lease, but an epoch
    // begins with a lease of its own, and tasks started in it may run until that lease expires.
    this.leaseRenewed(now);
    this.agentEpoch = agentEpoch;
    for (const attempt of [...this.attempts.values()]) {
      const isOld = attempt.agentEpoch !== null && attempt.agentEpoch < agentEpoch;
      if (isOld && attempt.state !== 'claiming') this.endAttempt(attempt, now, changes);
    }
  }

  private updateIdentity(heartbeat: Heartbeat, now: number): void {
    this.sequence = heartbeat.sequence;
    this.lastSeenAt = now;
    this.firstSeenAt ??= now;
    this.addr = heartbeat.addr;
    this.type = heartbeat.type;
    this.zone = heartbeat.zone;
    this.spot = heartbeat.spot;
    if (heartbeat.reclaimNoticeS === null) return;
    const at = now + heartbeat.reclaimNoticeS;
    this.reclaimAt = this.reclaimAt === null ? at : Math.min(this.reclaimAt, at);
  }

  /** Records that a task here uses this image. */
  recordImageUse(image: string, gb: number, cacheGb: number, now: number): void {
    this.markChanged();
    this.images.recordUse(image, gb, cacheGb, now);
  }
}

/** Whether a heartbeat is newer than a reference point in the sequence of its worker's messages. */
const isNewer = (
  heartbeat: Heartbeat,
  reference: { agentEpoch: number; sequence: number },
): boolean =>
  heartbeat.agentEpoch > reference.agentEpoch ||
  (heartbeat.agentEpoch === reference.agentEpoch && heartbeat.sequence > reference.sequence);
