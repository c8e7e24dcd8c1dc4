/** Loading of a pool's model on a machine. */

import type { MachineView } from '../subsystems/subsystem.js';
import type { PoolDeclaration } from './declaration.js';

/**
 *   loading   requested, or not known yet
 *   ready     a replica that is placed there starts at once, as far as this loader can tell
 *   failed    the machine failed to load it several times
 */
export type LoadState = 'loading' | 'ready' | 'failed';

/** Loads models on machines. None of its methods blocks. */
export interface ModelLoader {
  /** The last known state. Calls request the model until it is loaded, and monitor it afterwards. */
  state(machine: MachineView, pool: PoolDeclaration): LoadState;
  /** No slot or replica on the machine needs the model any more. */
  unload(machine: MachineView, image: string): void;
  /** Drops what is known of a machine, for example because it is gone. */
  forget(machine: string): void;
  stop(): void;
}

/**
 * For machines without a model server. In the protocol a machine fetches an image only for a task that needs
 * it, so a machine is ready once its heartbeats reach this term: its boot is over. Its cached images stay,
 * because other work that would evict them is not placed there (`SlotReservations.mayUse`). An image that is
 * not cached is fetched with the first replica.
 */
export class WorkerCacheLoader implements ModelLoader {
  /** See `ModelLoader.state`. */
  state(machine: MachineView): LoadState {
    return machine.state === 'ready' ? 'ready' : 'loading';
  }

  /** See `ModelLoader.unload`. */
  unload(): void {
    // The worker itself evicts images that were not used for long.
  }

  /** See `ModelLoader.forget`. */
  forget(): void {
    // This loader has no state.
  }

  /** See `ModelLoader.stop`. */
  stop(): void {
    // This loader sends no requests.
  }
}
