import type { HealthTable } from '../admission/controller-health.js';
import type { Clock } from '../clock.js';
import { sleep } from '../clock.js';
import type { Log } from '../log.js';
import { FEATURES, type Feature } from '../peers/messages.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { FeaturesFileRecord } from '../store/records.js';
import * as records from '../store/records.js';
import type { Replica } from '../store/replica.js';

/** A controller that nothing was heard of for so many leases is not counted as present. */
const PRESENT_LEASES = 3;
/** The record of this controller's version is tried again after so many leases. */
const PUBLISH_LEASES = 0.1;

/** What a `ControllerVersions` works with. */
export interface ControllerVersionsOptions {
  /** Names of this controller and of all others. */
  node: string;
  others: readonly string[];
  leaseS: number;
  replica: Pick<Replica, 'versions' | 'leader'>;
  peers: () => Pick<PeerNetwork, 'announcedFeatures'>;
  health: Pick<HealthTable, 'silentS'>;
  store: Pick<KeyValueStoreClient, 'compareAndSwap' | 'writeBudget'>;
  replicaSync: Pick<ReplicaSync, 'ready' | 'sync'>;
  clock: Clock;
  log: Log;
  /** This controller's features file; missing: it has none. */
  file?: FeaturesFileRecord;
}

/**
 * Which controllers run a version that knows pipelines. Each tells it by a record of its own that
 * outlives it, and with the first frame of each connection. A controller that has never told is taken
 * for an old one; the latest hello counts more than the record, since an old version does not change
 * the record of the newer one that ran before it.
 */
export class ControllerVersions {
  private stopped = false;
  private announced = false;
  /** Controllers that were logged last as having other features. */
  private differing = '';

  constructor(private readonly options: ControllerVersionsOptions) {}

  /** Whether a controller's version, as far as is known, can do this. */
  knows(node: string, feature: Feature): boolean {
    const { replica, peers } = this.options;
    if (node === this.options.node) return FEATURES.includes(feature);
    const heard = peers().announcedFeatures(node);
    if (heard !== null) return heard.has(feature);
    return replica.versions.get(node)?.record.features.includes(feature) ?? false;
  }

  /** Whether every controller has told that its version can do this. */
  everyoneKnows(feature: Feature): boolean {
    return this.options.others.every((node) => this.knows(node, feature));
  }

  /**
   * Whether a controller of a version that cannot do this leads, or has been heard of lately. Its silence
   * is no proof, and none is needed: what such a version would misread it is never shown.
   */
  isOldPresent(feature: Feature): boolean {
    const { others, leaseS, replica, health } = this.options;
    const leader = replica.leader?.node;
    return others.some((node) => {
      if (this.knows(node, feature)) return false;
      return node === leader || health.silentS(node) < leaseS * PRESENT_LEASES;
    });
  }

  /** Stores what this controller's version can do, until that is done. */
  async publish(): Promise<void> {
    const { node, leaseS, replica, store, replicaSync, log } = this.options;
    const { file } = this.options;
    const key = records.versionKey(node);
    const value = records.encodeVersion({
      features: [...FEATURES],
      ...(file === undefined ? {} : { file }),
    });
    while (!this.stopped && !this.isPublished()) {
      try {
        if (replicaSync.ready) {
          store.writeBudget.force(1);
          const revision = replica.versions.get(node)?.revision ?? 0;
          await store.compareAndSwap(
            [{ key, revision }],
            [{ put: key, value }],
            leaseS * PUBLISH_LEASES,
          );
          await replicaSync.sync();
        }
      } catch (error) {
        log.debug({ err: error }, 'version not stored');
      }
      await sleep(leaseS * PUBLISH_LEASES);
    }
  }

  private isPublished(): boolean {
    const own = this.options.replica.versions.get(this.options.node)?.record;
    const isSame = own?.features.join() === FEATURES.join();
    return isSame && own?.file?.hash === this.options.file?.hash;
  }

  /** Controllers whose features file is another one than the leader's, as far as they have told. */
  withDifferentFeatures(): string[] {
    const { replica, node, others, file } = this.options;
    const leader = replica.leader?.node;
    if (leader === undefined) return [];
    const hashOf = (of: string): string | undefined =>
      of === node ? file?.hash : replica.versions.get(of)?.record.file?.hash;
    return [node, ...others].filter((of) => hashOf(of) !== hashOf(leader)).sort();
  }

  private logFeatureDifferences(): void {
    const differing = this.withDifferentFeatures().join(', ');
    if (differing === this.differing) return;
    this.differing = differing;
    const message = "features files: those of these controllers differ from the leader's";
    if (differing !== '') this.options.log.info({ controllers: differing }, message);
    else this.options.log.info({}, 'features files: all are the same');
  }

  /** Called regularly: logs, once, that there is no way back to an older version, and what differs. */
  logChanges(): void {
    this.logFeatureDifferences();
    if (this.announced || !this.everyoneKnows('pipelines')) return;
    this.announced = true;
    const message = 'every controller knows pipelines: do not go back to an older version';
    this.options.log.info({ node: this.options.node }, message);
  }

  /** Ends `publish`. */
  stop(): void {
    this.stopped = true;
  }
}
