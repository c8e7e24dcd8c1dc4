/** What is left to do of work that might lend, as the leader knows it. */

import type { PreemptionVictim, LiveJobView, TermView } from '../subsystems/subsystem.js';
import { occupiesCapacity } from '../workers/attempt.js';
import { isWithinLimit } from '../jobs/types.js';
import type { EstimateErrors } from './estimate-errors.js';
import type { Loan } from './loan.js';
import type { LenderWork } from './loan-safety.js';
import type { ReturnTimes } from './return-times.js';

/** What becomes of a task's progress when it is stopped, in seconds of work that need not be repeated. */
function savedS({ job, attempt }: PreemptionVictim, now: number): number {
  const { checkpointS } = job.spec;
  if (checkpointS <= 0 || attempt.startedAt === null) return 0;
  const ranS = now - attempt.startedAt;
  return Math.floor(ranS / checkpointS) * checkpointS;
}

/** What is left of the whole job if it goes on with one task less than now. */
function jobRemainingS(job: LiveJobView): number {
  if (job.isGang) return job.spec.estimateS;
  return job.unfinishedPredictedS / Math.max(1, job.activeAttemptCount - 1);
}

/** What a lender's remaining work is computed with. */
export interface LenderWorkContext {
  view: TermView;
  errors: EstimateErrors;
  returnTimes: ReturnTimes;
}

/** `lentAtMs`: when its job lent last, in ms of the time of day; null: never. */
export function lenderWork(
  victim: PreemptionVictim,
  borrowerWaits: boolean,
  { lending, lentAtMs }: { lending: boolean; lentAtMs: number | null },
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
    // What an earlier leader started may have run for long.
    started:
      attempt.state !== 'fetching' && attempt.state !== 'waiting' && occupiesCapacity(attempt),
    guaranteed: job.isGuaranteed,
    sinceLastLoanS: lentAtMs === null ? Infinity : (nowMs - lentAtMs) / 1000,
    hasOpenLoan: lending,
    borrowerCanWait: borrowerWaits,
  };
}

/** Whether the lender's team may not use more at present, so that no place would help it. */
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
