import type { LiveJob } from '../../jobs/live-job.js';
import { DownstreamPaths, type DownstreamPath } from '../../pipelines/downstream-path.js';
import { isWithinLimit } from '../../jobs/types.js';
import {
  LongJobs,
  compareJobs,
  remainingTimeS,
  scores,
  type RankInput,
} from '../../scheduler/ranking.js';
import type { Term } from '../term/term.js';

/** Ranking input of a job without successors: a pipeline of its own. */
const withoutSuccessors = (job: LiveJob): RankInput => ({
  unfinishedS: job.unfinishedPredictedS,
  finishedS: job.finishedPredictedS,
  attainedS: job.attainedS,
  predictedS: job.spec.estimateS,
  pipelineMeanS: job.spec.estimateS,
  successors: [],
});

/** Ranking input of a job with successors: of the jobs after it, the longest path counts. */
function withSuccessors(
  job: LiveJob,
  { longestPathS, depth, successors }: DownstreamPath,
): RankInput {
  const own = withoutSuccessors(job);
  return {
    ...own,
    unfinishedS: own.unfinishedS + longestPathS,
    pipelineMeanS: (own.predictedS + longestPathS) / (depth + 1),
    successors,
  };
}

/** Factor for run time estimates, which are often wrong by half (protocol). */
const ESTIMATE_ERROR = 1.5;

/** Open jobs in the order in which they are placed. */
export class JobQueue {
  private readonly longJobs = new LongJobs();
  private readonly downstreamPaths: DownstreamPaths;

  constructor(private readonly term: Term) {
    this.downstreamPaths = new DownstreamPaths(term.context.replica.dependencies);
  }

  private rankInput(job: LiveJob): RankInput {
    if (!this.hasSuccessors(job)) return withoutSuccessors(job);
    return withSuccessors(job, this.downstreamPaths.of(job.storedJob));
  }

  private hasSuccessors(job: LiveJob): boolean {
    return this.term.context.replica.dependencies.hasDependents(job.spec.id);
  }

  /**
   * Gives a job the highest priority of the jobs that depend on it, once the time left before their
   * deadlines is short. Raising it from the beginning gave worse results on days with failures:
   * docs/results.md.
   */
  private inheritPriority(job: LiveJob): void {
    const { storedJob } = job;
    if (!this.hasSuccessors(job)) {
      job.setPriority(storedJob.spec.priority);
      return;
    }
    const path = this.downstreamPaths.of(storedJob);
    job.setPriority(this.isUrgent(job, path) ? path.priority : storedJob.spec.priority);
  }

  /** Whether a job may end too late if it first waits for a boot. Always true without a deadline. */
  private isUrgent({ spec }: LiveJob, { latestEndMs }: DownstreamPath): boolean {
    const { timeOfDay, slowestBootS } = this.term;
    const remainingS = (latestEndMs - timeOfDay.nowMs()) / 1000;
    return latestEndMs === Infinity || remainingS < spec.estimateS * ESTIMATE_ERROR + slowestBootS;
  }

  /** Ranks open jobs that have tasks to start. */
  rankedJobs(now: number): LiveJob[] {
    const { policy, replica } = this.term.context;
    // Fast path: most fleets have no pipelines most of the time, and scheduling cycles run often.
    const noPipelines = replica.dependencies.isEmpty;
    const rankInputOf = noPipelines
      ? withoutSuccessors
      : (job: LiveJob): RankInput => this.rankInput(job);
    const openJobs: LiveJob[] = [];
    for (const job of this.term.jobs.values()) {
      if (job.phase !== 'active') continue;
      if (!noPipelines || job.spec !== job.storedJob.spec) this.inheritPriority(job);
      openJobs.push(job);
    }
    const finiteJobs = openJobs.filter((job) => job.spec.kind !== 'service');
    const remainingTimesS = finiteJobs.map((job) => remainingTimeS(rankInputOf(job), policy));
    this.longJobs.update(remainingTimesS, policy, now);
    finiteJobs.forEach(
      (job, i) => (job.isLong = this.longJobs.isLong(remainingTimesS[i]!, job.isLong)),
    );
    this.markGuaranteed(openJobs);
    const waitingJobs = openJobs.filter((job) => job.pendingTaskCount > 0);
    const jobScores = scores(
      waitingJobs.map(rankInputOf),
      waitingJobs.map((job) => job.isLong),
      policy,
    );
    const order = waitingJobs.map((job, i) => {
      job.score = jobScores[i]!;
      const { isGuaranteed, score, readyRevision } = job;
      return { job, priority: job.spec.priority, guaranteed: isGuaranteed, score, readyRevision };
    });
    return order.sort(compareJobs).map((ranked) => ranked.job);
  }

  /**
   * Marks a job as guaranteed if it fits into its team's guarantee together with the team's earlier
   * unfinished jobs. A term holds its jobs in the order of their acceptance.
   */
  private markGuaranteed(openJobs: LiveJob[]): void {
    const sumsByTeam = new Map<string, { cores: number; gpus: number }>();
    for (const job of openJobs) {
      const team = this.term.context.settings.teams.get(job.spec.team);
      job.isGuaranteed = false;
      if (team === undefined || (team.cores <= 0 && team.gpus <= 0)) continue;
      let sum = sumsByTeam.get(team.name);
      if (sum === undefined) sumsByTeam.set(team.name, (sum = { cores: 0, gpus: 0 }));
      sum.cores += job.spec.cores * job.spec.tasks;
      sum.gpus += job.spec.gpus * job.spec.tasks;
      job.isGuaranteed = isWithinLimit(sum.cores, team.cores) && isWithinLimit(sum.gpus, team.gpus);
    }
  }
}
