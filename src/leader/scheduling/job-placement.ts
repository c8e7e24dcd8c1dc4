/** Placing the tasks of one job within a pass. */

import type { LiveJob } from '../../jobs/live-job.js';
import type { Waits } from '../../scheduler/service-level-objectives.js';
import {
  bestFit,
  freeShare,
  placeGang,
  take,
  type FreeCapacity,
  type Weights,
  type Where,
} from '../../scheduler/bin-packing.js';
import { makeAttempt } from '../../workers/attempt.js';
import type { Machine } from '../../workers/machine.js';
import { COMMAND_S, type Evictions } from './preemptor.js';
import { besideLongWork, type SharedUse } from './long-work-share.js';
import type { MachineEligibility } from './machine-eligibility.js';
import { zonesOf, type JobOutcome, type PassContext } from './cycle-context.js';
import type { Term } from '../term/term.js';

/** A job that has failed on so many machines and never succeeded is doubted, not the machines. */
const SUSPECT_MACHINES = 3;

/** Where tasks of a job are looked for; `where.zones` grows with each that is placed. */
interface Search {
  job: LiveJob;
  where: Where & { may: SharedUse['may'] };
  weights: Weights;
  evictions: Evictions;
  /** Within so many seconds a task should run; null: whenever it does. */
  leftS: number | null;
}

/** A machine; none, since the task fits nowhere; or room that is being made for it. */
type Found = FreeCapacity | 'none' | 'being made';

/** Places jobs' tasks: what it finds for them becomes claims on machines. */
export class JobPlacement {
  constructor(
    private readonly term: Term,
    private readonly eligibility: MachineEligibility,
    private readonly waits: Waits,
  ) {}

  /** Places what fits of a job, at most `most` tasks; a gang as a whole, whatever its size. */
  place(job: LiveJob, pass: PassContext, most: number): JobOutcome {
    return job.gang ? this.placeGang(job, pass) : this.placeTasks(job, pass, most);
  }

  private placeGang(job: LiveJob, pass: PassContext): JobOutcome {
    const { spec } = job;
    const { rooms, usages, weights } = pass;
    if (job.holdingCount > 0) return { placed: 0, short: 0 };
    if (job.pending(pass.now, spec.tasks).length < spec.tasks) return { placed: 0, short: 0 };
    if (!usages.allows(spec, spec.tasks)) return { placed: 0, short: 0 };
    const { may } = besideLongWork(job, pass, this.eligibility.mayUse(job));
    const chosen = placeGang(spec, rooms, { zones: zonesOf(this.term, job), may }, weights);
    if (chosen === null) return { placed: 0, short: spec.tasks };
    const number = job.nextGangNumber(this.term.context.token);
    chosen.forEach((room, i) => this.claim(job, i, number, room));
    usages.add(spec, spec.tasks);
    return { placed: spec.tasks, short: 0 };
  }

  private placeTasks(job: LiveJob, pass: PassContext, most: number): JobOutcome {
    const suspect = this.isSuspect(job);
    const indexes = this.startable(job, pass, most, suspect);
    if (indexes.length === 0) return { placed: 0, short: 0 };
    if (pass.unplaced.covers(job)) return { placed: 0, short: indexes.length };
    const { may, taken } = besideLongWork(job, pass, this.eligibility.mayUse(job));
    const search = this.search(job, pass, may, suspect);
    let made = 0;
    let placed = 0;
    for (const index of indexes) {
      const room = this.find(search, pass.rooms);
      if (room === 'none') break;
      if (room === 'being made') {
        made++;
        continue;
      }
      this.placeTask(search, index, room);
      taken(room);
      pass.usages.add(job.spec, 1);
      placed++;
    }
    return { placed, short: suspect ? 0 : indexes.length - placed - made };
  }

  /** Tasks that may start now. Of a job that is doubted one at a time is tried. */
  private startable(job: LiveJob, pass: PassContext, most: number, suspect: boolean): number[] {
    const allowed = Math.min(pass.usages.room(job.spec), most);
    const tried = suspect ? Math.min(allowed, 1 - job.holdingCount) : allowed;
    return job.pending(pass.now, Math.max(0, tried));
  }

