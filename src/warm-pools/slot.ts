/** A warm slot: capacity for one replica that is prepared for a burst. Its states and its record. */

import { IllegalTransitionError } from '../illegal-transition.js';
import * as v from 'valibot';

/**
 *   planned   wanted for a burst; the scale-out request for its machine may be named already
 *   renting   that request may have been sent to the cloud
 *   loading   it has a machine, which boots or loads the model
 *   warm      a replica that is placed there starts at once
 *   used      a replica was placed there
 *   released  ended without use: its burst is over, its pool's declaration changed, a budget or a team's limit
 *             was reached, or a pool with higher precedence took its machine
 *   lost      its machine is gone or cannot be used
 *
 * The last three are final. Idle time is billed from `loading` until one of them.
 */
export type SlotState = 'planned' | 'renting' | 'loading' | 'warm' | 'used' | 'released' | 'lost';

/** All states, in the order in which operators see them. */
export const SLOT_STATES: readonly SlotState[] = [
  'planned',
  'renting',
  'loading',
  'warm',
  'used',
  'released',
  'lost',
];

/** A count of 0 for each state. */
export const zeroSlotCounts = (): Record<SlotState, number> =>
  Object.fromEntries(SLOT_STATES.map((state) => [state, 0])) as Record<SlotState, number>;

/** The scale-out request that provides a slot's machine. */
export interface SlotRequest {
  /** Name of the request. If any leader sends it again, the cloud returns the same machines. */
  name: string;
  type: string;
  zone: string;
  /** Number of requested machines. */
  count: number;
  /** Index of the slot's machine among them, from 0. */
  position: number;
}

/**
 * An interval for which idle machine time is billed, in ms. Both ends are in the steady time of day of the
 * leading term.
 */
export interface HeldInterval {
  fromMs: number;
  /** Null while the interval is open. */
  toMs: number | null;
  /** The billed length may differ from the real one by this much, in ms. */
  uncertainMs: number;
  /**
   * By how much that term's time of day was set during the interval. The next term may agree with the time of
   * day before or after this change.
   */
  clockSetMs: number;
}

/** A slot; times are times of day in ms. */
export interface Slot {
  pool: string;
  burstMs: number;
  /** Number of the slot within its burst. */
  index: number;
  /** The team that pays. */
  team: string;
  state: SlotState;
  request: SlotRequest | null;
  /** Time of day in ms from which the request may be sent. */
  sendFromMs: number;
  machine: string | null;
  /** Share of the machine that the slot takes, and hourly price of the whole machine. */
  share: number;
  pricePerHour: number;
  held: HeldInterval | null;
  warmAtMs: number | null;
  /** Tasks with the model that were on the machine before the slot was assigned to it. */
  earlierTasks: readonly string[];
  /** The task that uses it, as `job/index#attempt`. */
  task: string | null;
  /** Why it was released or lost. */
  reason: string | null;
}

/** A machine that is assigned to a slot. */
export interface MachineAssignment {
  machine: string;
  share: number;
  pricePerHour: number;
  earlierTasks: readonly string[];
}

/** Events that change a slot. */
export type SlotEvent =
  /** The scale-out request for its machine was named. */
  | { kind: 'request-named'; request: SlotRequest }
  | { kind: 'request-due' }
  /** The cloud had no machine for it. */
  | { kind: 'request-refused' }
  /** `uncertainMs`: by how much later than `atMs` the machine may have been added. */
  | { kind: 'added'; assignment: MachineAssignment; atMs: number; uncertainMs: number }
  /** An existing machine was reserved for it. */
  | { kind: 'adopted'; assignment: MachineAssignment; atMs: number }
  | { kind: 'loaded'; atMs: number }
  /** The time of day was set; the length of the held interval does not change. */
  | { kind: 'clock-set'; byMs: number }
  /** A new term began, which measures by its own time of day. */
  | { kind: 'taken-over'; atMs: number }
  /** `uncertainMs`: by how much the replica's start may differ from `atMs`. */
  | { kind: 'used'; task: string; atMs: number; uncertainMs: number }
  | { kind: 'released'; reason: string; atMs: number }
  /** `atMs`: the last evidence of the machine, which may have existed for `uncertainMs` longer. */
  | { kind: 'lost'; reason: string; atMs: number; uncertainMs: number };

