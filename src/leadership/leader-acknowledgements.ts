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

/** A leader asks those that have not acknowledged it so many times in a lease. */
const ASKS_PER_LEASE = 20;
/** A leader that has not asked by the peer link within so many leases is told by the store. */
const STORE_LEASES = 0.1;

/** What `LeaderAcknowledgements` work with. */
export interface LeaderAcknowledgementsOptions {
  settings: Settings;
  election: Election;
  peers: () => PeerNetwork;
  store: KeyValueStoreClient;
  replica: Replica;
  clock: Clock;
  log: Log;
}

/** Acknowledgements of a leader: collected as the leader, and given by the peer link or the store. */
export class LeaderAcknowledgements {
  private quorum: QuorumAcknowledgement | null = null;
  private renewals: SubstituteRenewals | null = null;
  private stopped = false;

  constructor(private readonly options: LeaderAcknowledgementsOptions) {}

  /** What is known of leases that others renew in the place of this leader, or of one before it. */
  othersRenewal(token: number): RenewalKnowledge {
    if (this.quorum?.token === token && this.renewals !== null) return this.renewals.known;
    return { keptUntil: this.options.clock.now(), provenAt: -Infinity };
  }

  /** Asks a majority anew; false: none has answered. */
  requestRenewalProof(): Promise<boolean> {
    return this.renewals?.request() ?? Promise.resolve(false);
  }

  private get askTimeoutS(): number {
    return this.options.settings.workers.lease_s / ASKS_PER_LEASE;
  }

  private askElected(node: string, token: number): Promise<ElectedAnswer | null> {
    return this.options.peers().ask(node, { q: 'elected', token }, this.askTimeoutS);
  }

  /** This controller was elected. */
  async collect(token: number): Promise<void> {
    const { clock, peers } = this.options;
    const { controllerCount } = this.options.settings;
    const quorum = new QuorumAcknowledgement(token, controllerCount, clock);
    this.quorum = quorum;
    this.renewals = new SubstituteRenewals({
      ...{ acknowledged: quorum, controllerCount, clock },
      names: () => peers().names,
      askElected: (node) => this.askElected(node, token),
    });
    for (const [node, { ack }] of this.options.replica.acknowledgements) this.noteStored(node, ack);
    while (!this.stopped && this.quorum === quorum && quorum.state === 'pending') {
      const missing = peers().names.filter((node) => !quorum.has(node));
      await Promise.all(
        missing.map(async (node) => {
          const remainsS = (await this.askElected(node, token))?.remainsS;
          if (remainsS !== undefined) quorum.record(node, { remainsS });
        }),
      );
      if (quorum.state === 'pending') await sleep(this.askTimeoutS);
    }
    if (this.quorum === quorum) this.options.log.debug({ token }, 'leader acknowledged by quorum');
  }

  /** Seen in the store. */
  noteStored(node: string, ack: records.AcknowledgementRecord): void {
    if (this.quorum?.token === ack.token) this.quorum.record(node, ack);
  }

  /** Asked by a leader over the peer link. */
  answer(token: number): ElectedAnswer {
    return { remainsS: this.options.election.acknowledge(token) };
  }

  /**
   * The store shows a leader. As a rule it asks by the peer link; when that does not work, it learns
   * from the store that this controller is not refused, and is on its side.
   */
  async acknowledgeLeader(): Promise<void> {
    const leader = this.options.replica.leader;
    if (leader === null || leader.node === this.options.settings.node) return;
    const token = leader.revision;
    await sleep(this.options.settings.workers.lease_s * STORE_LEASES);
    if (this.options.election.outage.acknowledged >= token) return;
    const key = records.acknowledgementKey(this.options.settings.node);
    const remainsS = this.options.election.acknowledge(token);
    const value = records.encodeAcknowledgement({ token, remainsS });
    while (!this.stopped && this.options.replica.leader?.revision === token) {
      const revision =
        this.options.replica.acknowledgements.get(this.options.settings.node)?.revision ?? 0;
      try {
        this.options.store.writeBudget.force(1);
        const result = await this.options.store.compareAndSwap(
          [{ key, revision }],
          [{ put: key, value }],
          this.options.settings.workers.lease_s * STORE_LEASES,
        );
        if (result.ok) return;
      } catch (error) {
        this.options.log.debug({ err: error }, 'acknowledgement not stored');
      }
      // Carried out without an answer, or refused: what the store shows next tells which.
      await sleep(this.options.settings.workers.lease_s * STORE_LEASES);
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
