import { NO_DEPENDENCIES, type JobKind, type JobSpec } from '../jobs/types.js';
import type { StoredJob } from './stored-job.js';

const EMPTY_SPEC: JobSpec = {
  id: '', class: '', team: '', kind: 'array', priority: 3, tasks: 0, cores: 0, gpus: 0, memGb: 0,
  image: '', imageGb: 0, types: null, zone: null, oneZone: false, scatter: false, spot: false,
  estimateS: 0, checkpointS: 0, saveS: 0, deadlineS: null, dependencies: NO_DEPENDENCIES,
}; // prettier-ignore

/**
 * What is left of jobs that were over long ago: their outcome, and of what they asked for only what
 * an answer may still rest on. Alike ones share the rest.
 */
export class JobCompactor {
  private readonly sharedSpecs = new Map<string, JobSpec>();

  /** The same job without what no answer rests on. */
  compact(storedJob: StoredJob): StoredJob {
    const { atMs, acceptedAt, cancelledAt, cancelledByDependency, doneAt, doneMs } = storedJob;
    const { readyAt, readyMs, doneTasks } = storedJob;
    return {
      spec: this.sharedSpec(storedJob.spec),
      atMs,
      acceptedAt,
      cancelledAt,
      cancelledByDependency,
      doneAt,
      doneMs,
      readyAt,
      readyMs,
      unmetDependencies: 0,
      doneTasks,
      attainedS: 0,
      progress: null,
      claimCount: 0,
    };
  }

  /** The kind stays: a service must not be named as needed, however long it is over. */
  private sharedSpec({ kind, tasks }: { kind: JobKind; tasks: number }): JobSpec {
    const key = `${kind} ${tasks}`;
    let spec = this.sharedSpecs.get(key);
    if (spec === undefined) this.sharedSpecs.set(key, (spec = { ...EMPTY_SPEC, kind, tasks }));
    return spec;
  }
}