/** The states in which an event is allowed. */
const ALLOWED_STATES: Record<SlotEvent['kind'], readonly SlotState[]> = {
  'request-named': ['planned'],
  'request-due': ['planned'],
  // A slot gets no other request while the outcome of its request is open.
  'request-refused': ['renting'],
  added: ['renting'],
  adopted: ['planned'],
  loaded: ['loading'],
  'clock-set': ['loading', 'warm'],
  'taken-over': ['loading', 'warm'],
  used: ['loading', 'warm'],
  released: ['planned', 'loading', 'warm'],
  lost: ['loading', 'warm'],
};

/** Applies an event; slots change only by this function. Throws IllegalTransitionError. */
export function advanceSlot(slot: Slot, event: SlotEvent): Slot {
  if (!ALLOWED_STATES[event.kind].includes(slot.state)) {
    throw new IllegalTransitionError(`slot ${slotId(slot)}`, slot.state, event.kind);
  }
  switch (event.kind) {
    case 'request-named':
      return { ...slot, request: event.request };
    case 'request-due':
      if (slot.request === null)
        throw new IllegalTransitionError(
          `slot ${slotId(slot)}`,
          slot.state,
          `${event.kind} without a named request`,
        );
      return { ...slot, state: 'renting' };
    case 'request-refused':
      return { ...slot, state: 'planned', request: null };
    case 'added':
      return withMachine(slot, event.assignment, event.atMs, event.uncertainMs);
    case 'adopted':
      return { ...withMachine(slot, event.assignment, event.atMs, 0), request: null };
    case 'loaded':
      return { ...slot, state: 'warm', warmAtMs: event.atMs };
    case 'clock-set':
      return { ...slot, held: withClockSet(slot.held, event.byMs) };
    case 'taken-over':
      return { ...slot, held: withNewTerm(slot.held, event.atMs) };
    case 'used':
      return { ...ended(slot, 'used', event.atMs, event.uncertainMs), task: event.task };
    case 'released':
      return { ...ended(slot, 'released', event.atMs, 0), reason: event.reason };
    case 'lost':
      return { ...ended(slot, 'lost', event.atMs, event.uncertainMs), reason: event.reason };
  }
}

function withMachine(
  slot: Slot,
  assignment: MachineAssignment,
  fromMs: number,
  uncertainMs: number,
): Slot {
  return {
    ...slot,
    state: 'loading',
    ...assignment,
    held: { fromMs, toMs: null, uncertainMs, clockSetMs: 0 },
  };
}

const withClockSet = (held: HeldInterval | null, byMs: number): HeldInterval | null =>
  held === null ? null : { ...held, clockSetMs: held.clockSetMs + byMs };

/**
 * Converts the start of an interval to the time of day of a term that begins at `atMs`. If the time of day of
 * the previous term was set, the new term does not know which of its two values was right. The later of the two
 * possible starts counts, and the difference is uncertain; a start after `atMs` is ruled out.
 */
function withNewTerm(held: HeldInterval | null, atMs: number): HeldInterval | null {
  if (held === null || held.clockSetMs === 0) return held;
  const { fromMs, uncertainMs, clockSetMs } = held;
  const earlierMs = Math.min(fromMs, fromMs + clockSetMs);
  const laterMs = Math.max(fromMs, fromMs + clockSetMs);
  if (laterMs > atMs) return { ...held, fromMs: earlierMs, clockSetMs: 0 };
  const uncertainNowMs = uncertainMs + laterMs - earlierMs;
  return { ...held, fromMs: laterMs, uncertainMs: uncertainNowMs, clockSetMs: 0 };
}

