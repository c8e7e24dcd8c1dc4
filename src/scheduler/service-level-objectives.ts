import type { Settings } from '../config/settings.js';
import type { JobSpec } from '../jobs/types.js';

/** How soon tasks of each class are expected to start, as the settings say, the soonest first. */
export class Waits {
  private readonly by = new Map<string, number[]>();
  /** The soonest of all classes; null: nothing is expected. */
  readonly tightest: number | null;

  constructor(objectives: Settings['objectives']) {
    for (const o of objectives) {
      if (o.kind !== 'wait' || o.class === undefined || o.within_s === undefined) continue;
      this.by.set(
        o.class,
        [...(this.by.get(o.class) ?? []), o.within_s].sort((a, b) => a - b),
      );
    }
    const soonest = [...this.by.values()].map((waits) => waits[0]!);
    this.tightest = soonest.length === 0 ? null : Math.min(...soonest);
  }

  /** The soonest time, from the submission, that can still be kept from this age on. */
  next(cls: string, ageS: number): number | null {
    return this.by.get(cls)?.find((w) => w > ageS) ?? null;
  }
}

/** Of the tightest wait, the share that may pass until lesser work has saved and gone. */
const LEAVE_SHARE = 0.5;

/**
 * Whether a task of lesser work is gone so soon when it is told to save that its room is as good as
 * free for everybody else. `commandS`: what telling it takes.
 */
export function leavesSoon(spec: JobSpec, waits: Waits, commandS: number): boolean {
  const { tightest } = waits;
  if (spec.priority !== 3 || spec.kind === 'service' || spec.checkpointS <= 0) return false;
  return tightest !== null && spec.saveS + commandS <= tightest * LEAVE_SHARE;
}

export type Haste = 'saving' | 'swift' | 'late';

/**
 * Whether a start is in time when those that make room save first, only when they are stopped at
 * once, or not at all. Without an expectation there is no haste.
 */
export function haste(leftS: number | null, saveS: number, imageS: number): Haste {
  if (leftS === null || saveS + imageS <= leftS) return 'saving';
  return imageS <= leftS ? 'swift' : 'late';
}
