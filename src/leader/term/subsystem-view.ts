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
import { occupiesCapacity, type Attempt } from '../../workers/attempt.js';
import type { CapacityManager } from '../capacity/capacity-manager.js';
import type { Term } from './term.js';

export interface SubsystemViewOptions {
  term: Term;
  capacity: CapacityManager;
  wakeWriter: () => void;
  migrateReplica: (attempt: Attempt, mayFetch: boolean) => boolean;
  migrationGapS: (jobClass: string) => number;
}

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

  now(): number {
    return this.options.term.now;
  }

  wallMs(): number {
    return this.options.term.context.wallMs();
  }

  canWrite(): boolean {
    return this.options.term.context.canWrite();
  }

  machineTypes(): ReadonlyMap<string, MachineType> {
    return this.options.term.machineTypes;
  }

  machine(id: string): MachineView | undefined {
    return this.options.term.machines.get(id);
  }

  isPending(id: string): boolean {
    return this.options.capacity.provisioner.pending.has(id);
  }

  isListed(id: string): boolean | null {
    return this.options.capacity.isListed(id);
  }

  isShort(type: string, zone: string): boolean {
    return this.options.capacity.provisioner.isShort(type, zone, false);
  }

  spec(job: string): JobSpec | null {
    const { term } = this.options;
    const live = term.jobs.get(job);
    if (live !== undefined) return live.spec;
    const storedJob = term.context.replica.jobs.get(job);
    return storedJob === undefined ? null : specOf(storedJob);
  }

  job(id: string): LiveJobView | undefined {
    return this.options.term.jobs.get(id);
  }

  jobs(): Iterable<LiveJobView> {
    return this.options.term.jobs.values();
  }

  latestEndMs(id: string): number {
    const job = this.options.term.jobs.get(id);
    return job === undefined ? Infinity : this.downstreamPaths.of(job.storedJob).latestEndMs;
  }

  migrateReplica({ job, index, from, mayFetch }: ReplicaMigration): boolean {
    const attempts = this.options.term.jobs.get(job)?.attemptsByTask.get(index) ?? [];
    const attempt = attempts.find(
      (attempt) => attempt.machine === from && occupiesCapacity(attempt),
    );
    return attempt !== undefined && this.options.migrateReplica(attempt, mayFetch);
  }

  migrationGapS(jobClass: string): number {
    return this.options.migrationGapS(jobClass);
  }

  endStopped({ job, index, number }: AttemptView): void {
    const { term } = this.options;
    const live = term.jobs.get(job);
    const attempt = live?.attemptsByTask.get(index)?.find((attempt) => attempt.number === number);
    if (live === undefined || attempt === undefined) return;
    if (attempt.stopRequest === null && attempt.state !== 'saving') return;
    term.stopImmediately(live, attempt);
  }

  freeCapacities(): readonly FreeCapacity[] {
    return this.options.capacity.capacities;
  }

  usage(team: string): TeamUsage {
    return this.options.capacity.usages?.of(team) ?? { cores: 0, gpus: 0 };
  }

  records(): ReadonlyMap<string, OwnedRecord> {
    return this.options.term.context.replica.subsystems.of(this.subsystem);
  }

  wakeWriter(): void {
    this.options.wakeWriter();
  }

  wakeProvisioner(): void {
    this.options.capacity.provisioner.wake();
  }
}
