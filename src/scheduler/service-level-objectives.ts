import type { Settings } from '../config/settings.js';
import type { JobSpec } from '../jobs/types.js';

/** Start latency targets of each class, from the settings, the shortest first. */
export class StartLatencyObjectives {
  private readonly targetsByClass = new Map<string, number[]>();
  /** The shortest target of all classes; null: there is none. */
  readonly tightestTargetS: number | null;

  constructor(objectives: Settings['objectives']) {
    for (const objective of objectives) {
      if (
        objective.kind !== 'wait' ||
        objective.class === undefined ||
        objective.within_s === undefined
      )
        continue;
      this.targetsByClass.set(
        objective.class,
        [...(this.targetsByClass.get(objective.class) ?? []), objective.within_s].sort(
          (a, b) => a - b,
        ),
      );
    }
    const soonest = [...this.targetsByClass.values()].map((targetsS) => targetsS[0]!);
    this.tightestTargetS = soonest.length === 0 ? null : Math.min(...soonest);
  }

  /** The shortest target that a job of this age can still meet; null: there is none. */
  nextTargetS(jobClass: string, ageS: number): number | null {
    return this.targetsByClass.get(jobClass)?.find((targetS) => targetS > ageS) ?? null;
  }
}

/** Share of the tightest target within which quick work has saved and stopped. */
const QUICK_STOP_SHARE = 0.5;

/**
 * Whether a best-effort task saves and stops so soon after a stop command that its capacity counts as free
 * for all other work. `latencyS`: how long the command and its confirmation take.
 */
export function stopsQuickly(
  spec: JobSpec,
  startObjectives: StartLatencyObjectives,
  latencyS: number,
): boolean {
  const { tightestTargetS } = startObjectives;
  if (spec.priority !== 3 || spec.kind === 'service' || spec.checkpointS <= 0) return false;
  return tightestTargetS !== null && spec.saveS + latencyS <= tightestTargetS * QUICK_STOP_SHARE;
}

/** How tasks are stopped for another one; `too-late`: its start misses the target in either case. */
export type PreemptionMode = 'checkpoint-first' | 'immediate' | 'too-late';

/**
 * Whether a start is in time if the victims save first, only if they are stopped at once, or not at all.
 * Without a target (`remainingS` is null) victims always save first.
 */
export function preemptionMode(
  remainingS: number | null,
  saveS: number,
  imageS: number,
): PreemptionMode {
  if (remainingS === null || saveS + imageS <= remainingS) return 'checkpoint-first';
  return imageS <= remainingS ? 'immediate' : 'too-late';
}
