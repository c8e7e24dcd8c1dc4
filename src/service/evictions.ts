import type { LiveJob } from '../jobs/live.js';
import { fits, type Size } from '../jobs/types.js';
import { allowed, putBack, take, zoneAllowed, type Room } from '../sched/place.js';
import { cheapestEviction, type Occupied, type Victim } from '../sched/preempt.js';
import type { Usages } from '../sched/quota.js';
import { holds, type Attempt } from '../workers/attempt.js';
import type { Term } from './term.js';

interface Held extends Victim {
  job: LiveJob;
  attempt: Attempt;
}

interface Slot {
  room: Room;
  /** What is being stopped there. Together with what is free: room that is there or on its way. */
  freeing: Size;
  victims: Held[];
  /** The least important priority among the victims; -1: there are none. */
  least: number;
}

interface Open extends Occupied {
  slot: Slot;
  victims: Held[];
}

/** Making room within one pass, by the protocol's rules on preemption. */
export class Evictions {
  private slots: Slot[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly rooms: Room[],
    private readonly usages: Usages,
  ) {}

  private slot(room: Room): Slot {
    const now = this.term.now;
    const m = this.term.machines.get(room.id)!;
    const o: Slot = { room, freeing: { cores: 0, gpus: 0, memGb: 0 }, victims: [], least: -1 };
    for (const a of m.attempts.values()) {
      if (!holds(a)) continue;
      const job = this.term.jobs.get(a.job);
      if (job === undefined) continue;
      const s = job.spec;
      if (a.stop !== null) {
        putBack(s, o.freeing);
        continue;
      }
      if (a.state === 'claiming' || a.state === 'claimed' || a.state === 'sent') continue;
      const ran = a.startedAt === null ? 0 : now - a.startedAt;
      const lossS = s.checkpointS > 0 ? s.saveS : ran;
      o.least = Math.max(o.least, s.priority);
      o.victims.push({
        id: `${a.job}/${a.index}#${a.number}`,
        group: job.gang ? a.job : `${a.job}/${a.index}`,
        // Lesser work first; within it what loses least.
        lossS: lossS * (job.gang ? s.tasks : 1) + (3 - s.priority) * 1e6,
        cores: s.cores,
        gpus: s.gpus,
        memGb: s.memGb,
        job,
        attempt: a,
      });
    }
    return o;
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
    may: (room: Room) => boolean,
  ): number {
    this.slots ??= this.rooms.map((r) => this.slot(r));
    const spec = job.spec;
    const from = spec.priority - (job.guaranteed ? 1 : 0);
    const open: Open[] = [];
    for (const slot of this.slots) {
      const { room, freeing } = slot;
      if (!allowed(spec, room) || !may(room)) continue;
      const { id, type, zone, spot } = room;
      // Most machines hold nothing that may be stopped: no need to look at each task there.
      const victims =
        slot.least > from ? slot.victims.filter((v) => this.mayEvict(job, v.job)) : [];
      const cores = room.cores + freeing.cores;
      const gpus = room.gpus + freeing.gpus;
      const memGb = room.memGb + freeing.memGb;
      if (victims.length === 0 && !fits(spec, { cores, gpus, memGb })) continue;
      open.push({ id, type, zone, spot, cores, gpus, memGb, slot, victims });
    }
    const chosen: { o: Open; victims: Held[] }[] = [];
    const got: Open[] = [];
    while (got.length < tasks) {
      // Room that is being made already comes first.
      let o = open.find((x) => fits(spec, x) && zoneAllowed(spec, x.zone, zones));
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
    // A gang gains nothing from room for some of its tasks.
    if (job.gang && got.length < tasks) return tasks;
    for (const { o, victims } of chosen) {
      for (const v of victims) {
        this.term.stopTask(v.job, v.attempt);
        putBack(v, o.slot.freeing);
      }
      const gone = new Set(victims);
      o.slot.victims = o.slot.victims.filter((v) => !gone.has(v));
    }
    // A gang of several was once passed over for a minute and more: as soon as one of its places was
    // free, lesser work took it, while the others were still being made.
    for (const o of got) take(spec, o.slot.room);
    return tasks - got.length;
  }
}
