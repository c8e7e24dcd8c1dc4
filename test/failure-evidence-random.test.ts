/**
 * Random faults of machines and jobs with mistakes, reproducible by seed, beside sound jobs, cancellations and changes of
 * leader. Guards against combinations after which a job waits although a machine has room for it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobKind } from '../src/jobs/types.js';
import {
  failingWorld,
  MAX_WAIT_S,
  WaitingRule,
  WORKER_TIMES,
  type FailingWorld,
  type WorkerTimes,
} from './support/failing-world.js';
import { randomFrom } from './support/seeded-random.js';

/** `SEEDS=first-last` replaces the seeds for a long run by hand. */
const [FIRST_SEED = 1, LAST_SEED = 40] = (process.env.SEEDS ?? '')
  .split('-')
  .filter(Boolean)
  .map(Number);
const MACHINES = [...'abcdefgh'];
/** How long failures begin, in leases; the rule is watched for two of its times after them. */
const TROUBLES_LEASES = 40;
/** Chances for each heartbeat interval. */
const CHANCES = { job: 0.1, mistake: 0.02, cancellation: 0.02, fault: 0.02, failOver: 0.003 };
const KINDS: JobKind[] = ['array', 'array', 'service', 'gang'];

class Simulation {
  private readonly faultyUntil = new Map<string, number>();
  private readonly mistaken: string[] = [];
  private readonly open: string[] = [];
  private submitted = 0;

  constructor(
    private readonly setup: FailingWorld,
    private readonly times: WorkerTimes,
    private readonly random: () => number,
  ) {}

  private between(low: number, high: number): number {
    return low + this.random() * (high - low);
  }

  private pick<T>(from: readonly T[]): T {
    return from[Math.floor(this.random() * from.length)]!;
  }

  /** Half of the machines get a replica that stays. */
  async fill(): Promise<void> {
    const tasks = MACHINES.length / 2;
    this.setup.world.submitJob({
      id: this.nextId(), kind: 'service', tasks, gpus: 5, cores: 1, priority: 0,
    }); // prettier-ignore
    await this.setup.world.run(this.times.report_s * 3);
  }

  private nextId(): string {
    return `wk-${100_000 + this.submitted++}`;
  }

  private submit(): string {
    const id = this.nextId();
    const kind = this.pick(KINDS);
    const priority = this.pick([0, 1, 2, 3] as const);
    const size = { tasks: this.pick([1, 1, 2, 3, 5]), gpus: this.pick([1, 1, 2]) };
    if (kind !== 'service')
      this.setup.fleet.runS.set(id, this.times.lease_s * this.between(0.2, 4));
    this.setup.world.submitJob({ id, kind, priority, ...size });
    return id;
  }

  private cancel(id: string): void {
    this.setup.world.cancelNotedByLeader(id);
  }

  /** What happens within a heartbeat interval. */
  step(): void {
    const { world, fleet } = this.setup;
    const { lease_s } = this.times;
    if (this.random() < CHANCES.job) this.open.push(this.submit());
    if (this.random() < CHANCES.mistake) {
      const id = this.submit();
      fleet.failsAfterS.set(id, lease_s * this.pick([0, 0.5, 1.2, this.between(0, 5)]));
      fleet.runS.delete(id);
      this.mistaken.push(id);
    }
    if (this.random() < CHANCES.cancellation && this.open.length > 0)
      this.cancel(this.open.splice(Math.floor(this.random() * this.open.length), 1)[0]!);
    if (this.random() < CHANCES.fault) {
      const id = this.pick(MACHINES);
      fleet.worker(id).failsAfterS = this.pick([0, 0.3, lease_s * this.random() * 2]);
      this.faultyUntil.set(id, world.now + lease_s * this.pick([0.3, 2, 15]));
    }
    for (const [id, until] of this.faultyUntil)
      if (world.now >= until) fleet.worker(id).failsAfterS = null;
    if (this.random() < CHANCES.failOver) world.failOver();
  }

  /** Jobs with mistakes are cancelled, and every machine works. */
  endTroubles(): void {
    for (const id of this.mistaken) this.cancel(id);
    for (const id of MACHINES) this.setup.fleet.worker(id).endFaults();
  }
}

async function simulate(seed: number): Promise<void> {
  const times = WORKER_TIMES[seed % WORKER_TIMES.length]!;
  const setup = await failingWorld(times, MACHINES);
  const { world, fleet } = setup;
  const simulation = new Simulation(setup, times, randomFrom(seed));
  await simulation.fill();
  const troublesEndAt = world.now + times.lease_s * TROUBLES_LEASES;
  while (world.now < troublesEndAt) {
    simulation.step();
    await world.run(times.report_s);
  }
  simulation.endTroubles();
  const rule = new WaitingRule(setup);
  for (const endAt = world.now + MAX_WAIT_S * 2; world.now < endAt;) {
    await world.run(times.report_s);
    assert.deepEqual(rule.brokenBy(), [], `seed ${seed}, lease ${times.lease_s} s, ${world.now} s`);
  }
  assert.deepEqual(fleet.violations, [], `seed ${seed}`);
}

test('after random faults and mistakes no job waits for 90 s beside room', async () => {
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) await simulate(seed);
});

/** A gang's reservation keeps room that the gang cannot use. */
const KEPT_FOR_GANG_SEED = 170;
/** The preemptor allocates free room to a job that the share for long work keeps from it. */
const KEPT_FOR_LONG_WORK_SEED = 529;

test('a waiting gang keeps no small job from room that it cannot use itself', async () => {
  await simulate(KEPT_FOR_GANG_SEED);
});

test('a job that the share for long work holds back keeps no room from other jobs', async () => {
  await simulate(KEPT_FOR_LONG_WORK_SEED);
});
