/** Combines the subsystems of a term for the other parts of the leader. */

import type { JobSpec } from '../jobs/types.js';
import type { Log } from '../log.js';
import type { FreeCapacity } from '../scheduler/bin-packing.js';
import type {
  AttemptView,
  Preemption,
  PreemptionRules,
  PreemptionVictim,
  LiveJobView,
  OwnedWrite,
  StoredScaleOutRequest,
  Subsystem,
  SubsystemTerm,
  TermView,
} from './subsystem.js';

interface ActiveSubsystem {
  name: string;
  term: SubsystemTerm;
}

/** A write and the subsystem that owns its record. */
export interface NamedWrite {
  subsystem: string;
  write: OwnedWrite;
}

/**
 * The combined results of all subsystems. Without subsystems every result is neutral and costs nothing. If a
 * subsystem throws, the error is logged and the result is combined without it: it must not stop the leader's work.
 */
export class ActiveSubsystems {
  private readonly active: ActiveSubsystem[] = [];
  /** Subsystems that take part in preemptions. */
  private readonly preemptionRules: { name: string; rules: PreemptionRules }[] = [];

  constructor(private readonly log: Log | null = null) {}

  /** Begins the term of each subsystem; one that throws takes no part in the term. */
  begin(subsystems: readonly Subsystem[], view: (subsystem: Subsystem) => TermView): void {
    for (const subsystem of subsystems) {
      const term = this.callGuarded(subsystem.name, null, () =>
        subsystem.beginTerm(view(subsystem)),
      );
      if (term === null) continue;
      this.active.push({ name: subsystem.name, term });
      const rules = this.callGuarded(subsystem.name, undefined, () => term.preemption);
      if (rules !== undefined) this.preemptionRules.push({ name: subsystem.name, rules });
    }
  }

  /** Whether any subsystem takes part in this term. */
  get hasAny(): boolean {
    return this.active.length > 0;
  }

  /** See `SubsystemTerm.tick`. */
  tick(): void {
    for (const { name, term } of this.active) this.callGuarded(name, undefined, () => term.tick());
  }

  /** See `SubsystemTerm.scaleOutRequests`. */
  scaleOutRequests(): StoredScaleOutRequest[] {
    return this.active.flatMap(({ name, term }) =>
      this.callGuarded(name, [], () => term.scaleOutRequests()),
    );
  }

  /** Whether any subsystem retains the machine. */
  retainsMachine(machine: string): boolean {
    return this.active.some(({ name, term }) =>
      this.callGuarded(name, false, () => term.retainsMachine(machine)),
    );
  }

  /** Free capacity that all subsystems reserve together, in machines. */
  reservedMachines(): number {
    let sum = 0;
    for (const { name, term } of this.active) {
      sum += this.callGuarded(name, 0, () => term.reservedMachines());
    }
    return sum;
  }

  /** Whether all subsystems allow the placement. */
  mayUse(spec: JobSpec, capacity: FreeCapacity): boolean {
    return this.active.every(({ name, term }) =>
      this.callGuarded(name, true, () => term.mayUse(spec, capacity)),
    );
  }

  /** The sum of all subsystems' preferences. */
  preferenceS(spec: JobSpec, capacity: FreeCapacity): number {
    let sum = 0;
    for (const { name, term } of this.active) {
      sum += this.callGuarded(name, 0, () => term.preferenceS(spec, capacity));
    }
    return sum;
  }

  /** The sum of all subsystems' extra costs of stopping a task, see `PreemptionRules.extraCost`; 0 without rules. */
  extraPreemptionCost(
    borrower: LiveJobView,
    victim: PreemptionVictim,
    allowsSaving: boolean,
  ): number {
    let sum = 0;
    for (const { name, rules } of this.preemptionRules) {
      sum += this.callGuarded(name, 0, () => rules.extraCost(borrower, victim, allowsSaving));
    }
    return sum;
  }

  /** See `PreemptionRules.isStopping`. */
  isStopping(attempt: AttemptView): boolean {
    return this.preemptionRules.some(({ name, rules }) =>
      this.callGuarded(name, false, () => rules.isStopping(attempt)),
    );
  }

  /** Carries out a preemption, unless a subsystem takes it over. */
  preempt(preemption: Preemption): void {
    const takenOver = this.preemptionRules.some(({ name, rules }) =>
      this.callGuarded(name, false, () => rules.takesOver(preemption)),
    );
    if (!takenOver) preemption.carryOut();
  }

  /** The writes of all subsystems, the most urgent of each first. */
  dueWrites(): NamedWrite[] {
    return this.active.flatMap(({ name, term }) =>
      this.callGuarded(name, [], () => term.dueWrites()).map((write) => ({
        subsystem: name,
        write,
      })),
    );
  }

  /** Statistics of all subsystems. */
  statistics(): Record<string, number | string> {
    const all = this.active.map(({ name, term }) =>
      this.callGuarded(name, {}, () => term.statistics()),
    );
    return Object.assign({}, ...all) as Record<string, number | string>;
  }

  /** See `SubsystemTerm.stop`. */
  stop(): void {
    for (const { name, term } of this.active) this.callGuarded(name, undefined, () => term.stop());
  }

  private callGuarded<T>(name: string, fallback: T, call: () => T): T {
    try {
      return call();
    } catch (error) {
      this.log?.error({ subsystem: name, err: error }, 'subsystem call failed');
      return fallback;
    }
  }
}

/** For terms without subsystems. */
export const NO_SUBSYSTEMS = new ActiveSubsystems();
