/** Builds the parts that validate, store, confirm or forward users' requests. */

import { RequestForwarder } from '../api/request-forwarder.js';
import { UserApi } from '../api/user-api.js';
import type { CancellationBroadcast } from '../cancellation/cancellation-broadcast.js';
import { CancellationQuorum } from '../cancellation/cancellation-quorum.js';
import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { MachineType } from '../jobs/types.js';
import type { Log } from '../log.js';
import type { PeerNetwork } from '../peers/peer-network.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import { RequestWriter } from '../store/request-writer.js';
import type { TimeOfDay } from '../time-of-day.js';
import type { ControllerVersions } from './controller-versions.js';

/** Retention, in leases, of what is known about the confirmation of cancellations. */
const CONFIRMATION_RETENTION_LEASES = 20;

/** Dependencies of the request path. */
export interface RequestPathOptions {
  settings: Settings;
  clock: Clock;
  /** This process's time of day. */
  timeOfDay: TimeOfDay;
  log: Log;
  incarnation: string;
  store: KeyValueStoreClient;
  replica: Replica;
  replicaSync: ReplicaSync;
  peers: PeerNetwork;
  cancellations: CancellationBroadcast;
  versions: ControllerVersions;
  /** Machine types by which submissions are validated; null: none are known yet. */
  knownTypes: () => MachineType[] | null;
}

/** Builds the forwarder, which answers users' requests on this controller or forwards them to another one. */
export function makeRequestForwarder(options: RequestPathOptions): RequestForwarder {
  const { settings, clock, store, replicaSync, peers, versions } = options;
  return new RequestForwarder({
    userApi: makeUserApi(options),
    store,
    replicaSync,
    peers,
    workers: settings.workers,
    now: () => clock.now(),
    knowsPipelines: (node) => versions.supports(node, 'pipelines'),
  });
}

function makeUserApi(options: RequestPathOptions): UserApi {
  const { settings, timeOfDay, log, replica, replicaSync, cancellations, versions } = options;
  const quorum = makeCancellationQuorum(options);
  return new UserApi({
    settings,
    replicaSync,
    replica,
    requestWriter: makeRequestWriter(options),
    types: options.knownTypes,
    announceCancellation: (job) => cancellations.announce(job),
    confirmCancellation: (storedJob, job) => quorum.confirm(storedJob, job),
    isOldVersionPresent: () => versions.isOldVersionPresent('pipelines'),
    wallMs: () => timeOfDay.nowMs(),
    log,
  });
}

function makeRequestWriter(options: RequestPathOptions): RequestWriter {
  const { incarnation, store, replicaSync, replica, clock, log } = options;
  const budget = store.writeBudget;
  return new RequestWriter({ incarnation, store, replicaSync, replica, budget, clock, log });
}

function makeCancellationQuorum(options: RequestPathOptions): CancellationQuorum {
  const { settings, peers, replica, clock, cancellations } = options;
  return new CancellationQuorum({
    controllerCount: settings.controllerCount,
    peers,
    replica,
    clock,
    remainingWaitS: (job, noted) => cancellations.remainingWaitS(job, noted),
    retentionS: settings.workers.lease_s * CONFIRMATION_RETENTION_LEASES,
  });
}
