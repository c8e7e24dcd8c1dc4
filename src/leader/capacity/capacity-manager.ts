/** The fleet of a term: what its parts plan, and what the cloud says. */

import type { Arrivals } from '../../cloud/demand-forecast.js';
import type { CloudClient } from '../../cloud/client.js';
import { Fleet, type FleetHost } from '../../cloud/provisioner.js';
import type { Demand, Wanted } from '../../cloud/scale-out-plan.js';
import type { MachineType } from '../../jobs/types.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import type { Usages } from '../../scheduler/quota.js';
import type { ListedMachine } from '../../wire/cloud.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { StoredRent } from '../../subsystems/subsystem.js';
import type { Machine } from '../../workers/machine.js';
import { Consolidation } from './consolidation.js';
import { RentPlanner, type PassRemains } from './scale-out-planner.js';
import { ReturnPlanner } from './scale-in-planner.js';
import type { Scheduler } from '../scheduling/scheduler.js';
import type { Term } from '../term/term.js';
import { WarmReserve } from './warm-reserve.js';

export interface CapacityOptions {
  term: Term;
  cloud: CloudClient;
  /** Asked for only once all is put together: the scheduler asks this for what is kept warm. */
  scheduler: () => Scheduler;
  arrivals: Arrivals;
  /** A machine is gone for good. */
  forget: (machine: Machine) => void;
  onTypes: (types: MachineType[]) => void;
  subsystems?: ActiveSubsystems;
}

/** Keeps the fleet of a term as large as it should be: what to rent, what to give back. */
export class CapacityManager implements FleetHost, PassRemains {
  readonly fleet: Fleet;
  demand: Demand[] = [];
  rooms: FreeCapacity[] = [];
  /** What teams used after the latest pass; null: there was none. */
  usages: Usages | null = null;
  private readonly warm: WarmReserve;
  private readonly rents: RentPlanner;
  private readonly returns: ReturnPlanner;
  private readonly consolidation: Consolidation;
  private readonly subsystems: ActiveSubsystems;

  constructor(private readonly options: CapacityOptions) {
    const { term, arrivals, scheduler, subsystems = NO_SUBSYSTEMS } = options;
    this.subsystems = subsystems;
    this.fleet = this.makeFleet();
    this.warm = new WarmReserve(term, arrivals, subsystems);
    const weights = (): ReturnType<Scheduler['weights']> => scheduler().weights();
    const { fleet, warm } = this;
    this.rents = new RentPlanner({ term, fleet, warm, weights, subsystems });
    this.returns = new ReturnPlanner(term, this.warm, subsystems);
    this.consolidation = new Consolidation(
      term,
      this.warm,
      (rooms) => scheduler().vacate(rooms),
      (id) => subsystems.keeps(id),
    );
  }

  private makeFleet(): Fleet {
    const { term, cloud } = this.options;
    const { context } = term;
    return new Fleet(
      `${context.incarnation}-${context.token}`,
      cloud,
      this,
      context.settings.cloud.list_lag_s,
      (type) => term.machineTypes.get(type)?.bootS ?? context.settings.workers.lease_s,
      context.clock,
      context.log,
    );
  }

  entitled(): boolean {
    return this.options.term.context.isEntitled();
  }

  known(id: string): boolean {
    return this.options.term.machines.has(id);
  }

  onTypes(types: MachineType[]): void {
    this.options.onTypes(types);
  }

  /** Whether no spot machine of a type is to be had anywhere at present. */
  spotShort(type: string): boolean {
    const machineType = this.options.term.machineTypes.get(type);
    return (
      machineType === undefined || machineType.zones.every((z) => this.fleet.short(type, z, true))
    );
  }

  /** Free capacity that is kept on spot or ordinary machines, in machines. */
  target(spot: boolean): number {
    return this.warm.target(spot);
  }

  /** Whether the cloud's latest list names a machine; null: there has been none yet. */
  isListed(id: string): boolean | null {
    return this.fleet.listedOnce ? this.returns.isListed(id) : null;
  }

  /** Not even in the cloud's list any more. */
  unlisted(id: string): boolean {
    return this.isListed(id) === false;
  }

  storedRents(): StoredRent[] {
    return this.subsystems.rents();
  }

  wanted(): Wanted[] {
    return this.rents.wanted(this);
  }

  toReturn(): string[] {
    return this.returns.toReturn(this.rooms);
  }

  /** The cloud's 200 is proof: the machines and all that was on them are gone. */
  returned(ids: string[]): void {
    const { term, forget } = this.options;
    for (const id of ids) {
      this.returns.confirmed(id);
      const machine = term.machines.get(id);
      if (machine === undefined) continue;
      term.loseMachine(machine);
      machine.changeState('returned');
      forget(machine);
    }
  }

  listed(all: ListedMachine[]): void {
    this.returns.listed(all);
    this.options.term.requestCycle();
  }

  /** When there is a machine's worth of room too much, a machine is emptied to be given back. */
  consolidate(): void {
    this.consolidation.consolidate(this);
  }
}
