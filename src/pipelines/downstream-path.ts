import type { JobSpec, Priority } from '../jobs/types.js';
import type { Successor } from '../scheduler/ranking.js';
import type { StoredJob } from '../store/stored-job.js';
import type { DependencyGraph } from './dependency-graph.js';

/** Summary of the jobs after a job in its pipeline. */
export interface DownstreamPath {
  /** The highest priority of the job and of all jobs that depend on it. */
  priority: Priority;
  /** Direct dependents: predicted work in seconds, and number of jobs on the longest path after them. */
  successors: Successor[];
  /** Predicted time of the longest path of jobs after it, in seconds. */
  longestPathS: number;
  /** Number of jobs on the longest path after it. */
  depth: number;
  /** Time of day in ms by which it has to be done to meet all deadlines as predicted; Infinity: none. */
  latestEndMs: number;
}

/** Predicted run time of all tasks of a job, in seconds. Tasks of a gang run in parallel. */
const predictedWorkS = (spec: JobSpec): number =>
  spec.kind === 'gang' ? spec.estimateS : spec.estimateS * spec.tasks;

/** Computes the downstream paths of jobs and caches them until the graph changes. */
export class DownstreamPaths {
  private readonly paths = new Map<string, DownstreamPath>();
  private graphVersion = -1;

  constructor(private readonly graph: DependencyGraph) {}

  /** The downstream path of a job. */
  of(job: StoredJob): DownstreamPath {
    if (this.graph.version !== this.graphVersion) {
      this.paths.clear();
      this.graphVersion = this.graph.version;
    }
    return this.paths.get(job.spec.id) ?? this.compute(job);
  }

  /** Visits dependents first, with an explicit stack, since chains may have thousands of jobs. */
  private compute(root: StoredJob): DownstreamPath {
    const stack = [root];
    const visited = new Set<string>();
    for (let job = stack.at(-1); job !== undefined; job = stack.at(-1)) {
      const { id } = job.spec;
      const dependents = this.graph.dependentsOf(id);
      if (!visited.has(id)) {
        visited.add(id);
        const lengthBefore = stack.length;
        for (const dependent of dependents) {
          const { id: next } = dependent.spec;
          if (!visited.has(next) && !this.paths.has(next)) stack.push(dependent);
        }
        if (stack.length > lengthBefore) continue;
      }
      stack.pop();
      if (!this.paths.has(id)) this.paths.set(id, this.combine(job, dependents));
    }
    return this.paths.get(root.spec.id)!;
  }

  private combine(job: StoredJob, dependents: readonly StoredJob[]): DownstreamPath {
    const { priority, deadlineS } = job.spec;
    const latestEndMs = deadlineS === null ? Infinity : job.acceptedAtMs + deadlineS * 1000;
    const path: DownstreamPath = {
      priority,
      successors: [],
      longestPathS: 0,
      depth: 0,
      latestEndMs,
    };
    for (const { spec } of dependents) {
      const after = this.paths.get(spec.id);
      if (after === undefined) continue;
      path.priority = Math.min(path.priority, after.priority) as Priority;
      path.successors.push({ workS: predictedWorkS(spec), depth: after.depth });
      path.longestPathS = Math.max(path.longestPathS, spec.estimateS + after.longestPathS);
      path.depth = Math.max(path.depth, after.depth + 1);
      const startMs = after.latestEndMs - spec.estimateS * 1000;
      path.latestEndMs = Math.min(path.latestEndMs, startMs);
    }
    return path;
  }
}
