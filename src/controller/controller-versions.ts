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

/** A controller that has been silent for so many leases is not counted as present. */
const PRESENCE_TIMEOUT_LEASES = 3;
/** Interval, in leases, at which writing this controller's version record is retried. */
const PUBLISH_RETRY_LEASES = 0.1;

/** Dependencies of a `ControllerVersions`. */
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
  /** The record of this controller's features file; absent: it has none. */
  featuresFile?: FeaturesFileRecord;
}

/**
 * Tracks which controllers run a version that supports a feature, such as pipelines. Each controller announces
 * its features by a record of its own, which persists after the process ends, and in the first frame (hello)
 * of each connection. One that has announced nothing counts as an old version. The latest hello takes
 * precedence over the record, since an old version does not change the record of a newer one that ran before.
 */
export class ControllerVersions {
  private stopped = false;
  private upgradeLogged = false;
  /** The controllers that were logged last as having a different features file. */
  private loggedDifferences = '';

  constructor(private readonly options: ControllerVersionsOptions) {}

  /** Whether a controller's version is known to support a feature. */
  supports(node: string, feature: Feature): boolean {
    const { replica, peers } = this.options;
    if (node === this.options.node) return FEATURES.includes(feature);
    const announced = peers().announcedFeatures(node);
    if (announced !== null) return announced.has(feature);
    return replica.versions.get(node)?.record.features.includes(feature) ?? false;
  }

  /** Whether every controller's version is known to support a feature. */
  allSupport(feature: Feature): boolean {
    return this.options.others.every((node) => this.supports(node, feature));
  }

  /**
   * Whether a controller whose version does not support a feature leads or has recently been in contact.
   * Silence does not prove that it is absent, and no proof is needed: it never reads records that it would
   * misinterpret.
   */
  isOldVersionPresent(feature: Feature): boolean {
    const { others, leaseS, replica, health } = this.options;
    const leader = replica.leader?.node;
    return others.some((node) => {
      if (this.supports(node, feature)) return false;
      return node === leader || health.silentS(node) < leaseS * PRESENCE_TIMEOUT_LEASES;
    });
  }

  /** Stores the features of this controller's version; retries until they are stored. */
  async publish(): Promise<void> {
    const { node, leaseS, replica, store, replicaSync, log } = this.options;
    const { featuresFile } = this.options;
    const key = records.versionKey(node);
    const value = records.encodeVersion({
      features: [...FEATURES],
      ...(featuresFile === undefined ? {} : { file: featuresFile }),
    });
    while (!this.stopped && !this.isPublished()) {
      try {
        if (replicaSync.ready) {
          store.writeBudget.forceTake(1);
          const revision = replica.versions.get(node)?.revision ?? 0;
          await store.compareAndSwap(
            [{ key, revision }],
            [{ put: key, value }],
            leaseS * PUBLISH_RETRY_LEASES,
          );
          await replicaSync.sync();
        }
      } catch (error) {
        log.debug({ err: error }, 'version not stored');
      }
      await sleep(leaseS * PUBLISH_RETRY_LEASES);
    }
  }

  private isPublished(): boolean {
    const own = this.options.replica.versions.get(this.options.node)?.record;
    const isSame = own?.features.join() === FEATURES.join();
    return isSame && own?.file?.hash === this.options.featuresFile?.hash;
  }

  /** Controllers whose published features file differs from the leader's; publishing none counts as having none. */
  withDifferentFeatures(): string[] {
    const { replica, node, others, featuresFile } = this.options;
    const leader = replica.leader?.node;
    if (leader === undefined) return [];
    const hashOf = (controller: string): string | undefined =>
      controller === node
        ? featuresFile?.hash
        : replica.versions.get(controller)?.record.file?.hash;
    return [node, ...others].filter((of) => hashOf(of) !== hashOf(leader)).sort();
  }

  private logFeatureDifferences(): void {
    const differing = this.withDifferentFeatures().join(', ');
    if (differing === this.loggedDifferences) return;
    this.loggedDifferences = differing;
    const message = "features files: those of these controllers differ from the leader's";
    if (differing !== '') this.options.log.info({ controllers: differing }, message);
    else this.options.log.info({}, 'features files: all are the same');
  }

  /** Called regularly. Logs changed differences of features files and, once, that a downgrade is no longer possible. */
  logChanges(): void {
    this.logFeatureDifferences();
    if (this.upgradeLogged || !this.allSupport('pipelines')) return;
    this.upgradeLogged = true;
    const message = 'every controller knows pipelines: do not go back to an older version';
    this.options.log.info({ node: this.options.node }, message);
  }

  /** Ends `publish`. */
  stop(): void {
    this.stopped = true;
  }
}
