import { NO_DEPENDENCIES, type JobKind, type JobSpec } from '../jobs/types.js';
import type { StoredJob } from './stored-job.js';

const EMPTY_SPEC: JobSpec = {
  id: '', class: '', team: '', kind: 'array', priority: 3, tasks: 0, cores: 0, gpus: 0, memGb: 0,
  image: '', imageGb: 0, types: null, zone: null, oneZone: false, scatter: false, spot: false,
  estimateS: 0, checkpointS: 0, saveS: 0, deadlineS: null, dependencies: NO_DEPENDENCIES,
}; // prettier-ignore

/**
 * Reduces jobs that finished long ago to their outcome and the few fields of the spec that responses still
 * need. Jobs of the same kind and size share one spec.
 */
export class JobCompactor {
  private readonly sharedSpecs = new Map<string, JobSpec>();

  /** Returns the job without the data that no response needs. */
  compact(storedJob: StoredJob): StoredJob {
    const {
      acceptedAtMs,
      acceptedRevision,
      cancelledRevision,
      cancelledByDependency,
      doneRevision,
      doneMs,
    } = storedJob;
    const { readyRevision, readyMs, doneTasks } = storedJob;
    return {
      spec: this.sharedSpec(storedJob.spec),
      acceptedAtMs,
      acceptedRevision,
      cancelledRevision,
      cancelledByDependency,
      doneRevision,
      doneMs,
      readyRevision,
      readyMs,
      unmetDependencies: 0,
      doneTasks,
      attainedS: 0,
      progress: null,
      claimCount: 0,
    };
  }

  /** Keeps the kind, since no job may depend on a service, even on one that finished long ago. */
  private sharedSpec({ kind, tasks }: { kind: JobKind; tasks: number }): JobSpec {
    const key = `${kind} ${tasks}`;
    let spec = this.sharedSpecs.get(key);
    if (spec === undefined) this.sharedSpecs.set(key, (spec = { ...EMPTY_SPEC, kind, tasks }));
    return spec;
  }
}
