/** Alarms of warm pools for operators. */

import type { Log } from '../log.js';

/** Kinds of alarms. */
export type AlarmKind =
  /** No machine type that the pool allows fits its slots. */
  | 'unknown_type'
  /** The cloud has no machine for the pool at present. */
  | 'no_capacity'
  /** A burst has begun with fewer warm slots than declared. */
  | 'late'
  /** The budget of the period is spent. */
  | 'budget_exhausted'
  /** The team's limit does not allow all slots. */
  | 'over_team_limit'
  /** So many slots of a burst were lost that no more are added. */
  | 'too_many_losses'
  /** The machine's clock differs from the time of day that the controller uses. */
  | 'clock_jump';

interface Alarm {
  kind: AlarmKind;
  pool: string;
  detail: string;
}

/** The active alarms. Each one is logged when it begins and when it ends. */
export class Alarms {
  private current = new Map<string, Alarm>();
  private next = new Map<string, Alarm>();

  constructor(private readonly log: Log) {}

  /** Raises an alarm in the current round. An alarm that is not raised again in the next round has ended. */
  raise(kind: AlarmKind, pool: string, detail: string): void {
    this.next.set(`${kind}:${pool}`, { kind, pool, detail });
  }

  /** Logs alarms that are new since the previous round and alarms that have ended. */
  endRound(): void {
    for (const [key, alarm] of this.next) {
      if (!this.current.has(key)) this.log.info({ ...alarm }, 'warm pools: alarm');
    }
    for (const [key, { kind, pool }] of this.current) {
      if (!this.next.has(key)) this.log.info({ kind, pool }, 'warm pools: alarm over');
    }
    this.current = this.next;
    this.next = new Map();
  }

  /** Whether the alarm was raised in the latest round. */
  has(kind: AlarmKind, pool: string): boolean {
    return this.current.has(`${kind}:${pool}`);
  }

  /** For metrics: `late:tutor (2 of 8 warm); …`; empty without alarms. */
  describe(): string {
    return [...this.current].map(([key, { detail }]) => `${key} (${detail})`).join('; ');
  }
}
