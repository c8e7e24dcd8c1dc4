import type { Settings } from '../config/settings.js';
import type { JobSpec } from '../jobs/types.js';

/** How soon tasks of each class are expected to start, as the settings say, the soonest first. */
export class StartLatencyObjectives {
  private readonly targetsByClass = new Map<string, number[]>();
  /** The soonest of all classes; null: nothing is expected. */
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

  /** The soonest time, from the submission, that can still be kept from this age on. */
  nextTargetS(jobClass: string, ageS: number): number | null {
    return this.targetsByClass.get(jobClass)?.find((targetS) => targetS > ageS) ?? null;
  }
}

/** Of the tightest wait, the share that may pass until lower-priority work has saved and gone. */
const QUICK_STOP_SHARE = 0.5;

/**
 * Whether a task of lower-priority work is gone so soon when it is told to save that its capacity is as good as
 * free for everybody else. `commandS`: what telling it takes.
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

/** How tasks are stopped for another one: after a checkpoint, at once, or in vain. */
export type PreemptionMode = 'checkpoint-first' | 'immediate' | 'too-late';

/**
 * Whether a start is in time when those that make capacity save first, only when they are stopped at
 * once, or not at all. Without an expectation there is no haste.
 */
export function preemptionMode(
  leftS: number | null,
  saveS: number,
  imageS: number,
): PreemptionMode {
  if (leftS === null || saveS + imageS <= leftS) return 'checkpoint-first';
  return imageS <= leftS ? 'immediate' : 'too-late';
}