/** Ends the slot and its interval. A clock that went back must not make the length negative. */
function ended(slot: Slot, state: SlotState, atMs: number, uncertainMs: number): Slot {
  if (slot.held === null) return { ...slot, state };
  const { fromMs } = slot.held;
  const held = {
    ...slot.held,
    toMs: Math.max(fromMs, atMs),
    uncertainMs: slot.held.uncertainMs + uncertainMs + Math.max(0, fromMs - atMs),
  };
  return { ...slot, state, held };
}

/** Whether a slot is in none of the final states. */
export const isOpen = ({ state }: Slot): boolean =>
  state === 'planned' || state === 'renting' || state === 'loading' || state === 'warm';

/** Whether a machine is reserved for the slot. */
export const isHeld = ({ state }: Slot): boolean => state === 'loading' || state === 'warm';

/** Identifier of a slot. */
export const slotId = ({
  pool,
  burstMs,
  index,
}: Pick<Slot, 'pool' | 'burstMs' | 'index'>): string => `${pool}/${burstMs}/${index}`;

/** Prefix of the keys of slots, below the subsystem's own prefix. */
export const SLOT_PREFIX = 'slot/';
/** Key of a slot, below the subsystem's own prefix. */
export const slotKey = (slot: Pick<Slot, 'pool' | 'burstMs' | 'index'>): string =>
  SLOT_PREFIX + slotId(slot);

// The stored record

const text = v.string();
const number = v.pipe(v.number(), v.finite());
const record = v.object({
  p: text,
  b: number,
  i: number,
  t: text,
  s: v.picklist(SLOT_STATES),
  r: v.optional(v.nullable(v.tuple([text, text, text, number, number])), null),
  f: number,
  m: v.optional(v.nullable(text), null),
  h: v.optional(number, 0),
  c: v.optional(number, 0),
  l: v.optional(v.nullable(v.tuple([number, v.nullable(number), number])), null),
  z: v.optional(number, 0),
  w: v.optional(v.nullable(number), null),
  o: v.optional(v.array(text), []),
  k: v.optional(v.nullable(text), null),
  y: v.optional(v.nullable(text), null),
});

/** The stored form of a slot. */
export function encodeSlot(slot: Slot): unknown {
  const { request, held } = slot;
  return {
    p: slot.pool,
    b: slot.burstMs,
    i: slot.index,
    t: slot.team,
    s: slot.state,
    r:
      request === null
        ? null
        : [request.name, request.type, request.zone, request.count, request.position],
    f: slot.sendFromMs,
    m: slot.machine,
    h: slot.share,
    c: slot.pricePerHour,
    l: held === null ? null : [held.fromMs, held.toMs, held.uncertainMs],
    ...(held === null || held.clockSetMs === 0 ? {} : { z: held.clockSetMs }),
    w: slot.warmAtMs,
    o: slot.earlierTasks,
    k: slot.task,
    y: slot.reason,
  };
}

/** Returns null for a record in another form, which is left unchanged. */
export function decodeSlot(value: unknown): Slot | null {
  const result = v.safeParse(record, value);
  if (!result.success) return null;
  const { p, b, i, t, s, r, f, m, h, c, l, z, w, o, k, y } = result.output;
  return {
    pool: p,
    burstMs: b,
    index: i,
    team: t,
    state: s,
    request:
      r === null ? null : { name: r[0], type: r[1], zone: r[2], count: r[3], position: r[4] },
    sendFromMs: f,
    machine: m,
    share: h,
    pricePerHour: c,
    held: l === null ? null : { fromMs: l[0], toMs: l[1], uncertainMs: l[2], clockSetMs: z },
    warmAtMs: w,
    earlierTasks: o,
    task: k,
    reason: y,
  };
}

/** A new slot in the state `planned`. */
export function plannedSlot(
  of: Pick<Slot, 'pool' | 'burstMs' | 'index' | 'team' | 'sendFromMs'>,
): Slot {
  return {
    ...of,
    state: 'planned',
    request: null,
    machine: null,
    share: 0,
    pricePerHour: 0,
    held: null,
    warmAtMs: null,
    earlierTasks: [],
    task: null,
    reason: null,
  };
}
