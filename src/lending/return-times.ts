/** How long GPUs take to come back once they are recalled: measured, or what a boot takes. */

import type { TermView } from '../subsystems/subsystem.js';
import { covering, remember } from '../subsystems/samples.js';

/** What the protocol leads to expect of slow boots, as a share of the nominal time. */
const SLOW_BOOT_FACTOR = 1.6;
/** Report intervals until a stop is told, carried out and heard of, and a start likewise. */
const COMMAND_HEARTBEATS = 4;

/** How long it takes to bring lent GPUs back, from what was measured. */
export class ReturnTimes {
  private readonly samples: number[] = [];

  constructor(private readonly view: TermView) {}

  /** A recall took so many seconds. */
  record(seconds: number): void {
    remember(this.samples, seconds);
  }

  /** Seconds that cover most recalls. */
  get recallDurationS(): number {
    const bootS = Math.max(0, ...[...this.view.machineTypes().values()].map((type) => type.bootS));
    return covering(this.samples, bootS * SLOW_BOOT_FACTOR + this.commandDelayS);
  }

  /** Seconds from a place being there until the task was told to start and has shown itself. */
  get commandDelayS(): number {
    return this.view.settings.workers.report_s * COMMAND_HEARTBEATS;
  }
}
