import type { LiveJob } from '../jobs/live.js';
import { fits } from '../jobs/types.js';
import { allowed, zoneAllowed, type Room } from '../sched/place.js';
import { cheapestEviction, type Occupied, type Victim } from '../sched/preempt.js';
import type { Usages } from '../sched/quota.js';
import { holds, type Attempt } from '../workers/attempt.js';
import type { Term } from './term.js';

interface Held extends Victim {
  job: LiveJob;
  attempt: Attempt;
}

interface Slot extends Occupied {
  room: Room;
  victims: Held[];
  /** The least important priority among the victims; -1: there are none. */
  least: number;
}

/** Making room within one pass, by the protocol's rules on preemption. */
export class Evictions {
  private slots: Slot[] | null = null;

  constructor(
    private readonly term: Term,
    private readonly rooms: Room[],
    private readonly usages: Usages,
  ) {}

  /** Machines with what may be stopped on them. What is being stopped already counts as free. */
  private slot(room: Room): Slot {
    const now = this.term.now;
    const m = this.term.machines.get(room.id)!;
    const { id, type, zone, spot, cores, gpus, memGb } = room;
    const o: Slot = { id, type, zone, spot, cores, gpus, memGb, room, victims: [], least: -1 };
    for (const a of m.attempts.values()) {
      if (!holds(a)) continue;
      const job = this.term.jobs.get(a.job);
      if (job === undefined) continue;
      const s = job.spec;
      if (a.stop !== null) {
        o.cores += s.cores;
        o.gpus += s.gpus;
        o.memGb += s.memGb;
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

  /** Makes room where that is allowed. Returns the tasks for which none could be made. */
  make(
    job: LiveJob,
    tasks: number,
    zones: Map<string, number>,
    may: (room: Room) => boolean,
  ): number {
    this.slots ??= this.rooms.map((r) => this.slot(r));
    const spec = job.spec;
    const from = spec.priority - (job.guaranteed ? 1 : 0);
    const open = this.slots
      .filter((o) => allowed(spec, o) && may(o.room))
      .map((o) => ({
        ...o,
        slot: o,
        // Most machines hold nothing that may be stopped: no need to look at each task there.
        victims: o.least > from ? o.victims.filter((v) => this.mayEvict(job, v.job)) : [],
      }));
    const chosen: { o: (typeof open)[number]; victims: Held[] }[] = [];
    let left = tasks;
    while (left > 0) {
      // Room that is being made already comes first.
      let o = open.find((x) => fits(spec, x) && zoneAllowed(spec, x.zone, zones));
      if (o === undefined) {
        const e = cheapestEviction(spec, open, zones);
        if (e === null) break;
        o = open.find((x) => x.id === e.machine)!;
        const victims = e.victims as Held[];
        chosen.push({ o, victims });
        for (const v of victims) {
          o.cores += v.cores;
          o.gpus += v.gpus;
          o.memGb += v.memGb;
          o.victims.splice(o.victims.indexOf(v), 1);
        }
      }
      o.cores -= spec.cores;
      o.gpus -= spec.gpus;
      o.memGb -= spec.memGb;
      zones.set(o.zone, (zones.get(o.zone) ?? 0) + 1);
      left--;
    }
    // A gang gains nothing from room for some of its tasks.
    if (job.gang && left > 0) return tasks;
    for (const { o, victims } of chosen) {
      for (const v of victims) this.term.stopTask(v.job, v.attempt);
      const gone = new Set(victims);
      o.slot.victims = o.slot.victims.filter((v) => !gone.has(v));
    }
    for (const o of open) {
      o.slot.cores = o.cores;
      o.slot.gpus = o.gpus;
      o.slot.memGb = o.memGb;
    }
    return left;
  }
}
