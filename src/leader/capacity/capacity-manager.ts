/** The fleet of a term: combines scale-out, scale-in and consolidation with the cloud's answers. */

import type { DemandForecast } from '../../cloud/demand-forecast.js';
import type { CloudClient } from '../../cloud/client.js';
import { MachineProvisioner, type ProvisionerHost } from '../../cloud/provisioner.js';
import type { Demand, MachineOrder } from '../../cloud/scale-out-plan.js';
import type { MachineType } from '../../jobs/types.js';
import type { FreeCapacity } from '../../scheduler/bin-packing.js';
import type { TeamUsages } from '../../scheduler/quota.js';
import type { ListedMachine } from '../../wire/cloud.js';
import { NO_SUBSYSTEMS, type ActiveSubsystems } from '../../subsystems/active-subsystems.js';
import type { StoredScaleOutRequest } from '../../subsystems/subsystem.js';
import type { Machine } from '../../workers/machine.js';
import { Consolidation } from './consolidation.js';
import { ScaleOutPlanner, type CycleRemainder } from './scale-out-planner.js';
import { ScaleInPlanner } from './scale-in-planner.js';
import type { Scheduler } from '../scheduling/scheduler.js';
import type { Term } from '../term/term.js';
import { WarmReserve } from './warm-reserve.js';

/** Dependencies of `CapacityManager`. */
export interface CapacityManagerOptions {
  term: Term;
  cloud: CloudClient;
  /** Called only after construction, since the scheduler in turn depends on `warmTarget`. */
  scheduler: () => Scheduler;
  forecast: DemandForecast;
  /** Called for a machine that the cloud has confirmed as gone. */
  forgetMachine: (machine: Machine) => void;
  onMachineTypes: (types: MachineType[]) => void;
  subsystems?: ActiveSubsystems;
}

/** Keeps the fleet of a term at its target size: which machines to add, which to return. */
export class CapacityManager implements ProvisionerHost, CycleRemainder {
  readonly provisioner: MachineProvisioner;
  demand: Demand[] = [];
  capacities: FreeCapacity[] = [];
  /** Usage of each team after the latest scheduling cycle; null before the first one. */
  usages: TeamUsages | null = null;
  private readonly warmReserve: WarmReserve;
  private readonly scaleOut: ScaleOutPlanner;
  private readonly scaleIn: ScaleInPlanner;
  private readonly consolidation: Consolidation;
  private readonly subsystems: ActiveSubsystems;

  constructor(private readonly options: CapacityManagerOptions) {
    const { term, forecast, scheduler, subsystems = NO_SUBSYSTEMS } = options;
    this.subsystems = subsystems;
    this.provisioner = this.makeProvisioner();
    this.warmReserve = new WarmReserve(term, forecast, subsystems);
    const weights = (): ReturnType<Scheduler['weights']> => scheduler().weights();
    const { provisioner, warmReserve } = this;
    this.scaleOut = new ScaleOutPlanner({
      term,
      provisioner,
      warmReserve,
      weights,
      filterFor: (job) => scheduler().scaleOutFilterFor(job),
      taskSlotsPerMachine: () => scheduler().taskSlotsOfEmptyMachine(),
      arrivingCapacities: (withinS) => scheduler().arrivingCapacities(withinS),
    });
    this.scaleIn = new ScaleInPlanner(term, this.warmReserve, subsystems);
    this.consolidation = new Consolidation(
      term,
      this.warmReserve,
      (capacities) => scheduler().drainMachine(capacities),
      (id) => subsystems.retainsMachine(id),
    );
  }

  private makeProvisioner(): MachineProvisioner {
    const { term, cloud } = this.options;
    const { context } = term;
    return new MachineProvisioner({
      name: `${context.incarnation}-${context.token}`,
      cloud,
      host: this,
      lagS: context.settings.cloud.list_lag_s,
      bootS: (type) => term.machineTypes.get(type)?.bootS ?? context.settings.workers.lease_s,
      clock: context.clock,
      log: context.log,
    });
  }

  /** See `ProvisionerHost.isEntitled`. */
  isEntitled(): boolean {
    return this.options.term.context.isEntitled();
  }

  /** See `ProvisionerHost.isKnown`. */
  isKnown(id: string): boolean {
    return this.options.term.machines.has(id);
  }

  /** See `ProvisionerHost.onMachineTypes`. */
  onMachineTypes(types: MachineType[]): void {
    this.options.onMachineTypes(types);
  }

  /** The warm reserve on spot or ordinary machines, in machines. */
  warmTarget(spot: boolean): number {
    return this.warmReserve.target(spot);
  }

  /** Whether the cloud's latest list names a machine; null before the first list. */
  isListed(id: string): boolean | null {
    return this.provisioner.listedOnce ? this.scaleIn.isListed(id) : null;
  }

  /** Whether the cloud's latest list no longer names a machine. */
  isUnlisted(id: string): boolean {
    return this.isListed(id) === false;
  }

  /** See `ProvisionerHost.storedScaleOutRequests`. */
  storedScaleOutRequests(): StoredScaleOutRequest[] {
    return this.subsystems.scaleOutRequests();
  }

  /** See `ProvisionerHost.machinesToAdd`. */
  machinesToAdd(): MachineOrder[] {
    return this.scaleOut.plan(this);
  }

  /** Unplaced tasks by where the latest plan expects them to run. */
  scaleOutStatistics(): Record<string, number> {
    const { onFree, onPending, onNew, nowhere } = this.scaleOut.plannedTasks;
    return {
      planned_on_free: onFree,
      planned_on_pending: onPending,
      planned_on_new: onNew,
      planned_nowhere: nowhere,
    };
  }

  /** See `ProvisionerHost.machinesToRemove`. */
  machinesToRemove(): string[] {
    return this.scaleIn.plan(this.capacities, () => this.scaleOut.leftByDemand(this));
  }

  /** Handles the cloud's 200 to a return, which proves that the machines and everything on them are gone. */
  machinesReturned(ids: string[]): void {
    const { term, forgetMachine } = this.options;
    for (const id of ids) {
      this.scaleIn.returnConfirmed(id);
      const machine = term.machines.get(id);
      if (machine === undefined) continue;
      term.loseMachine(machine);
      machine.changeState('returned');
      forgetMachine(machine);
    }
  }

  /** See `ProvisionerHost.applyList`. */
  applyList(all: ListedMachine[]): void {
    this.scaleIn.applyList(all);
    this.options.term.requestCycle();
  }

  /** Drains a machine if there is enough surplus capacity, so that it can be returned. */
  consolidate(): void {
    this.consolidation.consolidate(this);
  }
}
