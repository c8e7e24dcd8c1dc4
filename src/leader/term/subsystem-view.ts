/** A term as one of its subsystems sees it. */

import type { JobSpec, MachineType } from '../../jobs/types.js';
import type { Log } from '../../log.js';
import type { Settings } from '../../config/settings.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { DownstreamPaths } from '../../pipelines/downstream-path.js';
import { specOf } from '../../store/stored-job.js';
import type {
  AttemptView,
  LiveJobView,
  MachineView,
  OwnedRecord,
  ReplicaMigration,
  TeamUsage,
  TermView,
} from '../../subsystems/subsystem.js';
import type { TermTimeOfDay } from '../../time-of-day.js';
import { occupiesCapacity, type Attempt } from '../../workers/attempt.js';
import type { CapacityManager } from '../capacity/capacity-manager.js';
import type { Term } from './term.js';

/** Dependencies of `SubsystemView`. */
export interface SubsystemViewOptions {
  term: Term;
  capacity: CapacityManager;
  wakeWriter: () => void;
  migrateReplica: (attempt: Attempt, mayFetch: boolean) => boolean;
  migrationGapS: (jobClass: string) => number;
}

/** The term as a subsystem sees it. */
export class SubsystemView implements TermView {
  readonly settings: Settings;
  readonly log: Log;
  readonly token: number;
  readonly uniquePrefix: string;
  private readonly downstreamPaths: DownstreamPaths;

  constructor(
    private readonly subsystem: string,
    private readonly options: SubsystemViewOptions,
  ) {
    const { context } = options.term;
    this.settings = context.settings;
    this.log = context.log;
    this.token = context.token;
    this.downstreamPaths = new DownstreamPaths(context.replica.dependencies);
    this.uniquePrefix = `${context.incarnation}-${context.token}-${subsystem}`;
  }

  /** See `TermView.now`. */
  now(): number {
    return this.options.term.now;
  }

  /** See `TermView.timeOfDay`. */
  get timeOfDay(): TermTimeOfDay {
    return this.options.term.timeOfDay;
  }

  /** See `TermView.canWrite`. */
  canWrite(): boolean {
    return this.options.term.context.canWrite();
  }

  /** See `TermView.machineTypes`. */
  machineTypes(): ReadonlyMap<string, MachineType> {
    return this.options.term.machineTypes;
  }

  /** See `TermView.machine`. */
  machine(id: string): MachineView | undefined {
    return this.options.term.machines.get(id);
  }

  /** See `TermView.isPending`. */
  isPending(id: string): boolean {
    return this.options.capacity.provisioner.pending.has(id);
  }

  /** See `TermView.isListed`. */
  isListed(id: string): boolean | null {
    return this.options.capacity.isListed(id);
  }

  /** See `TermView.isShort`. */
  isShort(type: string, zone: string): boolean {
    return this.options.capacity.provisioner.isShort(type, zone, false);
  }

  /** See `TermView.spec`. */
  spec(job: string): JobSpec | null {
    const { term } = this.options;
    const live = term.jobs.get(job);
    if (live !== undefined) return live.spec;
    const storedJob = term.context.replica.jobs.get(job);
    return storedJob === undefined ? null : specOf(storedJob);
  }

  /** See `TermView.job`. */
  job(id: string): LiveJobView | undefined {
    return this.options.term.jobs.get(id);
  }

  /** See `TermView.jobs`. */
  jobs(): Iterable<LiveJobView> {
    return this.options.term.jobs.values();
  }

  /** See `TermView.latestEndMs`. */
  latestEndMs(id: string): number {
    const job = this.options.term.jobs.get(id);
    return job === undefined ? Infinity : this.downstreamPaths.of(job.storedJob).latestEndMs;
  }

  /** See `TermView.migrateReplica`. */
  migrateReplica({ job, index, from, mayFetch }: ReplicaMigration): boolean {
    const attempts = this.options.term.jobs.get(job)?.attemptsByTask.get(index) ?? [];
    const attempt = attempts.find(
      (attempt) => attempt.machine === from && occupiesCapacity(attempt),
    );
    return attempt !== undefined && this.options.migrateReplica(attempt, mayFetch);
  }

  /** See `TermView.migrationGapS`. */
  migrationGapS(jobClass: string): number {
    return this.options.migrationGapS(jobClass);
  }

  /** See `TermView.endStoppingAttempt`. */
  endStoppingAttempt({ job, index, number }: AttemptView): void {
    const { term } = this.options;
    const live = term.jobs.get(job);
    const attempt = live?.attemptsByTask.get(index)?.find((attempt) => attempt.number === number);
    if (live === undefined || attempt === undefined) return;
    if (attempt.stopRequest === null && attempt.state !== 'saving') return;
    term.stopImmediately(live, attempt, 'subsystem');
  }

  /** See `TermView.freeCapacities`. */
  freeCapacities(): readonly FreeCapacity[] {
    return this.options.capacity.capacities;
  }

  /** See `TermView.usage`. */
  usage(team: string): TeamUsage {
    return this.options.capacity.usages?.of(team) ?? { cores: 0, gpus: 0 };
  }

  /** See `TermView.records`. */
  records(): ReadonlyMap<string, OwnedRecord> {
    return this.options.term.context.replica.subsystems.forSubsystem(this.subsystem);
  }

  /** See `TermView.wakeWriter`. */
  wakeWriter(): void {
    this.options.wakeWriter();
  }

  /** See `TermView.wakeProvisioner`. */
  wakeProvisioner(): void {
    this.options.capacity.provisioner.wake();
  }
}
