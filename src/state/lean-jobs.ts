import { NO_JOBS, type JobKind, type JobSpec } from '../jobs/types.js';
import type { JobFacts } from './job-facts.js';

const NOTHING: JobSpec = {
  id: '', class: '', team: '', kind: 'array', priority: 3, tasks: 0, cores: 0, gpus: 0, memGb: 0,
  image: '', imageGb: 0, types: null, zone: null, oneZone: false, scatter: false, spot: false,
  estimateS: 0, checkpointS: 0, saveS: 0, deadlineS: null, awaits: NO_JOBS,
}; // prettier-ignore

/**
 * What is left of jobs that were over long ago: their outcome, and of what they asked for only what
 * an answer may still rest on. Alike ones share the rest.
 */
export class LeanJobs {
  private readonly specs = new Map<string, JobSpec>();

  make(facts: JobFacts): JobFacts {
    const { atMs, acceptedAt, cancelledAt, cancelledWithNeeded, doneAt, doneMs } = facts;
    const { readyAt, readyMs, doneTasks } = facts;
    return {
      spec: this.spec(facts.spec),
      atMs,
      acceptedAt,
      cancelledAt,
      cancelledWithNeeded,
      doneAt,
      doneMs,
      readyAt,
      readyMs,
      missing: 0,
      doneTasks,
      attainedS: 0,
      progress: null,
      claims: 0,
    };
  }

  /** The kind stays: a service must not be named as needed, however long it is over. */
  private spec({ kind, tasks }: { kind: JobKind; tasks: number }): JobSpec {
    const key = `${kind} ${tasks}`;
    let spec = this.specs.get(key);
    if (spec === undefined) this.specs.set(key, (spec = { ...NOTHING, kind, tasks }));
    return spec;
  }
}
