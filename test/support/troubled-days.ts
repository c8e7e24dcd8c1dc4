/** Days of troubles in any order, for several controllers in injected time: what may happen, and how a day begins. */
import { ControlPlaneWorld, INCIDENT_TIMES, type DeploymentTimes } from './control-plane-world.js';
import { ReportLoop } from './report-loop.js';
import type { SimulatedController } from './simulated-controller.js';

const MACHINES = 3;
const JOBS = 5;

/** The incident's times, and other ratios of heartbeats and `cancel_s` to a lease. */
export const TIMES: DeploymentTimes[] = [
  INCIDENT_TIMES,
  { reportS: 1, leaseS: 10, cancelS: 30 },
  { reportS: 2, leaseS: 13, cancelS: 33 },
  { reportS: 2.5, leaseS: 15, cancelS: 40 },
];

/** Names one of the day's jobs. */
const idOf = (number: number): string => `wk-${String(number % JOBS).padStart(6, '0')}`;

/** Something that happens; `number` chooses to whom. */
export type Trouble = (world: ControlPlaneWorld, number: number) => void;

const some = (world: ControlPlaneWorld, number: number): SimulatedController =>
  world.controllers[number % world.controllers.length]!;
const leading = (world: ControlPlaneWorld, number: number): SimulatedController =>
  world.leader ?? some(world, number);

/** Troubles of controllers, store, links and machines, and cancellations. */
export const TROUBLES: Record<string, Trouble> = {
  'the leader ends': (world, number) => leading(world, number).kill(),
  'the leader ends again': (world, number) => leading(world, number).kill(),
  'a controller ends': (world, number) => some(world, number).kill(),
  'all controllers end': (world) => world.controllers.forEach((each) => each.kill()),
  'those that ended are back': (world) => {
    for (const each of world.controllers) if (!each.alive) each.restart();
  },
  'the leader freezes': (world, number) => {
    leading(world, number).frozenUntil = world.now + (world.times.leaseS * (1 + number)) / 6;
  },
  'the leader is refused alone': (world, number) => {
    leading(world, number).ownStoreHealth = 'refused';
  },
  'the leader is cut from the store': (world, number) => {
    leading(world, number).ownStoreHealth = 'silent';
  },
  'the reads of the leader are lost': (world, number) => {
    leading(world, number).readsLost = true;
  },
  'a controller is cut from the others': (world, number) => {
    some(world, number).peersReachable = false;
  },
  'answers between controllers are lost': (world, number) => {
    const asker = some(world, number);
    for (const { node } of world.controllers)
      if (node !== asker.node && number % 2 === 0) asker.answersLostFrom.add(node);
    if (number % 2 === 1) asker.answersLostFrom.add(leading(world, number).node);
  },
  'links are whole': (world) => {
    for (const each of world.controllers) {
      each.ownStoreHealth = 'served';
      each.readsLost = false;
      each.peersReachable = true;
      each.answersLostFrom.clear();
    }
  },
  outage: (world) => void (world.storeOutage = true),
  'the outage is over': (world) => void (world.storeOutage = false),
  'a machine is deaf': (world, number) => void (machine(world, number).deaf = true),
  'a machine is mute': (world, number) => void (machine(world, number).mute = true),
  'machines are whole': (world) => {
    for (const worker of world.fleet.workers.values()) worker.deaf = worker.mute = false;
  },
  'direct commands are held back': (world) => void (world.holdsDirectCommands = true),
  'direct commands arrive': (world) => {
    world.holdsDirectCommands = false;
    world.deliverHeldBack();
  },
  'a job is cancelled': (world, number) => world.cancel(idOf(number)),
  'another job is cancelled': (world, number) => world.cancel(idOf(number + 1)),
};

const machine = (world: ControlPlaneWorld, number: number) =>
  [...world.fleet.workers.values()][number % MACHINES]!;

/** A day: how workers report, and what happens, each followed by so many steps. */
export interface TroubledDay {
  times: DeploymentTimes;
  reportsNewToken: boolean;
  /** GPUs that the jobs may hold at most; missing: any number. */
  gpusMax?: number;
  events: readonly { what: string; steps: number; number: number }[];
}

/** A fleet with running jobs, before the first trouble. */
export async function beginDay({
  times,
  reportsNewToken,
  gpusMax = 0,
}: TroubledDay): Promise<ControlPlaneWorld> {
  const world = new ControlPlaneWorld(times, gpusMax);
  for (let i = 0; i < MACHINES; i++) {
    const worker = world.fleet.add(`host-00000${i}`);
    world.reportLoops.push(new ReportLoop(world, worker, { reportsNewToken }, i));
  }
  await world.runUntil(times.leaseS / 2);
  for (let i = 0; i < JOBS; i++) {
    const kind = i % 2 === 0 ? 'service' : 'array';
    world.submitJob({ id: idOf(i), kind, tasks: 2, gpus: 1, cores: 1 });
  }
  await world.runUntil(times.leaseS * 1.5);
  return world;
}
