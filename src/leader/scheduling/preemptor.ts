import type { LiveJob } from '../../jobs/live-job.js';
import { fits } from '../../jobs/types.js';
import {
  allowed,
  putBack,
  take,
  zoneAllowed,
  type FreeCapacity,
} from '../../scheduler/bin-packing.js';
import { haste, type Haste, type Waits } from '../../scheduler/service-level-objectives.js';
import { cheapestEviction, type Occupied } from '../../scheduler/preemption.js';
import type { Usages } from '../../scheduler/quota.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import { MIN_HEARTBEAT_GAP_S } from '../../wire/workers.js';
import { occupiesCapacity } from '../../workers/attempt.js';
import { evictionSlot, type EvictionSlot, type HeldVictim } from './preemption-candidates.js';
import type { Term } from '../term/term.js';

interface Open extends Occupied {
  slot: EvictionSlot;
  waitS: number;
  /** How its victims are stopped. */
  how: Haste;
  victims: HeldVictim[];
}

/** Sets work of one priority apart from that of the next, whatever it loses. */
const TIER = 1e6;
/** A start that is late for its class counts as so many seconds, whatever its wait. */
const LATE_S = 1e3;
/** What the greatest harm that subsystems see counts for: less than a late start. */
const HARM_S = LATE_S * 0.5;
/** What commands and starts take: they are sent straight, and shown by a report of the change. */
export const COMMAND_S = MIN_HEARTBEAT_GAP_S * 0.6;

/** Making room within one pass, by the protocol's rules on preemption. */
export class Evictions {
  private slots: EvictionSlot[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly rooms: FreeCapacity[],
    private readonly usages: Usages,
    private readonly waits: Waits,
    private readonly subsystems: ActiveSubsystems = NO_SUBSYSTEMS,
  ) {}

  /** What stopping a task costs. Lesser work first; within it what loses least. */
  private priced(borrower: LiveJob, victim: HeldVictim, how: Haste): HeldVictim {
    const { job } = victim;
    const saves = job.spec.checkpointS > 0 && how !== 'swift';
    const lossS = (saves ? victim.saveS : victim.unsavedS) * (job.gang ? job.spec.tasks : 1);
    const harmS = this.subsystems.evictionHarm(borrower, victim, how !== 'swift') * HARM_S;
    return { ...victim, lossS: lossS + harmS + (3 - job.spec.priority) * TIER };
  }

  private mayEvict(job: LiveJob, victim: LiveJob): boolean {
    if (victim === job) return false;
    if (victim.spec.kind === 'service' && victim.spec.priority <= job.spec.priority) return false;
    if (victim.spec.priority > job.spec.priority) return true;
    // To give a team its guarantee, work that another team runs beyond its own may be stopped. Not
    // that of a higher priority, though the protocol allows it: ranked before, it would come back to
    // the same place at once, and so on.
    return (
      victim.spec.priority === job.spec.priority &&
      job.guaranteed &&
      victim.spec.team !== job.spec.team &&
      !victim.guaranteed &&
      !this.usages.withinGuarantee(victim.spec.team)
    );
  }

