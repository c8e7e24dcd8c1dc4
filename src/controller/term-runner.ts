/** Begins and ends terms of leadership on this controller. */

import type { Overload } from '../admission/overload.js';
import type { CancellationTimes } from '../cancellation/cancellation-times.js';
import type { Clock } from '../clock.js';
import type { CloudClient } from '../cloud/client.js';
import type { Settings } from '../config/settings.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import { Leader } from '../leader/leader.js';
import type { TermContext } from '../leader/term/term-state.js';
import type { Election } from '../leadership/election.js';
import type { LeaderAcknowledgements } from '../leadership/leader-acknowledgements.js';
import type { ZoneLeaseWatch } from '../leadership/zone-lease.js';
import type { Log } from '../log.js';
import type { Policy } from '../operator/policy.js';
import type { KeyValueStoreClient } from '../store/client.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { Replica } from '../store/replica.js';
import type { Subsystem } from '../subsystems/subsystem.js';
import type { TimeOfDay } from '../time-of-day.js';
import type { ControllerVersions } from './controller-versions.js';
import type { MachineTypeCache } from './machine-type-cache.js';

/** Dependencies of a leadership term; see `TermContext`. */
export interface TermRunnerOptions {
  settings: Settings;
  policy: Policy;
  clock: Clock;
  /** This process's time of day. */
  timeOfDay: TimeOfDay;
  log: Log;
  /** Unique for each process; names of scale-out requests begin with it. */
  incarnation: string;
  store: KeyValueStoreClient;
  replica: Replica;
  replicaSync: ReplicaSync;
  cloud: CloudClient;
  latencies: LatencyHistograms;
  overload: Overload;
  subsystems: readonly Subsystem[];
  cancellationTimes: CancellationTimes;
  /** Parts that depend on this one; resolved only once a term begins. */
  election: () => Election;
  acknowledgements: () => LeaderAcknowledgements;
  zoneLeases: () => ZoneLeaseWatch;
  versions: () => ControllerVersions;
  machineTypes: () => MachineTypeCache;
}

/** Creates a `Leader` for each term in which this controller leads. */
export class TermRunner {
  /** Null: this controller is not the leader. */
  leader: Leader | null = null;
  private machinesLostInEarlierTerms = 0;

  constructor(private readonly options: TermRunnerOptions) {}

  /** Machines whose leases this controller, as leader, counted as expired since its start. */
  get machinesLost(): number {
    return this.machinesLostInEarlierTerms + (this.leader?.term.machinesLost ?? 0);
  }

  /** Begins the term with this fencing token, after this controller was elected. */
  begin(token: number): void {
    this.end();
    const { store, cloud, latencies, overload, subsystems, election } = this.options;
    this.leader = new Leader(this.termContext(token), {
      store,
      cloud,
      onLeadershipLost: () => election().wake(),
      latencies,
      overload,
      subsystems,
    });
    void this.options.acknowledgements().collect(token);
    this.leader.start();
    const { fetched } = this.options.machineTypes();
    if (fetched !== null && this.leader.term.machineTypes.size === 0) {
      this.leader.onMachineTypes(fetched);
    }
  }

  private termContext(token: number): TermContext {
    const { settings, policy, clock, timeOfDay, log, incarnation, store } = this.options;
    const { replica, replicaSync, cancellationTimes } = this.options;
    const election = this.options.election();
    const acknowledgements = this.options.acknowledgements();
    const zoneLeases = this.options.zoneLeases();
    return {
      settings,
      clock,
      timeOfDay,
      log,
      replica,
      policy,
      token,
      incarnation,
      allReadDenseRecords: () => this.options.versions().allSupport('pipelines'),
      isEntitled: () => election.isEntitled && election.token === token,
      substituteRenewal: () => {
        const { renewedUntil, provenUntil } = acknowledgements.substituteRenewal(token);
        const substitutesUntil = store.rejectedAt + election.outageQuorum.substituteWindowS;
        return { renewedUntil: Math.max(renewedUntil, substitutesUntil), provenUntil };
      },
      requestSubstituteProof: () =>
        this.requestCycleAfterProof(acknowledgements.requestRenewalProof()),
      zoneRenewal: (zone) => zoneLeases.zoneRenewal(zone),
      requestZoneProof: () => this.requestCycleAfterProof(replicaSync.sync()),
      cancellationKnownAt: (job) => cancellationTimes.of(job),
      canWrite: () => election.canWrite && election.token === token,
    };
  }

  /** Requests a scheduling cycle, which reviews the leases, as soon as a requested proof is available. */
  private requestCycleAfterProof(proof: Promise<boolean>): void {
    void proof.then((isProven) => isProven && this.leader?.term.requestCycle());
  }

  /** Ends the present term, if there is one. */
  end(): void {
    if (this.leader === null) return;
    this.leader.stop();
    this.machinesLostInEarlierTerms += this.leader.term.machinesLost;
    this.leader = null;
  }

  /** Stops the leader at the end of the process; the term's statistics are dropped. */
  stop(): void {
    this.leader?.stop();
    this.leader = null;
  }
}
