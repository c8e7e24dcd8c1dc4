import { fits, type JobSpec, type MachineType } from '../jobs/types.js';
import type { HotImage } from '../scheduler/bin-packing.js';
import { shareTaken } from '../scheduler/room.js';
import { MAX_REPORTED_TASKS } from '../wire/workers.js';
import { warmTarget, type Arrival } from './warm-capacity.js';

/** Observation windows, in boot times of the slowest machine type. */
const HOT_IMAGE_WINDOW_BOOTS = 12;
const WARM_TARGET_WINDOW_BOOTS = 8;
/** Time that warm capacity has to bridge: a boot, with a margin for slow ones. */
const LOOKAHEAD_BOOTS = 1.2;
/** Largest number of images, with task sizes, that are tracked as needed soon. */
const MAX_HOT_IMAGES = 32;
/** Share of the capacity freed by ended services that new jobs can use. */
const REUSED_SHARE = 0.7;
/** Tasks of one job that are counted at most: no warm capacity is kept for the rest of a larger job. */
const MAX_TASKS_PER_JOB = 50;

/** Size of a machine or task: its GPUs or, without any, its cores. */
export const capacityUnits = (size: { gpus: number; cores: number }): number =>
  size.gpus > 0 ? size.gpus : size.cores;

interface JobEvent {
  spec: JobSpec;
  atMs: number;
}

/**
 * Estimates demand from recent jobs, except best-effort ones. The estimates are refreshed once in
 * `refreshIntervalS`, however many scheduling cycles ask for them.
 */
export class DemandForecast {
  private arrivals: JobEvent[] = [];
  private departures: JobEvent[] = [];
  private readonly firstArrivalMs = new Map<boolean, number>();
  private latestHotImages: HotImage[] = [];
  private readonly latestWarmTargets = new Map<boolean, number>();
  private lastRefreshMs = -Infinity;

  constructor(
    private readonly wallMs: () => number,
    private readonly refreshIntervalS: number,
    private readonly types: () => MachineType[],
  ) {}

  /** Records that a service has ended: new jobs can use the capacity that it frees. */
  serviceEnded(spec: JobSpec): void {
    if (spec.priority === 3) return;
    this.departures.push({ spec, atMs: this.wallMs() });
  }

  /** Records that a job became ready at this time of day, in ms. */
  jobBecameReady(spec: JobSpec, atMs: number): void {
    if (spec.priority === 3) return;
    this.firstArrivalMs.set(
      spec.spot,
      Math.min(atMs, this.firstArrivalMs.get(spec.spot) ?? Infinity),
    );
    this.arrivals.push({ spec, atMs });
  }

  private refresh(): void {
    const now = this.wallMs();
    if (Math.abs(now - this.lastRefreshMs) < this.refreshIntervalS * 1000) return;
    this.lastRefreshMs = now;
    const types = this.types();
    const bootS = Math.max(1, ...types.map((type) => type.bootS));
    const from = now - Math.max(HOT_IMAGE_WINDOW_BOOTS, WARM_TARGET_WINDOW_BOOTS) * bootS * 1000;
    this.arrivals = this.arrivals.filter((job) => job.atMs >= from);
    this.departures = this.departures.filter((job) => job.atMs >= from);
    this.latestHotImages = this.computeHotImages(now, bootS);
    for (const spot of [false, true])
      this.latestWarmTargets.set(spot, this.computeWarmTarget(now, bootS, spot));
  }

  private computeHotImages(now: number, bootS: number): HotImage[] {
    const windowS = bootS * HOT_IMAGE_WINDOW_BOOTS;
    const byShape = new Map<string, HotImage>();
    for (const { spec, atMs } of this.arrivals) {
      if (atMs < now - windowS * 1000) continue;
      const key = `${spec.image} ${spec.gpus} ${spec.cores}`;
      const hotImage = byShape.get(key) ?? {
        image: spec.image,
        gb: spec.imageGb,
        spec,
        expectedTasks: 0,
      };
      hotImage.expectedTasks += (Math.min(spec.tasks, MAX_TASKS_PER_JOB) * bootS) / windowS;
      byShape.set(key, hotImage);
    }
    return [...byShape.values()]
      .sort((a, b) => b.expectedTasks * b.gb - a.expectedTasks * a.gb)
      .slice(0, MAX_HOT_IMAGES);
  }

  private computeWarmTarget(now: number, bootS: number, spot: boolean): number {
    const types = this.types();
    const toArrivals = (events: JobEvent[]): Arrival[] => {
      const out: Arrival[] = [];
      for (const { spec, atMs } of events) {
        if (spec.spot !== spot) continue;
        const type = types.find((type) => fits(spec, type));
        if (type === undefined) continue;
        out.push({
          atMs,
          size:
            shareTaken(spec, { ...type, taskSlots: MAX_REPORTED_TASKS }) *
            Math.min(spec.tasks, MAX_TASKS_PER_JOB),
        });
      }
      return out;
    };
    return warmTarget(
      toArrivals(this.arrivals),
      toArrivals(this.departures),
      this.firstArrivalMs.get(spot) ?? Infinity,
      now,
      bootS * WARM_TARGET_WINDOW_BOOTS,
      bootS * LOOKAHEAD_BOOTS,
      { mean: 1, deviations: 1.5, least: spot ? 0 : 1, reused: REUSED_SHARE },
    );
  }

  /** Images of recent jobs with the tasks expected within a boot. The list is the same until the next refresh. */
  hotImages(): HotImage[] {
    this.refresh();
    return this.latestHotImages;
  }

  /** Warm capacity to keep, in machines. */
  warmTarget(spot: boolean): number {
    this.refresh();
    return this.latestWarmTargets.get(spot) ?? 0;
  }
}