  /**
   * Makes room where that is allowed, and takes it out of the rooms, so that nothing that ranks lower
   * takes it while it is being made. Returns the tasks for which none could be made.
   */
  make(
    job: LiveJob,
    tasks: number,
    zones: Map<string, number>,
    mayUse: (room: FreeCapacity) => boolean,
    /** Only where the tasks start in time. */
    inTime = false,
  ): number {
    this.slots ??= this.rooms.map((room) => evictionSlot(this.term, room, this.subsystems));
    const spec = job.spec;
    const from = spec.priority - (job.guaranteed ? 1 : 0);
    const ageS = this.term.now - job.readySince;
    const within = this.waits.next(spec.class, ageS);
    const leftS = within === null ? null : within - ageS - COMMAND_S;
    const open: Open[] = [];
    for (const slot of this.slots) {
      const { room, freeing } = slot;
      if (!allowed(spec, room) || !mayUse(room)) continue;
      const { id, type, zone, spot } = room;
      // Most machines hold nothing that may be stopped: no need to look at each task there.
      const may =
        slot.least > from ? slot.victims.filter((victim) => this.mayEvict(job, victim.job)) : [];
      const imageS = room.imageWaitS(spec.image, spec.imageGb) * this.term.fetchTimes.sure;
      const saveS = may.reduce((most, victim) => Math.max(most, victim.saveS), 0);
      const how = haste(leftS, saveS, imageS + slot.freeingS);
      if (inTime && how === 'late') continue;
      const victims = may.map((victim) => this.priced(job, victim, how));
      const waitS = imageS + (how === 'late' ? LATE_S : 0);
      const cores = room.cores + freeing.cores;
      const gpus = room.gpus + freeing.gpus;
      const memGb = room.memGb + freeing.memGb;
      if (victims.length === 0 && !fits(spec, { cores, gpus, memGb })) continue;
      open.push({ id, type, zone, spot, cores, gpus, memGb, slot, victims, waitS, how });
    }
    const chosen: { o: Open; victims: HeldVictim[] }[] = [];
    const got: Open[] = [];
    while (got.length < tasks) {
      // Room that is being made already comes first.
      let o: Open | undefined;
      for (const x of open) {
        if (!fits(spec, x) || !zoneAllowed(spec, x.zone, zones)) continue;
        if (o === undefined || x.waitS < o.waitS) o = x;
      }
      if (o === undefined) {
        const e = cheapestEviction(spec, open, zones);
        if (e === null) break;
        o = open.find((x) => x.id === e.machine)!;
        const victims = e.victims as HeldVictim[];
        chosen.push({ o, victims });
        for (const victim of victims) {
          putBack(victim, o);
          o.victims.splice(o.victims.indexOf(victim), 1);
        }
      }
      take(spec, o);
      zones.set(o.zone, (zones.get(o.zone) ?? 0) + 1);
      got.push(o);
    }
    const { log } = this.term.context;
    if (log.isLevelEnabled('debug')) {
      const stopped = chosen.flatMap((c) => c.victims.map((victim) => victim.id));
      const how = [...new Set(got.map((o) => o.how))];
      const { id, class: cls } = spec;
      log.debug(
        { job: id, class: cls, tasks, got: got.length, stopped, how, inTime, ageS },
        'room is made',
      );
    }
    // A gang gains nothing from room for some of its tasks.
    if (job.gang && got.length < tasks) return tasks;
    for (const { o, victims } of chosen) {
      const saves = o.how !== 'swift';
      const carryOut = (): boolean => this.carryOut(job, victims, saves);
      this.subsystems.evict({ machine: o.id, borrower: job, victims, saves, carryOut });
      for (const victim of victims) putBack(victim, o.slot.freeing);
      const gone = new Set(victims.map((victim) => victim.id));
      o.slot.victims = o.slot.victims.filter((victim) => !gone.has(victim.id));
    }
    // A gang of several was once passed over for a minute and more: as soon as one of its places was
    // free, lesser work took it, while the others were still being made.
    for (const o of got) take(spec, o.slot.room);
    return tasks - got.length;
  }

  /** Stops what is still there, unless the job that wanted the room is over or has a place by now. */
  private carryOut(borrower: LiveJob, victims: readonly HeldVictim[], saves: boolean): boolean {
    if (borrower.phase !== 'open' || borrower.pendingCount === 0) return false;
    for (const { job, attempt } of victims) {
      // Stopping one task of a gang stops all that it runs by now: not for a task that is gone.
      if (!occupiesCapacity(attempt) || attempt.stopRequest !== null) continue;
      if (saves) this.term.stopGracefully(job, attempt);
      else this.term.stopImmediately(job, attempt);
    }
    return true;
  }
}
