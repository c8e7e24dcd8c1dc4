/** Room on a machine: its free resources, and how many more tasks it may take. */

import { fits, type Resources } from '../jobs/types.js';

/** What a machine has left for tasks. Whatever asks whether a task has a place asks for all of it. */
export interface Room extends Resources {
  /** Tasks that the machine may take in addition, however small: its worker reports and its record names only so many. */
  taskSlots: number;
}

/** Whether a machine with this room can take a task. */
export const hasRoomFor = (task: Resources, room: Room): boolean =>
  room.taskSlots >= 1 && fits(task, room);

/** Takes the room of a task. */
export function allocate(task: Resources, room: Room): void {
  room.cores -= task.cores;
  room.gpus -= task.gpus;
  room.memGb -= task.memGb;
  room.taskSlots -= 1;
}

/** Gives back the room of a task. */
export function release(task: Resources, room: Room): void {
  room.cores += task.cores;
  room.gpus += task.gpus;
  room.memGb += task.memGb;
  room.taskSlots += 1;
}

/** A copy for trial allocations, without the other properties of the object. */
export const copyRoom = ({ cores, gpus, memGb, taskSlots }: Room): Room => ({
  cores,
  gpus,
  memGb,
  taskSlots,
});

/** Room for nothing. */
export const noRoom = (): Room => ({ cores: 0, gpus: 0, memGb: 0, taskSlots: 0 });

/** The room of both together. */
export const sumOfRoom = (a: Room, b: Room): Room => ({
  cores: a.cores + b.cores,
  gpus: a.gpus + b.gpus,
  memGb: a.memGb + b.memGb,
  taskSlots: a.taskSlots + b.taskSlots,
});

/** Free share of a machine, by what is scarcest: 0 if all its GPUs are taken. */
export function freeShare(capacity: Room & { total: Room }): number {
  const { total } = capacity;
  const gpus = total.gpus > 0 ? capacity.gpus / total.gpus : 1;
  const cores = total.cores > 0 ? capacity.cores / total.cores : 1;
  const memory = total.memGb > 0 ? capacity.memGb / total.memGb : 1;
  const tasks = total.taskSlots > 0 ? capacity.taskSlots / total.taskSlots : 1;
  return Math.max(0, Math.min(gpus, cores, memory, tasks));
}

/** Share of an empty machine that a task takes, by what it takes most of. */
export function shareTaken(task: Resources, total: Room): number {
  const gpus = total.gpus > 0 ? task.gpus / total.gpus : 0;
  const cores = total.cores > 0 ? task.cores / total.cores : 0;
  const memory = total.memGb > 0 ? task.memGb / total.memGb : 0;
  return Math.min(1, Math.max(gpus, cores, memory, 1 / total.taskSlots));
}
