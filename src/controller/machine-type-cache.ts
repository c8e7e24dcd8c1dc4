import type { CloudClient } from '../cloud/client.js';
import { sleep } from '../clock.js';
import type { MachineType } from '../jobs/types.js';
import type { Leader } from '../leader/leader.js';
import type { Log } from '../log.js';
import { random } from '../random.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';

/** Interval at which to check whether the replica is loaded. */
const CHECK_INTERVAL_S = 0.05;
/** Least pause before the cloud is asked again; up to a second of jitter is added. */
const RETRY_S = 1;

/** Dependencies of a `MachineTypeCache`. */
export interface MachineTypeCacheOptions {
  cloud: Pick<CloudClient, 'fetchMachineTypes'>;
  replicaSync: Pick<ReplicaSync, 'ready'>;
  replica: Pick<Replica, 'machineTypes'>;
  leader: () => Leader | null;
  log: Log;
}

/** The machine types: usually from the store, or from the cloud if none are stored yet. */
export class MachineTypeCache {
  /** The types that the cloud returned; null: not fetched. */
  fetched: MachineType[] | null = null;
  private stopped = false;

  constructor(private readonly options: MachineTypeCacheOptions) {}

  /** The machine types; null: not known yet. */
  get known(): MachineType[] | null {
    const { leader, replica } = this.options;
    const types = leader()?.term.machineTypes;
    if (types !== undefined && types.size > 0) return [...types.values()];
    return replica.machineTypes ?? this.fetched;
  }

  /** Asks the cloud for the types until they are known from any source. */
  async fetch(): Promise<void> {
    const { cloud, replicaSync, leader, log } = this.options;
    while (!this.stopped && this.known === null) {
      if (!replicaSync.ready) {
        await sleep(CHECK_INTERVAL_S);
        continue;
      }
      try {
        this.fetched = await cloud.fetchMachineTypes();
        leader()?.onMachineTypes(this.fetched);
        return;
      } catch (error) {
        log.debug({ err: error }, 'machine types unavailable');
        await sleep(RETRY_S + random());
      }
    }
  }

  /** Ends `fetch`. */
  stop(): void {
    this.stopped = true;
  }
}
