/** Scenarios of faults in any order, for several controllers in simulated time: the faults and the initial state. */
import { ControlPlaneWorld, INCIDENT_TIMES, type DeploymentTimes } from './control-plane-world.js';
import { HeartbeatLoop } from './heartbeat-loop.js';
import type { SimulatedController } from './simulated-controller.js';

const MACHINES = 3;
const JOBS = 5;

/** The times of the incident, and other ratios of the heartbeat interval and `cancel_s` to a lease. */
export const TIMES: DeploymentTimes[] = [
  INCIDENT_TIMES,
  { reportS: 1, leaseS: 10, cancelS: 30 },
  { reportS: 2, leaseS: 13, cancelS: 33 },
  { reportS: 2.5, leaseS: 15, cancelS: 40 },
];

/** The id of one of the initial jobs. */
const jobIdOf = (number: number): string => `wk-${String(number % JOBS).padStart(6, '0')}`;

/** Injects a fault or another event; `number` selects its target. */
export type Fault = (world: ControlPlaneWorld, number: number) => void;

const controllerAt = (world: ControlPlaneWorld, number: number): SimulatedController =>
  world.controllers[number % world.controllers.length]!;
const leaderOrControllerAt = (world: ControlPlaneWorld, number: number): SimulatedController =>
  world.leader ?? controllerAt(world, number);

/** Faults of controllers, store, links and workers, and cancellations of jobs. */
export const FAULTS: Record<string, Fault> = {
  'leader crash': (world, number) => leaderOrControllerAt(world, number).kill(),
  'second leader crash': (world, number) => leaderOrControllerAt(world, number).kill(),
  'controller crash': (world, number) => controllerAt(world, number).kill(),
  'crash of all controllers': (world) => world.controllers.forEach((each) => each.kill()),
  'restart of crashed controllers': (world) => {
    for (const each of world.controllers) if (!each.alive) each.restart();
  },
  'leader freeze': (world, number) => {
    leaderOrControllerAt(world, number).frozenUntil =
      world.now + (world.times.leaseS * (1 + number)) / 6;
  },
  'store refuses only the leader': (world, number) => {
    leaderOrControllerAt(world, number).ownStoreHealth = 'refused';
  },
  'partition of the leader from the store': (world, number) => {
    leaderOrControllerAt(world, number).ownStoreHealth = 'silent';
  },
  'lost reads of the leader': (world, number) => {
    leaderOrControllerAt(world, number).readsLost = true;
  },
  'partition of a controller from its peers': (world, number) => {
    controllerAt(world, number).peersReachable = false;
  },
  'lost answers between controllers': (world, number) => {
    const asker = controllerAt(world, number);
    for (const { node } of world.controllers)
      if (node !== asker.node && number % 2 === 0) asker.answersLostFrom.add(node);
    if (number % 2 === 1) asker.answersLostFrom.add(leaderOrControllerAt(world, number).node);
  },
  'controller links restored': (world) => {
    for (const each of world.controllers) {
      each.ownStoreHealth = 'served';
      each.readsLost = false;
      each.peersReachable = true;
      each.answersLostFrom.clear();
    }
  },
  outage: (world) => void (world.storeOutage = true),
  'end of the outage': (world) => void (world.storeOutage = false),
  'lost messages to a worker': (world, number) => void (workerAt(world, number).inboundLost = true),
  'lost heartbeats of a worker': (world, number) =>
    void (workerAt(world, number).heartbeatsLost = true),
  'worker links restored': (world) => {
    for (const worker of world.fleet.workers.values())
      worker.inboundLost = worker.heartbeatsLost = false;
  },
  'delayed direct commands': (world) => void (world.delaysDirectCommands = true),
  'delivery of delayed direct commands': (world) => {
    world.delaysDirectCommands = false;
    world.deliverDelayedCommands();
  },
  'a job is cancelled': (world, number) => world.cancel(jobIdOf(number)),
  'another job is cancelled': (world, number) => world.cancel(jobIdOf(number + 1)),
};

const workerAt = (world: ControlPlaneWorld, number: number) =>
  [...world.fleet.workers.values()][number % MACHINES]!;

/** A scenario: the times, the behaviour of workers, and events, each followed by a number of steps. */
export interface FaultScenario {
  times: DeploymentTimes;
  reportsNewToken: boolean;
  /** GPU quota of the jobs; missing: unlimited. */
  gpusMax?: number;
  events: readonly { what: string; steps: number; number: number }[];
}

/** Creates a fleet with running jobs, before the first event. */
export async function startScenario({
  times,
  reportsNewToken,
  gpusMax = 0,
}: FaultScenario): Promise<ControlPlaneWorld> {
  const world = new ControlPlaneWorld(times, gpusMax);
  for (let i = 0; i < MACHINES; i++) {
    const worker = world.fleet.add(`host-00000${i}`);
    world.heartbeatLoops.push(new HeartbeatLoop(world, worker, { reportsNewToken }, i));
  }
  await world.runUntil(times.leaseS / 2);
  for (let i = 0; i < JOBS; i++) {
    const kind = i % 2 === 0 ? 'service' : 'array';
    world.submitJob({ id: jobIdOf(i), kind, tasks: 2, gpus: 1, cores: 1 });
  }
  await world.runUntil(times.leaseS * 1.5);
  return world;
}
