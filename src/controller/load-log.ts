import { PerformanceObserver } from 'node:perf_hooks';
import type { Overload } from '../admission/overload.js';
import type { RequestQueue } from '../admission/request-queue.js';
import type { Clock } from '../clock.js';
import type { WorkTotal } from '../latency-histograms.js';
import type { HeartbeatCounts } from '../heartbeat/heartbeat-counts.js';
import type { Traffic } from '../http/client.js';
import type { Log } from '../log.js';

/**
 * Logs one line for each heartbeat interval, level `debug`, message `load`, with this controller's counters
 * since the previous line and its present gauges. docs/operators.md lists the fields. At other log levels it
 * is not constructed; the only remaining cost is an addition for each counter that it would read.
 */

/** The sources of a load line's counters and gauges. */
export interface LoadSources {
  clock: Clock;
  role: () => string;
  overload: Pick<Overload, 'delayS' | 'latenessS'>;
  requests: Pick<RequestQueue, 'size' | 'refused'>;
  heartbeats: HeartbeatCounts;
  /** Machines whose leases this controller, as leader, counted as lost since its start. */
  machinesLost: () => number;
  /** Messages to and from the key-value store. */
  stateTraffic: () => Traffic;
  passes: WorkTotal;
}

/** Present values. */
interface Gauges {
  role: string;
  requests_waiting: number;
  delay_ms: number;
  late_ms: number;
  rss_mb: number;
  heap_mb: number;
}

/** Totals since the start; a line contains their increase since the previous line. */
interface Counters {
  interval_ms: number;
  reports_answered: number;
  reports_answered_for_peers: number;
  reports_kept: number;
  reports_passed_on: number;
  reports_passed_on_failed: number;
  reports_dropped: number;
  submissions_refused: number;
  polls_refused: number;
  cancellations_refused: number;
  machines_lost: number;
  state_sent: number;
  state_sent_bytes: number;
  state_received: number;
  state_received_bytes: number;
  passes: number;
  pass_ms: number;
  gc_ms: number;
  cpu_ms: number;
}

/** The fields of a load line; docs/operators.md explains each. */
export type LoadLine = Gauges & Counters;

const BYTES_PER_MB = 1e6;
const MS_DIGITS = 1;

const rounded = (value: number): number => Number(value.toFixed(MS_DIGITS));

/** Logs a controller's load. Constructed only if the log level is `debug`. */
export class LoadLog {
  private previous: Counters;
  private gcMs = 0;
  private readonly gcObserver: PerformanceObserver;

  constructor(
    private readonly sources: LoadSources,
    private readonly log: Pick<Log, 'debug'>,
  ) {
    this.gcObserver = new PerformanceObserver((list) => {
      for (const entry of list.getEntries()) this.gcMs += entry.duration;
    });
    this.gcObserver.observe({ entryTypes: ['gc'] });
    this.previous = this.counters();
  }

  /** Logs a line with the increases since the previous call. */
  write(): void {
    const current = this.counters();
    const line: LoadLine = { ...this.gauges(), ...difference(current, this.previous) };
    this.previous = current;
    this.log.debug(line, 'load');
  }

  /** Stops observing garbage collections. */
  stop(): void {
    this.gcObserver.disconnect();
  }

  private gauges(): Gauges {
    const { role, requests, overload } = this.sources;
    const memory = process.memoryUsage();
    return {
      role: role(),
      requests_waiting: requests.size,
      delay_ms: rounded(overload.delayS * 1000),
      late_ms: rounded(overload.latenessS * 1000),
      rss_mb: rounded(memory.rss / BYTES_PER_MB),
      heap_mb: rounded(memory.heapUsed / BYTES_PER_MB),
    };
  }

  private counters(): Counters {
    const { clock, heartbeats, requests, machinesLost, stateTraffic, passes } = this.sources;
    const { refused } = requests;
    const traffic = stateTraffic();
    const cpu = process.cpuUsage();
    return {
      interval_ms: clock.now() * 1000,
      reports_answered: heartbeats.answered,
      reports_answered_for_peers: heartbeats.answeredForPeers,
      reports_kept: heartbeats.renewedForLeader,
      reports_passed_on: heartbeats.forwarded,
      reports_passed_on_failed: heartbeats.forwardingFailed,
      reports_dropped: refused.report,
      submissions_refused: refused.submission,
      polls_refused: refused.poll,
      cancellations_refused: refused.cancellation,
      machines_lost: machinesLost(),
      state_sent: traffic.sent,
      state_sent_bytes: traffic.sentBytes,
      state_received: traffic.received,
      state_received_bytes: traffic.receivedBytes,
      passes: passes.count,
      pass_ms: passes.seconds * 1000,
      gc_ms: this.gcMs,
      cpu_ms: (cpu.user + cpu.system) / 1000,
    };
  }
}

function difference(current: Counters, previous: Counters): Counters {
  const names = Object.keys(current) as (keyof Counters)[];
  return Object.fromEntries(
    names.map((name) => [name, rounded(current[name] - previous[name])]),
  ) as unknown as Counters;
}
