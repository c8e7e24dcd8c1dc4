/** Groups of slots whose machines are requested together. */

import type { TermView } from '../subsystems/subsystem.js';
import { SCALE_OUT_MAX } from '../wire/cloud.js';
import type { PoolDeclaration } from './declaration.js';
import { cheapestTarget, slotsPerMachine, type ScaleOutTarget } from './machine-choice.js';
import type { SlotEntry } from './slot-table.js';

/** Slots whose machines come from one scale-out request. */
export interface SlotGroup {
  target: ScaleOutTarget;
  group: SlotEntry[];
}

/**
 * Groups slots by the type and zone of the machines that are requested for them; each group is one request.
 * `left`: slots for which no machines can be requested at present.
 */
export function groupByTarget(
  view: TermView,
  pool: PoolDeclaration,
  open: readonly SlotEntry[],
  entries: SlotEntry[],
): { found: SlotGroup[]; left: SlotEntry[] } {
  const inZone = slotsInZones(view, open);
  const groups = new Map<string, SlotGroup>();
  const isShort = (type: string, zone: string): boolean => view.isShort(type, zone);
  let next = 0;
  while (next < entries.length) {
    const target = cheapestTarget(pool, view.machineTypes(), isShort, inZone);
    if (target === null) break;
    const some = entries.slice(next, next + slotsPerMachine(pool.shape, target.type));
    next += some.length;
    inZone.set(target.zone, (inZone.get(target.zone) ?? 0) + some.length);
    const kind = `${target.type.name} ${target.zone}`;
    let key = kind;
    for (let i = 1; isFull(groups.get(key), pool); i++) key = `${kind} ${i}`;
    const group = groups.get(key) ?? { target, group: [] };
    groups.set(key, group);
    group.group.push(...some);
  }
  return { found: [...groups.values()], left: entries.slice(next) };
}

function isFull(group: SlotGroup | undefined, pool: PoolDeclaration): boolean {
  if (group === undefined) return false;
  return group.group.length >= SCALE_OUT_MAX * slotsPerMachine(pool.shape, group.target.type);
}

function slotsInZones(view: TermView, open: readonly SlotEntry[]): Map<string, number> {
  const inZone = new Map<string, number>();
  for (const { current } of open) {
    const machine = current.machine === null ? undefined : view.machine(current.machine);
    const zone = machine?.zone ?? current.request?.zone;
    if (zone !== undefined) inZone.set(zone, (inZone.get(zone) ?? 0) + 1);
  }
  return inZone;
}
