import type { PeerNetwork } from '../peers/peer-network.js';
import { UNACKNOWLEDGED_CONFIRM_S } from '../leadership/renewal-allowance.js';
import type { Clock } from '../clock.js';
import { neverStarted, type StoredJob } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import { SUBMIT_WAIT_S } from '../wire/users.js';

/**
 * Time limit for another controller to answer that it has noted a cancellation, in seconds: a share of the
 * time that a user waits for an answer.
 */
export const NOTIFY_TIMEOUT_S = SUBMIT_WAIT_S * 0.2;

/** Dependencies and settings of a `CancellationQuorum`. */
export interface CancellationQuorumOptions {
  /** Number of controllers, this one included. */
  controllerCount: number;
  peers: Pick<PeerNetwork, 'peerNames' | 'ask'>;
  replica: Pick<Replica, 'lastToken' | 'leader'>;
  clock: Clock;
  /**
   * Seconds to wait until no zone lease holder can renew the leases of the job's tasks for too long, if only these
   * controllers have noted its cancellation; 0: none can.
   */
  remainingWaitS: (job: string, noted: ReadonlySet<string>) => number;
  /** Seconds for which the state of a job's confirmation is remembered. */
  retentionS: number;
}

interface PendingConfirmation {
  /** When this controller was first asked about the cancelled job, in seconds of its clock. */
  since: number;
  confirmed: boolean;
  notification: Promise<boolean> | null;
}

/**
 * Decides when a stored cancellation may be confirmed to users. Before that, a majority of controllers must know
 * of it, and also the leader if it can be asked. In an outage of the key-value store leases are renewed by the
 * confirmation of a majority, and any two majorities share a controller, so nobody renews the lease of a task
 * whose cancellation has been confirmed.
 */
export class CancellationQuorum {
  private readonly pending = new Map<string, PendingConfirmation>();

  constructor(private readonly options: CancellationQuorumOptions) {}

  /** Whether the cancellation may be confirmed to users. False: not yet; the caller may ask again later. */
  async confirm(storedJob: StoredJob, id: string): Promise<boolean> {
    // The job was cancelled while it waited for its dependencies, or no task of it is left: no lease could be renewed.
    if (neverStarted(storedJob) || this.hasNoRunningTask(storedJob)) return true;
    const entry = this.entry(id);
    if (entry.confirmed) return true;
    if (this.options.clock.now() - entry.since >= UNACKNOWLEDGED_CONFIRM_S) {
      entry.confirmed = true;
      return true;
    }
    entry.notification ??= this.notifyPeers(id).finally(() => (entry.notification = null));
    if (await entry.notification) entry.confirmed = true;
    return entry.confirmed;
  }

  /**
   * Whether no machine's record claims a task of the job, and the current leader read the cancellation before
   * its term began. Then none will be claimed again, and there is no task whose lease could be renewed.
   */
  private hasNoRunningTask(storedJob: StoredJob): boolean {
    const { cancelledRevision: revision, claimCount } = storedJob;
    return claimCount === 0 && revision !== null && revision < this.options.replica.lastToken;
  }

  private entry(id: string): PendingConfirmation {
    const now = this.options.clock.now();
    let entry = this.pending.get(id);
    if (entry === undefined) {
      entry = { since: now, confirmed: false, notification: null };
      this.pending.set(id, entry);
    }
    for (const [oldest, { since }] of this.pending) {
      if (now - since <= this.options.retentionS) break;
      this.pending.delete(oldest);
    }
    return entry;
  }

  /**
   * Notifies all other controllers. Resolves with true as soon as a majority, this controller included, knows of the
   * cancellation, and every zone lease holder that may renew leases of the job's tasks knows of it too. The holders
   * were notified before the cancellation was stored. But if it was stored late, a holder may have been restarted
   * since, and may have read the store before it was stored.
   *
   * The leader's answer is also awaited as long as it may arrive. Only the leader starts tasks, and a majority need
   * not contain it: without its answer, a task was started just after the cancellation had been confirmed to the user.
   */
  private notifyPeers(id: string): Promise<boolean> {
    const { controllerCount, peers, remainingWaitS } = this.options;
    const needed = Math.floor(controllerCount / 2);
    if (needed === 0) return Promise.resolve(true);
    const noted = new Set<string>();
    const unanswered = new Set(peers.peerNames);
    const isConfirmed = (): boolean =>
      noted.size >= needed && !this.isLeaderIn(unanswered) && remainingWaitS(id, noted) <= 0;
    return new Promise((resolve) => {
      const answers = peers.peerNames.map(async (node) => {
        const question = { q: 'cancelled', job: id } as const;
        const answer = await peers.ask(node, question, NOTIFY_TIMEOUT_S);
        unanswered.delete(node);
        if (answer?.noted === true) noted.add(node);
        if (isConfirmed()) resolve(true);
      });
      void Promise.all(answers).then(() => resolve(false));
    });
  }

  /**
   * Whether the leader, as shown by this controller's replica, is among these. The replica shows the cancellation
   * and hence the leader at the time when it was stored; every later leader reads it before its term begins.
   */
  private isLeaderIn(nodes: ReadonlySet<string>): boolean {
    const { leader } = this.options.replica;
    return leader !== null && nodes.has(leader.node);
  }
}
