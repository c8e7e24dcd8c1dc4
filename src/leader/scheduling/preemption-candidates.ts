/** What could be stopped on a machine, and what is being stopped there already. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { Resources } from '../../jobs/types.js';
import { release, type FreeCapacity } from '../../scheduler/bin-packing.js';
import type { Victim } from '../../scheduler/preemption.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { occupiesCapacity, type Attempt } from '../../workers/attempt.js';
import type { Term } from '../term/term.js';

/** A task that may be stopped, as far as its state goes. */
export interface VictimTask extends Victim {
  job: LiveJob;
  attempt: Attempt;
  /** Seconds it takes to save, and seconds of work that are lost without. */
  saveS: number;
  unsavedS: number;
}

/** A machine, as making capacity sees it. */
export interface PreemptionCandidate {
  capacity: FreeCapacity;
  /** What is being stopped there. Together with what is free: capacity that is there or on its way. */
  stopping: Resources;
  /** Seconds until that is gone. */
  stoppedInS: number;
  victims: VictimTask[];
  /** The least important priority among the victims; -1: there are none. */
  lowestPriority: number;
}

/** A machine as preemption sees it now. */
export function preemptionCandidate(
  term: Term,
  capacity: FreeCapacity,
  subsystems: ActiveSubsystems,
): PreemptionCandidate {
  const { now } = term;
  const candidate: PreemptionCandidate = {
    capacity,
    stopping: { cores: 0, gpus: 0, memGb: 0 },
    stoppedInS: 0,
    victims: [],
    lowestPriority: -1,
  };
  for (const attempt of term.machines.get(capacity.id)!.attempts.values()) {
    if (!occupiesCapacity(attempt)) continue;
    const job = term.jobs.get(attempt.job);
    if (job === undefined) continue;
    const stoppedInS = secondsUntilStopped(job, attempt, now, subsystems);
    if (stoppedInS !== null) {
      release(job.spec, candidate.stopping);
      candidate.stoppedInS = Math.max(candidate.stoppedInS, stoppedInS);
      continue;
    }
    const { state } = attempt;
    if (state === 'claiming' || state === 'claimed' || state === 'sent') continue;
    candidate.lowestPriority = Math.max(candidate.lowestPriority, job.spec.priority);
    candidate.victims.push(victimTask(job, attempt, now));
  }
  return candidate;
}

/** Null: it was not told to stop, and is not about to be. */
function secondsUntilStopped(
  job: LiveJob,
  attempt: Attempt,
  now: number,
  subsystems: ActiveSubsystems,
): number | null {
  const { stopRequest } = attempt;
  if (stopRequest !== null) return stopRequest.at + stopRequest.graceS - now;
  return subsystems.isStopping(attempt) ? job.spec.saveS : null;
}

function victimTask(job: LiveJob, attempt: Attempt, now: number): VictimTask {
  const { spec } = job;
  const runS = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  const savesCheckpoints = spec.checkpointS > 0;
  return {
    id: `${attempt.job}/${attempt.index}#${attempt.number}`,
    group: job.isGang ? attempt.job : `${attempt.job}/${attempt.index}`,
    lossS: 0,
    saveS: savesCheckpoints ? spec.saveS : 0,
    unsavedS: savesCheckpoints ? runS % spec.checkpointS : runS,
    cores: spec.cores,
    gpus: spec.gpus,
    memGb: spec.memGb,
    job,
    attempt,
  };
}
