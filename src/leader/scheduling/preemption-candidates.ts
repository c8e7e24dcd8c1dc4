/** Tasks on a machine that may be preempted, and tasks that are being stopped there already. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import { noRoom, release, type Room } from '../../scheduler/room.js';
import type { Victim } from '../../scheduler/preemption.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { occupiesCapacity, type Attempt } from '../../workers/attempt.js';
import type { Term } from '../term/term.js';

/** A task whose state allows stopping it. */
export interface VictimTask extends Victim {
  job: LiveJob;
  attempt: Attempt;
  /** Seconds that saving takes, and seconds of work that are lost without saving. */
  saveS: number;
  unsavedS: number;
}

/** A machine on which preemption may make capacity. */
export interface PreemptionCandidate {
  capacity: FreeCapacity;
  /** Room of tasks that are being stopped, or have ended and are not forgotten yet: it will be free soon. */
  stopping: Room;
  /** Seconds until all of these tasks have stopped. */
  stoppedInS: number;
  victims: VictimTask[];
  /** The lowest priority, the largest number, among the victims; -1: there are none. */
  lowestPriority: number;
}

/** Derives the candidate from the machine's current attempts. */
export function preemptionCandidate(
  term: Term,
  capacity: FreeCapacity,
  subsystems: ActiveSubsystems,
): PreemptionCandidate {
  const { now } = term;
  const candidate: PreemptionCandidate = {
    capacity,
    stopping: noRoom(),
    stoppedInS: 0,
    victims: [],
    lowestPriority: -1,
  };
  for (const attempt of term.machines.get(capacity.id)!.attempts.values()) {
    if (!occupiesCapacity(attempt)) {
      if (attempt.state === 'ended') candidate.stopping.taskSlots++;
      continue;
    }
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

/** Null: the attempt is neither being stopped nor about to be. */
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
