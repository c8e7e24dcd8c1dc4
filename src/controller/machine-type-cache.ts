import type { CloudClient } from '../cloud/client.js';
import { sleep } from '../clock.js';
import type { MachineType } from '../jobs/types.js';
import type { Leader } from '../leader/leader.js';
import type { Log } from '../log.js';
import { random } from '../random.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';

/** Seconds between two looks whether the store has been read. */
const CHECK_INTERVAL_S = 0.05;
/** Seconds before the cloud is asked again, with as much again at random. */
const RETRY_S = 1;

/** What a `MachineTypeCache` works with. */
export interface MachineTypeCacheOptions {
  cloud: Pick<CloudClient, 'fetchMachineTypes'>;
  replicaSync: Pick<ReplicaSync, 'ready'>;
  replica: Pick<Replica, 'machineTypes'>;
  leader: () => Leader | null;
  log: Log;
}

/** The machine types: from the store as a rule, from the cloud when nobody has stored them yet. */
export class MachineTypeCache {
  /** What the cloud said. */
  fetched: MachineType[] | null = null;
  private stopped = false;

  constructor(private readonly options: MachineTypeCacheOptions) {}

  /** Null: not known yet. */
  get known(): MachineType[] | null {
    const { leader, replica } = this.options;
    const types = leader()?.term.machineTypes;
    if (types !== undefined && types.size > 0) return [...types.values()];
    return replica.machineTypes ?? this.fetched;
  }

  /** Asks the cloud until the types are known from anywhere. */
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
