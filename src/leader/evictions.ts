import type { LiveJob } from '../jobs/live.js';
import { fits, type Size } from '../jobs/types.js';
import { allowed, putBack, take, zoneAllowed, type FreeCapacity } from '../scheduler/place.js';
import { haste, type Haste, type Waits } from '../scheduler/objectives.js';
import { cheapestEviction, type Occupied, type Victim } from '../scheduler/preempt.js';
import type { Usages } from '../scheduler/quota.js';
import { CHANGE_GAP_S } from '../wire/workers.js';
import { holds, type Attempt } from '../workers/attempt.js';
import type { Term } from './term.js';

interface Held extends Victim {
  job: LiveJob;
  attempt: Attempt;
  /** Seconds it takes to save, and seconds of work that are lost without. */
  saveS: number;
  unsavedS: number;
}

interface Slot {
  room: FreeCapacity;
  /** What is being stopped there. Together with what is free: room that is there or on its way. */
  freeing: Size;
  /** Seconds until that is gone. */
  freeingS: number;
  victims: Held[];
  /** The least important priority among the victims; -1: there are none. */
  least: number;
}

interface Open extends Occupied {
  slot: Slot;
  waitS: number;
  /** How its victims are stopped. */
  how: Haste;
  victims: Held[];
}

/** Sets work of one priority apart from that of the next, whatever it loses. */
const TIER = 1e6;
/** A start that is late for its class counts as so many seconds, whatever its wait. */
const LATE_S = 1e3;
/** What commands and starts take: they are sent straight, and shown by a report of the change. */
export const COMMAND_S = CHANGE_GAP_S * 0.6;

/** Making room within one pass, by the protocol's rules on preemption. */
export class Evictions {
  private slots: Slot[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly rooms: FreeCapacity[],
    private readonly usages: Usages,
    private readonly waits: Waits,
  ) {}

  private slot(room: FreeCapacity): Slot {
    const now = this.term.now;
    const m = this.term.machines.get(room.id)!;
    const o: Slot = {
      room,
      freeing: { cores: 0, gpus: 0, memGb: 0 },
      freeingS: 0,
      victims: [],
      least: -1,
    };
    for (const a of m.attempts.values()) {
      if (!holds(a)) continue;
      const job = this.term.jobs.get(a.job);
      if (job === undefined) continue;
      const s = job.spec;
      if (a.stop !== null) {
        putBack(s, o.freeing);
        o.freeingS = Math.max(o.freeingS, a.stop.at + a.stop.graceS - now);
        continue;
      }
      if (a.state === 'claiming' || a.state === 'claimed' || a.state === 'sent') continue;
      const ran = a.startedAt === null ? 0 : now - a.startedAt;
      const saves = s.checkpointS > 0;
      o.least = Math.max(o.least, s.priority);
      o.victims.push({
        id: `${a.job}/${a.index}#${a.number}`,
        group: job.gang ? a.job : `${a.job}/${a.index}`,
        lossS: 0,
        saveS: saves ? s.saveS : 0,
        unsavedS: saves ? ran % s.checkpointS : ran,
        cores: s.cores,
        gpus: s.gpus,
        memGb: s.memGb,
        job,
        attempt: a,
      });
    }
    return o;
  }

  /** What stopping a task costs. Lesser work first; within it what loses least. */
  private priced(v: Held, how: Haste): Held {
    const { job } = v;
    const saves = job.spec.checkpointS > 0 && how !== 'swift';
    const lossS = (saves ? v.saveS : v.unsavedS) * (job.gang ? job.spec.tasks : 1);
    return { ...v, lossS: lossS + (3 - job.spec.priority) * TIER };
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
    this.slots ??= this.rooms.map((r) => this.slot(r));
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
      const may = slot.least > from ? slot.victims.filter((v) => this.mayEvict(job, v.job)) : [];
      const imageS = room.imageWaitS(spec.image, spec.imageGb) * this.term.fetches.sure;
      const saveS = may.reduce((most, v) => Math.max(most, v.saveS), 0);
      const how = haste(leftS, saveS, imageS + slot.freeingS);
      if (inTime && how === 'late') continue;
      const victims = may.map((v) => this.priced(v, how));
      const waitS = imageS + (how === 'late' ? LATE_S : 0);
      const cores = room.cores + freeing.cores;
      const gpus = room.gpus + freeing.gpus;
      const memGb = room.memGb + freeing.memGb;
      if (victims.length === 0 && !fits(spec, { cores, gpus, memGb })) continue;
      open.push({ id, type, zone, spot, cores, gpus, memGb, slot, victims, waitS, how });
    }
    const chosen: { o: Open; victims: Held[] }[] = [];
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
        const victims = e.victims as Held[];
        chosen.push({ o, victims });
        for (const v of victims) {
          putBack(v, o);
          o.victims.splice(o.victims.indexOf(v), 1);
        }
      }
      take(spec, o);
      zones.set(o.zone, (zones.get(o.zone) ?? 0) + 1);
      got.push(o);
    }
    const { log } = this.term.deps;
    if (log.isLevelEnabled('debug')) {
      const stopped = chosen.flatMap((c) => c.victims.map((v) => v.id));
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
      for (const v of victims) {
        if (o.how === 'swift') this.term.stopTaskNow(v.job, v.attempt);
        else this.term.stopTask(v.job, v.attempt);
        putBack(v, o.slot.freeing);
      }
      const gone = new Set(victims.map((v) => v.id));
      o.slot.victims = o.slot.victims.filter((v) => !gone.has(v.id));
    }
    // A gang of several was once passed over for a minute and more: as soon as one of its places was
    // free, lesser work took it, while the others were still being made.
    for (const o of got) take(spec, o.slot.room);
    return tasks - got.length;
  }
}
