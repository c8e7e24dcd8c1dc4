import { DemandForecast } from '../../src/cloud/demand-forecast.js';
import type { JobSpec } from '../../src/jobs/types.js';
import { silentLog } from '../../src/log.js';
import { DEFAULT_POLICY } from '../../src/operator/policy.js';
import { Scheduler } from '../../src/leader/scheduling/scheduler.js';
import { NO_SUBSYSTEMS } from '../../src/subsystems/active-subsystems.js';
import { Term } from '../../src/leader/term/term.js';
import { CapacityManager } from '../../src/leader/capacity/capacity-manager.js';
import * as records from '../../src/store/records.js';
import { Replica } from '../../src/store/replica.js';
import { TimeOfDay } from '../../src/time-of-day.js';
import type { Machine } from '../../src/workers/machine.js';
import type { TaskStatus } from '../../src/wire/workers.js';
import { g8, settings, spec } from '../helpers.js';

const TOKEN = 50;

/** Scheduling cycles over a term without input or output; workers act only when a test says so. */
export class SchedulerWorld {
  now = 0;
  private revision = 1;
  private readonly replica = new Replica(8192);
  readonly term: Term;
  readonly scheduler: Scheduler;
  readonly capacity: CapacityManager;
  /** Until when the holder of the zone lease may be renewing the workers' leases. */
  zoneRenewedUntil = -Infinity;

  constructor(gpusMax = 100, withinS = 0, subsystems = NO_SUBSYSTEMS) {
    this.replica.machineTypes = [g8];
    const config = settings();
    config.teams.set('t', { name: 't', cores: 0, coresMax: 0, gpus: 0, gpusMax });
    if (withinS > 0) config.objectives.push({ kind: 'wait', class: 'c', within_s: withinS });
    this.term = new Term({
      settings: config,
      clock: { now: () => this.now },
      timeOfDay: new TimeOfDay({
        ...{ clock: { now: () => this.now }, wallMs: () => this.now * 1000 },
        ...{ skewMs: 0, leaseS: 10 },
      }),
      log: silentLog(),
      replica: this.replica,
      policy: DEFAULT_POLICY,
      token: TOKEN,
      incarnation: 'x',
      allReadDenseRecords: () => true,
      isEntitled: () => true,
      canWrite: () => true,
      substituteRenewal: () => ({ renewedUntil: -Infinity, provenUntil: Infinity }),
      requestSubstituteProof: () => undefined,
      zoneRenewal: () => ({ renewedUntil: this.zoneRenewedUntil, provenUntil: Infinity }),
      requestZoneProof: () => undefined,
      cancellationKnownAt: () => undefined,
    });
    const forecast = new DemandForecast(
      () => this.now * 1000,
      1,
      () => [g8],
    );
    this.scheduler = new Scheduler(
      this.term,
      forecast,
      () => true,
      () => 0,
      subsystems,
    );
    this.capacity = new CapacityManager({
      term: this.term,
      cloud: null!,
      scheduler: () => this.scheduler,
      forecast,
      forgetMachine: () => undefined,
      onMachineTypes: () => undefined,
      subsystems,
    });
    this.capacity.provisioner.listedOnce = true;
  }

  /** Machines that would be rented now. */
  machinesToAdd(): number {
    const { demand, capacities } = this.scheduler.runCycle();
    this.capacity.demand = demand;
    this.capacity.capacities = capacities;
    return this.capacity.machinesToAdd().reduce((n, wanted) => n + wanted.count, 0);
  }

  /** Accepts a job and adds it to the term. */
  submitJob(over: Partial<JobSpec>): void {
    const jobSpec = spec(over);
    const value = records.encodeRequestBatch({
      jobs: [{ spec: jobSpec, acceptedAtMs: this.now * 1000 }],
      cancelledIds: [],
    });
    this.replica.applyListed({
      key: `${records.JOBS}x-${this.revision}`,
      value,
      revision: this.revision++,
    });
    this.term.addJob(this.replica.jobs.get(jobSpec.id)!);
  }

  private sequence = 0;

  /** Sends a heartbeat of a machine with these tasks. */
  heartbeat(id: string, tasks: TaskStatus[]): void {
    const machine = this.term.machine(id);
    const changes = machine.applyHeartbeat(
      {
        machine: id, addr: '127.0.0.1:1', type: 'g8', zone: 'z1', spot: false, agentEpoch: 1,
        sequence: ++this.sequence, token: TOKEN, reclaimNoticeS: null, tasks,
      }, 'heartbeat', this.now,
    ); // prettier-ignore
    this.term.reconcile(machine, changes);
  }

  /** Claims are stored and their tasks run; `ended`: tasks that were to stop have saved and ended. */
  confirmClaims(id: string, ended: boolean): void {
    const machine = this.term.machines.get(id)!;
    for (const attempt of machine.attempts.values()) this.term.claimStored(attempt, TOKEN + 1);
    const tasks = [...machine.attempts.values()].map((attempt): TaskStatus => ({
      job: attempt.job,
      index: attempt.index,
      attempt: attempt.number,
      state: attempt.stopRequest !== null ? (ended ? 'ended' : 'saving') : 'running',
      cause: attempt.stopRequest !== null && ended ? 'stopped' : null,
      saved: true,
    }));
    this.heartbeat(id, tasks);
  }

  /** Runs a scheduling cycle a tenth of a second later. */
  runCycle(): void {
    this.now += 0.1;
    this.scheduler.runCycle();
  }

  /** Number of active tasks of a job on a machine without a stop request. */
  activeTasksOn(id: string, job: string): number {
    const machine: Machine = this.term.machines.get(id)!;
    return machine
      .activeAttempts()
      .filter((attempt) => attempt.job === job && attempt.stopRequest === null).length;
  }
}
