/** What could be stopped on a machine, and what is being stopped there already. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { Size } from '../../jobs/types.js';
import { putBack, type FreeCapacity } from '../../scheduler/bin-packing.js';
import type { Victim } from '../../scheduler/preemption.js';
import type { ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { occupiesCapacity, type Attempt } from '../../workers/attempt.js';
import type { Term } from '../term/term.js';

/** A task that may be stopped, as far as its state goes. */
export interface HeldVictim extends Victim {
  job: LiveJob;
  attempt: Attempt;
  /** Seconds it takes to save, and seconds of work that are lost without. */
  saveS: number;
  unsavedS: number;
}

/** A machine, as making room sees it. */
export interface EvictionSlot {
  room: FreeCapacity;
  /** What is being stopped there. Together with what is free: room that is there or on its way. */
  freeing: Size;
  /** Seconds until that is gone. */
  freeingS: number;
  victims: HeldVictim[];
  /** The least important priority among the victims; -1: there are none. */
  least: number;
}

export function evictionSlot(
  term: Term,
  room: FreeCapacity,
  subsystems: ActiveSubsystems,
): EvictionSlot {
  const { now } = term;
  const slot: EvictionSlot = {
    room,
    freeing: { cores: 0, gpus: 0, memGb: 0 },
    freeingS: 0,
    victims: [],
    least: -1,
  };
  for (const attempt of term.machines.get(room.id)!.attempts.values()) {
    if (!occupiesCapacity(attempt)) continue;
    const job = term.jobs.get(attempt.job);
    if (job === undefined) continue;
    const goneS = secondsUntilGone(job, attempt, now, subsystems);
    if (goneS !== null) {
      putBack(job.spec, slot.freeing);
      slot.freeingS = Math.max(slot.freeingS, goneS);
      continue;
    }
    const { state } = attempt;
    if (state === 'claiming' || state === 'claimed' || state === 'sent') continue;
    slot.least = Math.max(slot.least, job.spec.priority);
    slot.victims.push(heldVictim(job, attempt, now));
  }
  return slot;
}

/** Null: it was not told to stop, and is not about to be. */
function secondsUntilGone(
  job: LiveJob,
  attempt: Attempt,
  now: number,
  subsystems: ActiveSubsystems,
): number | null {
  const { stopRequest } = attempt;
  if (stopRequest !== null) return stopRequest.at + stopRequest.graceS - now;
  return subsystems.isLeaving(attempt) ? job.spec.saveS : null;
}

function heldVictim(job: LiveJob, attempt: Attempt, now: number): HeldVictim {
  const { spec } = job;
  const ranS = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  const saves = spec.checkpointS > 0;
  return {
    id: `${attempt.job}/${attempt.index}#${attempt.number}`,
    group: job.gang ? attempt.job : `${attempt.job}/${attempt.index}`,
    lossS: 0,
    saveS: saves ? spec.saveS : 0,
    unsavedS: saves ? ranS % spec.checkpointS : ranS,
    cores: spec.cores,
    gpus: spec.gpus,
    memGb: spec.memGb,
    job,
    attempt,
  };
}
