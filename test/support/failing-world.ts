/** A leader whose machines carry standing replicas and fail tasks, and the users' rule on waiting jobs. */
import type { JobSpec } from '../../src/jobs/types.js';
import { specOf } from '../../src/store/stored-job.js';
import { g8 } from '../helpers.js';
import { FailingFleet } from './failing-fleet.js';
import { LeaderWorld } from './leader-world.js';

/** Longest time that a job may wait beside room once the failures are over, in seconds: the users' rule. */
export const MAX_WAIT_S = 90;
/** Times of the deployments: the shortest and the longest lease. */
export const WORKER_TIMES = [
  { report_s: 1, lease_s: 10, cancel_s: 30 },
  { report_s: 2.5, lease_s: 15.25, cancel_s: 40.25 },
];
/** The deployments' machines take this long to boot, in seconds. */
const MACHINE_TYPE = { ...g8, bootS: 25 };
const GPUS_MAX = 1000;

export type WorkerTimes = (typeof WORKER_TIMES)[number];

/** A leader, and a fleet whose tasks may fail. */
export interface FailingWorld {
  world: LeaderWorld;
  fleet: FailingFleet;
}

/** A leader with empty machines. */
export async function failingWorld(times: WorkerTimes, machines: string[]): Promise<FailingWorld> {
  const fleet = new FailingFleet(times.lease_s);
  const world = new LeaderWorld(GPUS_MAX, { fleet, workers: times, machineType: MACHINE_TYPE });
  for (const id of machines) fleet.add(id);
  await world.run(times.report_s);
  return { world, fleet };
}

/** Watches for jobs that wait beside room, from the end of all failures on. */
export class WaitingRule {
  private readonly waitingSince = new Map<string, number>();
  private readonly roomSince = new Map<string, number>();

  constructor(private readonly setup: FailingWorld) {}

  /** Jobs that have waited for too long while the same machines had room for them; called once a heartbeat. */
  brokenBy(): string[] {
    const { world } = this.setup;
    const broken: string[] = [];
    for (const job of world.term.jobs.values()) {
      const { spec } = job;
      const isWaiting = job.phase === 'active' && job.pendingTaskCount > 0;
      const waitS = this.sinceOf(this.waitingSince, spec.id, isWaiting);
      const roomS = this.sinceOf(this.roomSince, spec.id, this.hasRoom(spec, job.pendingTaskCount));
      if (Math.min(waitS, roomS) > MAX_WAIT_S) broken.push(spec.id);
    }
    return broken;
  }

  private sinceOf(since: Map<string, number>, id: string, holds: boolean): number {
    const { now } = this.setup.world;
    if (!holds) since.delete(id);
    else if (!since.has(id)) since.set(id, now);
    return holds ? now - since.get(id)! : 0;
  }

  /** Whether there is room for a task, or for all tasks of a gang. */
  private hasRoom({ kind, gpus, tasks }: JobSpec, pending: number): boolean {
    let room = 0;
    for (const worker of this.setup.fleet.workers.values()) {
      const free = MACHINE_TYPE.gpus - this.usedGpus(worker.id);
      room += Math.floor(free / gpus);
    }
    return pending > 0 && room >= (kind === 'gang' ? tasks : 1);
  }

  private usedGpus(id: string): number {
    let used = 0;
    for (const task of this.setup.fleet.worker(id).tasks.values())
      if (task.state !== 'ended')
        used += specOf(this.setup.world.replica.jobs.get(task.job)!)?.gpus ?? 0;
    return used;
  }
}
