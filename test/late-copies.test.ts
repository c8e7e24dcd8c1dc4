/** Copies of direct commands that were carried out and answered, and that reach their machine once more. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../src/jobs/types.js';
import { ControlPlaneWorld, INCIDENT_TIMES } from './support/control-plane-world.js';
import { HeartbeatLoop } from './support/heartbeat-loop.js';
import type { Worker } from './support/simulated-fleet.js';

const JOB = 'wk-000001';
const URGENT_JOB = 'wk-000002';
const WHOLE_MACHINE: Partial<JobSpec> = { tasks: 1, gpus: 8, cores: 8 };

/** A world whose starts are sent directly: n-2 leads, and each start follows its claim at once. */
class LateCopiesWorld extends ControlPlaneWorld {
  constructor() {
    super(INCIDENT_TIMES);
    for (const { node } of this.controllers) this.controller(node).isCandidate = node === 'n-2';
  }

  /** Adds a machine that sends heartbeats. */
  async addMachine(id: string): Promise<Worker> {
    const worker = this.fleet.add(id);
    this.heartbeatLoops.push(new HeartbeatLoop(this, worker, { reportsNewToken: true }));
    await this.pass(2);
    return worker;
  }

  /** Advances time by some heartbeat intervals. */
  async pass(heartbeats: number): Promise<void> {
    await this.runUntil(this.now + heartbeats * this.times.reportS);
  }

  /** The machine on which the only task of a job runs. */
  machineOf(job: string): Worker | undefined {
    return [...this.fleet.workers.values()].find((worker) => worker.running(job).length > 0);
  }
}

/** What becomes of a task whose start was carried out and answered. */
const ENDS: Record<string, (world: LateCopiesWorld, first: Worker) => Promise<void>> = {
  'moved to another machine': async (world, first) => {
    world.submitJob({ id: URGENT_JOB, kind: 'service', priority: 0, ...WHOLE_MACHINE });
    await world.pass(2);
    await world.addMachine('host-000002');
    await world.pass(2);
    assert.ok(world.machineOf(JOB) !== undefined && world.machineOf(JOB) !== first);
  },
};

/** A leader whose direct start of a task on the only machine was carried out and answered. */
async function startedDirectly(over: Partial<JobSpec> = {}): Promise<[LateCopiesWorld, Worker]> {
  const world = new LateCopiesWorld();
  await world.pass(1);
  const first = await world.addMachine('host-000001');
  world.submitJob({ id: JOB, ...WHOLE_MACHINE, ...over });
  await world.pass(0.4);
  assert.ok(world.directNetwork.hasStarted(JOB), 'by a direct command');
  return [world, first];
}

test('a task that was moved is not run on two machines by a late copy of its answered start', async () => {
  const [world, first] = await startedDirectly();
  const startedAt = world.now;
  await ENDS['moved to another machine']!(world, first);
  await world.runUntil(startedAt + 13);
  world.controller('n-0').kill();
  world.controller('n-0').restart();
  world.directNetwork.deliverCopies();
  assert.deepEqual(world.fleet.violations, []);
  assert.equal(world.fleet.running(JOB), 1);
});
