/** How a machine comes to hold the model of a pool. */

import type { MachineView } from '../subsystems/subsystem.js';
import type { PoolDeclaration } from './declaration.js';

/**
 *   loading   asked for, or not known yet
 *   ready     a replica that is placed there begins at once, as far as this loader can promise it
 *   failed    the machine did not load it, several times
 */
export type LoadState = 'loading' | 'ready' | 'failed';

/** None of its methods waits. */
export interface ModelLoader {
  /** What is known now. It is asked for again until it is there, and looked after from then on. */
  state(machine: MachineView, pool: PoolDeclaration): LoadState;
  /** Nothing there wants the model any more. */
  unload(machine: MachineView, image: string): void;
  /** The machine is gone. */
  forget(machine: string): void;
  stop(): void;
}

/**
 * Within the protocol a machine fetches an image only for a task that wants it. So a machine is ready
 * once its heartbeats reach this term: the boot is over, and images that it holds stay, since lower-priority work that
 * would push them out is kept off (`SlotRooms.mayUse`). What it has not held before is fetched only with
 * the first replica.
 */
export class WorkerCacheLoader implements ModelLoader {
  /** See `ModelLoader.state`. */
  state(machine: MachineView): LoadState {
    return machine.state === 'ready' ? 'ready' : 'loading';
  }

  /** See `ModelLoader.unload`. */
  unload(): void {
    // The worker drops what was not used for long by itself.
  }

  /** See `ModelLoader.forget`. */
  forget(): void {
    // Nothing is remembered.
  }

  /** See `ModelLoader.stop`. */
  stop(): void {
    // Nothing is under way.
  }
}
