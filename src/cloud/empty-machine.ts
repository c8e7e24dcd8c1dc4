/** The capacity of machines that do not exist yet, or have not reported yet. */

import type { MachineType } from '../jobs/types.js';
import type { FreeCapacity, HotImage } from '../scheduler/bin-packing.js';
import { copyRoom, type Room } from '../scheduler/room.js';

const NO_IMAGES: HotImage[] = [];

/** A machine that does not exist yet. */
export interface NewMachine {
  id: string;
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Tasks that it takes, however small. */
  taskSlots: number;
}

/** Capacity of a machine that does not exist yet: it is empty and has to fetch every image. */
class EmptyMachineCapacity implements FreeCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Room;
  readonly penaltyS = 0;
  cores: number;
  gpus: number;
  memGb: number;
  taskSlots: number;
  private readonly fetchGbPerS: number;

  constructor({ id, type, zone, spot, taskSlots }: NewMachine) {
    this.id = id;
    this.type = type.name;
    this.zone = zone;
    this.spot = spot;
    this.cores = type.cores;
    this.gpus = type.gpus;
    this.memGb = type.memGb;
    this.taskSlots = taskSlots;
    this.total = copyRoom(this);
    this.fetchGbPerS = Math.max(type.fetchGbPerS, 1e-9);
  }

  /** See `FreeCapacity.imageDelayS`. */
  imageDelayS(_image: string, gb: number): number {
    return gb / this.fetchGbPerS;
  }

  /** See `FreeCapacity.hasImage`. */
  hasImage(): boolean {
    return false;
  }

  /** See `FreeCapacity.fetchS`. */
  fetchS(gb: number): number {
    return gb / this.fetchGbPerS;
  }

  /** See `FreeCapacity.cachedHotImages`. */
  cachedHotImages(): HotImage[] {
    return NO_IMAGES;
  }
}

/** See `EmptyMachineCapacity`. */
export const emptyMachineCapacity = (machine: NewMachine): FreeCapacity =>
  new EmptyMachineCapacity(machine);
