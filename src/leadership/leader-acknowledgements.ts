import type { Election } from './election.js';
import { QuorumAcknowledgement } from './quorum-acknowledgement.js';
import { SubstituteRenewals, type RenewalKnowledge } from './substitute-renewals.js';
import type { ElectedAnswer } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import { sleep, type Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { Log } from '../log.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { Replica } from '../store/replica.js';
import * as records from '../store/records.js';

/** How often a leader asks those that have not acknowledged it, per workers' lease. */
const REQUESTS_PER_LEASE = 20;
/**
 * Time, in workers' leases, after which a controller writes its acknowledgement to the store, unless the leader has asked
 * for it by the peer link.
 */
const STORE_FALLBACK_LEASES = 0.1;

/** Dependencies and settings of `LeaderAcknowledgements`. */
export interface LeaderAcknowledgementsOptions {
  settings: Settings;
  election: Election;
  peers: () => PeerNetwork;
  store: KeyValueStoreClient;
  replica: Replica;
  clock: Clock;
  log: Log;
}

/** Acknowledgements of leaders: collects them as the leader, and gives them by the peer link or the store. */
export class LeaderAcknowledgements {
  private quorum: QuorumAcknowledgement | null = null;
  private substituteRenewals: SubstituteRenewals | null = null;
  private stopped = false;

  constructor(private readonly options: LeaderAcknowledgementsOptions) {}

  /** What is known of leases that substitutes renew for this leader or an earlier one. */
  substituteRenewal(token: number): RenewalKnowledge {
    if (this.quorum?.token === token && this.substituteRenewals !== null)
      return this.substituteRenewals.known;
    return { renewedUntil: this.options.clock.now(), provenUntil: -Infinity };
  }

  /** Asks a majority again; false: none has answered. */
  requestRenewalProof(): Promise<boolean> {
    return this.substituteRenewals?.request() ?? Promise.resolve(false);
  }

  private get requestTimeoutS(): number {
    return this.options.settings.workers.lease_s / REQUESTS_PER_LEASE;
  }

  private requestAcknowledgement(node: string, token: number): Promise<ElectedAnswer | null> {
    return this.options.peers().ask(node, { q: 'elected', token }, this.requestTimeoutS);
  }

  /** Collects acknowledgements after this controller was elected, until a majority has given one. */
  async collect(token: number): Promise<void> {
    const { clock, peers } = this.options;
    const { controllerCount } = this.options.settings;
    const quorum = new QuorumAcknowledgement(token, controllerCount, clock);
    this.quorum = quorum;
    this.substituteRenewals = new SubstituteRenewals({
      ...{ acknowledged: quorum, controllerCount, clock },
      names: () => peers().peerNames,
      requestAcknowledgement: (node) => this.requestAcknowledgement(node, token),
    });
    for (const [node, { ack }] of this.options.replica.acknowledgements)
      this.recordStored(node, ack);
    while (!this.stopped && this.quorum === quorum && quorum.state === 'pending') {
      const missing = peers().peerNames.filter((node) => !quorum.has(node));
      await Promise.all(
        missing.map(async (node) => {
          const remainsS = (await this.requestAcknowledgement(node, token))?.remainsS;
          if (remainsS !== undefined) quorum.record(node, { remainsS });
        }),
      );
      if (quorum.state === 'pending') await sleep(this.requestTimeoutS);
    }
    if (this.quorum === quorum) this.options.log.debug({ token }, 'leader acknowledged by quorum');
  }

  /** Records an acknowledgement that was read from the store. */
  recordStored(node: string, ack: records.AcknowledgementRecord): void {
    if (this.quorum?.token === ack.token) this.quorum.record(node, ack);
  }

  /** Answers a leader that asks for acknowledgement over the peer link. */
  answer(token: number): ElectedAnswer {
    return { remainsS: this.options.election.acknowledge(token) };
  }

  /**
   * Called when the store shows a leader. Usually the leader asks by the peer link. If it has not, this
   * controller acknowledges it by a record in the store, which also shows that the store serves this one.
   */
  async acknowledgeLeader(): Promise<void> {
    const leader = this.options.replica.leader;
    if (leader === null || leader.node === this.options.settings.node) return;
    const token = leader.revision;
    await sleep(this.options.settings.workers.lease_s * STORE_FALLBACK_LEASES);
    if (this.options.election.outageQuorum.acknowledgedToken >= token) return;
    const key = records.acknowledgementKey(this.options.settings.node);
    const remainsS = this.options.election.acknowledge(token);
    const value = records.encodeAcknowledgement({ token, remainsS });
    while (!this.stopped && this.options.replica.leader?.revision === token) {
      const revision =
        this.options.replica.acknowledgements.get(this.options.settings.node)?.revision ?? 0;
      try {
        this.options.store.writeBudget.forceTake(1);
        const result = await this.options.store.compareAndSwap(
          [{ key, revision }],
          [{ put: key, value }],
          this.options.settings.workers.lease_s * STORE_FALLBACK_LEASES,
        );
        if (result.ok) return;
      } catch (error) {
        this.options.log.debug({ err: error }, 'acknowledgement not stored');
      }
      // The write was refused, or carried out without an answer: the replica shows later which.
      await sleep(this.options.settings.workers.lease_s * STORE_FALLBACK_LEASES);
      if (
        this.options.replica.acknowledgements.get(this.options.settings.node)?.ack.token === token
      )
        return;
    }
  }

  /** Ends `collect`. */
  stop(): void {
    this.stopped = true;
  }
}
