/** Collects what the leader knows of a possible lender and its remaining work. */

import type { PreemptionVictim, LiveJobView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import { isWithinLimit } from '../jobs/types.js';
import type { EstimateErrors } from './estimate-errors.js';
import type { Loan } from './loan.js';
import type { LenderWork } from './loan-safety.js';
import type { ReturnTimes } from './return-times.js';

/** Seconds of a task's present run that its checkpoints cover, so that they need not be repeated after a stop. */
function savedS({ job, attempt }: PreemptionVictim, now: number): number {
  const { checkpointS } = job.spec;
  if (checkpointS <= 0 || attempt.startedAt === null) return 0;
  const ranS = now - attempt.startedAt;
  return Math.floor(ranS / checkpointS) * checkpointS;
}

/** Remaining seconds of the whole job if it continues with one running task fewer. */
function jobRemainingS(job: LiveJobView): number {
  if (job.isGang) return job.spec.estimateS;
  return job.unfinishedPredictedS / Math.max(1, job.activeAttemptCount - 1);
}

/** What `lenderWork` depends on. */
export interface LenderWorkContext {
  view: TermView;
  errors: EstimateErrors;
  returnTimes: ReturnTimes;
}

/** `lentAtMs`: when the job's latest loan was granted, in ms of the time of day; null: never. */
export function lenderWork(
  victim: PreemptionVictim,
  borrowerCanWait: boolean,
  { hasOpenLoan, lentAtMs }: { hasOpenLoan: boolean; lentAtMs: number | null },
  { view, errors, returnTimes }: LenderWorkContext,
): LenderWork {
  const { job, attempt } = victim;
  const { spec } = job;
  const nowMs = view.timeOfDay.nowMs();
  const type = view.machineTypes().get(view.machine(attempt.machine)?.type ?? '');
  return {
    timeLeftS: (view.latestEndMs(spec.id) - nowMs) / 1000,
    ownRemainingS: Math.max(0, spec.estimateS - savedS(victim, view.now())),
    jobRemainingS: jobRemainingS(job),
    margin: errors.margin(spec.class),
    saveS: spec.checkpointS > 0 ? spec.saveS : 0,
    fetchS: spec.imageGb / Math.max(type?.fetchGbPerS ?? 1, 1e-9),
    restartS: returnTimes.commandDelayS,
    recallDurationS: returnTimes.recallDurationS,
    savesOnStop: spec.checkpointS > 0,
    // An attempt inherited from an earlier leader counts as started: it may have run for long.
    started:
      attempt.state !== 'fetching' && attempt.state !== 'waiting' && occupiesCapacity(attempt),
    guaranteed: job.isGuaranteed,
    sinceLastLoanS: lentAtMs === null ? Infinity : (nowMs - lentAtMs) / 1000,
    hasOpenLoan,
    borrowerCanWait,
  };
}

/** Whether the lender's team is at its limit, so that the lender could not start even on a free machine. */
export function isAtLimit({ lender }: Pick<Loan, 'lender'>, view: TermView): boolean {
  const spec = view.spec(lender);
  const team = spec === null ? undefined : view.settings.teams.get(spec.team);
  if (spec === null || team === undefined) return false;
  const used = view.usage(spec.team);
  return (
    !isWithinLimit(used.gpus + spec.gpus, team.gpusMax) ||
    !isWithinLimit(used.cores + spec.cores, team.coresMax)
  );
}
