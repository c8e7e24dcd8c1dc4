/** Estimates how long a recall takes, from measured recalls or, while there are few, from the boot time. */

import type { TermView } from '../subsystems/subsystem.js';
import { conservativeEstimate, addSample } from '../subsystems/samples.js';

/** Expected duration of slow boots as a multiple of the nominal time, by the protocol. */
const SLOW_BOOT_FACTOR = 1.6;
/** Heartbeat intervals until a stop command is sent, carried out and reported, and then a start command. */
const COMMAND_HEARTBEATS = 4;

/** Estimates the duration of recalls from measured ones. */
export class ReturnTimes {
  private readonly samples: number[] = [];

  constructor(private readonly view: TermView) {}

  /** Records the duration of a recall. */
  record(seconds: number): void {
    addSample(this.samples, seconds);
  }

  /** Seconds within which most recalls end. */
  get recallDurationS(): number {
    const bootS = Math.max(0, ...[...this.view.machineTypes().values()].map((type) => type.bootS));
    return conservativeEstimate(this.samples, bootS * SLOW_BOOT_FACTOR + this.commandDelayS);
  }

  /** Seconds from a place being available until the task's start has been sent and reported. */
  get commandDelayS(): number {
    return this.view.settings.workers.report_s * COMMAND_HEARTBEATS;
  }
}