  private search(job: LiveJob, pass: PassContext, may: SharedUse['may'], suspect: boolean): Search {
    const { spec } = job;
    const { weights, evictions } = pass;
    return {
      job,
      where: { zones: zonesOf(this.term, job), avoid: suspect ? job.failedOn : undefined, may },
      // A hole on an ordinary machine costs nothing: for best-effort work it is as good as spot.
      weights: spec.priority < 3 ? weights : { ...weights, ordinaryS: 0 },
      evictions,
      leftS: spec.priority === 3 || suspect ? null : this.leftS(job, pass.now),
    };
  }

  /** Seconds within which a task should be told to start; null: its class has no objective left. */
  private leftS(job: LiveJob, now: number): number | null {
    const ageS = now - job.readySince;
    const within = this.waits.next(job.spec.class, ageS);
    return within === null ? null : within - ageS - COMMAND_S;
  }

  private find(search: Search, rooms: FreeCapacity[]): Found {
    const { job, where, weights, evictions } = search;
    const room = bestFit(job.spec, rooms, where, weights);
    if (room === null) return 'none';
    if (!this.isLate(search, room)) return room;
    // Too late there, because the image has to be fetched. Better where it is, whatever others
    // may want of that place, or where lesser work can make room in time.
    const may = (capacity: FreeCapacity): boolean =>
      where.may(capacity) && !this.isLate(search, capacity);
    const inTime = bestFit(job.spec, rooms, { ...where, may }, weights);
    if (inTime !== null) return inTime;
    return evictions.make(job, 1, where.zones, where.may, true) === 0 ? 'being made' : room;
  }

  private isLate({ job: { spec }, leftS }: Search, room: FreeCapacity): boolean {
    if (leftS === null) return false;
    return room.imageWaitS(spec.image, spec.imageGb) * this.term.fetchTimes.sure > leftS;
  }

  private placeTask({ job, where }: Search, index: number, room: FreeCapacity): void {
    const before = freeShare(room);
    take(job.spec, room);
    this.eligibility.noteTaken(room, before);
    where.zones.set(room.zone, (where.zones.get(room.zone) ?? 0) + 1);
    this.claimTask(job, index, room);
  }

  /** Whether the job, rather than the machines, is doubted: its tasks fail wherever they start. */
  private isSuspect(job: LiveJob): boolean {
    if (job.succeeded || job.failedOn.size < SUSPECT_MACHINES) return false;
    const { lease_s } = this.term.context.settings.workers;
    for (const attempt of job.holding()) {
      if (attempt.startedAt !== null) job.noteRun(this.term.now - attempt.startedAt, lease_s);
    }
    return !job.succeeded;
  }

  /** A claim under the task's next number. */
  claimTask(job: LiveJob, index: number, room: FreeCapacity): void {
    this.claim(job, index, job.nextNumber(index, this.term.context.token), room);
  }

  private claim(job: LiveJob, index: number, number: number, room: FreeCapacity): void {
    const { term } = this;
    const { spec } = job;
    const machine = term.machines.get(room.id)!;
    this.logPlaced(job, index, machine, room);
    const attempt = makeAttempt(spec.id, index, number, machine.id, 'claiming', term.now);
    const fetchS = room.imageWaitS(spec.image, spec.imageGb);
    if (fetchS === room.fetchS(spec.imageGb)) attempt.predictedFetchS = fetchS;
    machine.addClaim(attempt);
    this.eligibility.noteClaimed(machine);
    job.claimed(attempt);
    term.machinesToWrite.add(machine.id);
  }

  private logPlaced(job: LiveJob, index: number, machine: Machine, room: FreeCapacity): void {
    const { log } = this.term.context;
    if (!log.isLevelEnabled('debug')) return;
    log.debug(
      {
        job: job.spec.id,
        index,
        class: job.spec.class,
        machine: machine.id,
        imageWaitS: room.imageWaitS(job.spec.image, job.spec.imageGb),
        ageS: this.term.now - job.readySince,
      },
      'placed',
    );
  }
}
