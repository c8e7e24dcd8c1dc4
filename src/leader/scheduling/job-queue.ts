import type { LiveJob } from '../../jobs/live-job.js';
import { Outlooks, type Outlook } from '../../pipelines/downstream-path.js';
import { within } from '../../jobs/types.js';
import { LongMarks, compareJobs, remaining, scores, type Ready } from '../../scheduler/ranking.js';
import type { Term } from '../term/term.js';

/** As the ranking sees a job without others after it: a pipeline of its own. */
const alone = (job: LiveJob): Ready => ({
  unfinishedS: job.unfinishedPredictedS,
  finishedS: job.finishedPredictedS,
  attainedS: job.attainedS,
  predictedS: job.spec.estimateS,
  pipelineMeanS: job.spec.estimateS,
  successors: [],
});

/** With what waits for it: of the rest of the pipeline the longest path counts. */
function before(job: LiveJob, { criticalS, depth, successors }: Outlook): Ready {
  const own = alone(job);
  return {
    ...own,
    unfinishedS: own.unfinishedS + criticalS,
    pipelineMeanS: (own.predictedS + criticalS) / (depth + 1),
    successors,
  };
}

/** Estimates are often wrong by half (protocol). */
const ESTIMATE_ERROR = 1.5;

/** Open jobs in the order in which they are placed. */
export class Queue {
  private readonly marks = new LongMarks();
  private readonly outlooks: Outlooks;

  constructor(private readonly term: Term) {
    this.outlooks = new Outlooks(term.context.replica.dependencies);
  }

  private asReady(job: LiveJob): Ready {
    if (!this.hasSuccessors(job)) return alone(job);
    return before(job, this.outlooks.of(job.storedJob));
  }

  private hasSuccessors(job: LiveJob): boolean {
    return this.term.context.replica.dependencies.hasDependents(job.spec.id);
  }

  /**
   * A job is treated as having the priority of the most important job that needs it, once the time left
   * for what comes before the deadline is short. Raised from the beginning, days with troubles went worse:
   * docs/results.md.
   */
  private inheritPriority(job: LiveJob): void {
    const { storedJob } = job;
    if (!this.hasSuccessors(job)) {
      job.setPriority(storedJob.spec.priority);
      return;
    }
    const outlook = this.outlooks.of(storedJob);
    job.setPriority(this.isUrgent(job, outlook) ? outlook.priority : storedJob.spec.priority);
  }

  /** Whether it may end too late if it waits for a machine to boot first. Without a deadline: always. */
  private isUrgent({ spec }: LiveJob, { latestEndMs }: Outlook): boolean {
    const { context, slowestBootS } = this.term;
    const leftS = (latestEndMs - context.wallMs()) / 1000;
    return latestEndMs === Infinity || leftS < spec.estimateS * ESTIMATE_ERROR + slowestBootS;
  }

  /** Ranks open jobs that have tasks to start. */
  ranked(now: number): LiveJob[] {
    const { policy, replica } = this.term.context;
    // Most fleets have no pipelines at most times, and passes are many.
    const noPipelines = replica.dependencies.isEmpty;
    const asReady = noPipelines ? alone : (job: LiveJob): Ready => this.asReady(job);
    const open: LiveJob[] = [];
    for (const job of this.term.jobs.values()) {
      if (job.phase !== 'open') continue;
      if (!noPipelines || job.spec !== job.storedJob.spec) this.inheritPriority(job);
      open.push(job);
    }
    const finite = open.filter((job) => job.spec.kind !== 'service');
    const remainings = finite.map((job) => remaining(asReady(job), policy));
    this.marks.update(remainings, policy, now);
    finite.forEach((job, i) => (job.long = this.marks.isLong(remainings[i]!, job.long)));
    this.markGuaranteed(open);
    const waiting = open.filter((job) => job.pendingCount > 0);
    const s = scores(
      waiting.map(asReady),
      waiting.map((job) => job.long),
      policy,
    );
    const order = waiting.map((job, i) => {
      job.score = s[i]!;
      const { guaranteed, score, readyAt } = job;
      return { job, priority: job.spec.priority, guaranteed, score, readyAt };
    });
    return order.sort(compareJobs).map((o) => o.job);
  }

  /**
   * A job is guaranteed when it fits with its team's earlier unfinished jobs into the guarantee. A
   * term's jobs are kept in the order of their acceptance.
   */
  private markGuaranteed(open: LiveJob[]): void {
    const sums = new Map<string, { cores: number; gpus: number }>();
    for (const job of open) {
      const team = this.term.context.settings.teams.get(job.spec.team);
      job.guaranteed = false;
      if (team === undefined || (team.cores <= 0 && team.gpus <= 0)) continue;
      let sum = sums.get(team.name);
      if (sum === undefined) sums.set(team.name, (sum = { cores: 0, gpus: 0 }));
      sum.cores += job.spec.cores * job.spec.tasks;
      sum.gpus += job.spec.gpus * job.spec.tasks;
      job.guaranteed = within(sum.cores, team.cores) && within(sum.gpus, team.gpus);
    }
  }
}
