/** The subsystems of a term as one: what the leader's parts ask. */

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

/** A write and the subsystem whose record it is of. */
export interface NamedWrite {
  subsystem: string;
  write: OwnedWrite;
}

/**
 * Without subsystems every answer is the neutral one, at no cost. A subsystem that throws is logged and
 * left out of this answer: it must not keep the leader from its work.
 */
export class ActiveSubsystems {
  private readonly active: ActiveSubsystem[] = [];
  /** Those that have something to say of preemptions. */
  private readonly preemptionRules: { name: string; rules: PreemptionRules }[] = [];

  constructor(private readonly log: Log | null = null) {}

  /** Begins the term of each; one that throws is left out. */
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

  /** Whether any subsystem keeps the machine. */
  keeps(machine: string): boolean {
    return this.active.some(({ name, term }) =>
      this.callGuarded(name, false, () => term.keeps(machine)),
    );
  }

  /** What all subsystems keep, in machines. */
  keptMachines(): number {
    let sum = 0;
    for (const { name, term } of this.active) {
      sum += this.callGuarded(name, 0, () => term.keptMachines());
    }
    return sum;
  }

  /** Whether all subsystems allow it. */
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

  /** How much worse it is to stop a task than by its lost work, in shares of the most; 0 without rules. */
  preemptionHarm(borrower: LiveJobView, victim: PreemptionVictim, saves: boolean): number {
    let sum = 0;
    for (const { name, rules } of this.preemptionRules) {
      sum += this.callGuarded(name, 0, () => rules.extraCost(borrower, victim, saves));
    }
    return sum;
  }

  /** See `PreemptionRules.isStopping`. */
  isStopping(attempt: AttemptView): boolean {
    return this.preemptionRules.some(({ name, rules }) =>
      this.callGuarded(name, false, () => rules.isStopping(attempt)),
    );
  }

  /** Carries an preemption out, unless a subsystem does so itself. */
  preempt(preemption: Preemption): void {
    const takenOver = this.preemptionRules.some(({ name, rules }) =>
      this.callGuarded(name, false, () => rules.takesOver(preemption)),
    );
    if (!takenOver) preemption.carryOut();
  }

  /** What subsystems want to store, the most urgent of each first. */
  dueWrites(): NamedWrite[] {
    return this.active.flatMap(({ name, term }) =>
      this.callGuarded(name, [], () => term.dueWrites()).map((write) => ({
        subsystem: name,
        write,
      })),
    );
  }

  /** Figures of all subsystems. */
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
      this.log?.error({ subsystem: name, err: error }, 'subsystem');
      return fallback;
    }
  }
}

/** For terms without subsystems. */
export const NO_SUBSYSTEMS = new ActiveSubsystems();
