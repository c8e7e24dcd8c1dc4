import { fits, type JobSpec, type MachineType } from '../jobs/types.js';
import type { HotImage } from '../scheduler/bin-packing.js';
import { warmTarget, type Arrival } from './warm-capacity.js';

/** Windows of observation, in boots of the slowest machine type. */
const HOT_BOOTS = 12;
const WARM_BOOTS = 8;
/** What is to be bridged by warm capacity: a boot and the slower ones among them. */
const AHEAD_BOOTS = 1.2;
/** Images that are told apart as wanted soon, at most. */
const HOT_MOST = 32;
/** Of the capacity that ended work leaves, the share that fits those that come. */
const REUSED = 0.7;
/** One job counts for so many tasks at most: what is larger than that is not kept capacity for. */
const TASKS_MOST = 50;

/** GPUs or, without any, cores: what machines and tasks are measured in. */
export const unitsOf = (size: { gpus: number; cores: number }): number =>
  size.gpus > 0 ? size.gpus : size.cores;

interface SeenJob {
  spec: JobSpec;
  atMs: number;
}

/**
 * Jobs that came lately, best effort aside: what is likely to come next is estimated from them. What
 * is derived is refreshed once in `everyS`, however many passes ask for it.
 */
export class DemandForecast {
  private recent: SeenJob[] = [];
  private gone: SeenJob[] = [];
  private readonly firstMs = new Map<boolean, number>();
  private hotList: HotImage[] = [];
  private readonly targets = new Map<boolean, number>();
  private refreshedMs = -Infinity;

  constructor(
    private readonly wallMs: () => number,
    private readonly everyS: number,
    private readonly types: () => MachineType[],
  ) {}

  /** A service has ended: the capacity that it leaves serves those that come. */
  jobLeft(spec: JobSpec): void {
    if (spec.priority === 3) return;
    this.gone.push({ spec, atMs: this.wallMs() });
  }

  /** A job became ready at this time of day, in ms. */
  jobArrived(spec: JobSpec, atMs: number): void {
    if (spec.priority === 3) return;
    this.firstMs.set(spec.spot, Math.min(atMs, this.firstMs.get(spec.spot) ?? Infinity));
    this.recent.push({ spec, atMs });
  }

  private refresh(): void {
    const now = this.wallMs();
    if (Math.abs(now - this.refreshedMs) < this.everyS * 1000) return;
    this.refreshedMs = now;
    const types = this.types();
    const bootS = Math.max(1, ...types.map((type) => type.bootS));
    const from = now - Math.max(HOT_BOOTS, WARM_BOOTS) * bootS * 1000;
    this.recent = this.recent.filter((job) => job.atMs >= from);
    this.gone = this.gone.filter((job) => job.atMs >= from);
    this.hotList = this.hotNow(now, bootS);
    for (const spot of [false, true]) this.targets.set(spot, this.targetNow(now, bootS, spot));
  }

  private hotNow(now: number, bootS: number): HotImage[] {
    const windowS = bootS * HOT_BOOTS;
    const by = new Map<string, HotImage>();
    for (const { spec, atMs } of this.recent) {
      if (atMs < now - windowS * 1000) continue;
      const key = `${spec.image} ${spec.gpus} ${spec.cores}`;
      const hotImage = by.get(key) ?? { image: spec.image, gb: spec.imageGb, spec, expected: 0 };
      hotImage.expected += (Math.min(spec.tasks, TASKS_MOST) * bootS) / windowS;
      by.set(key, hotImage);
    }
    return [...by.values()]
      .sort((a, b) => b.expected * b.gb - a.expected * a.gb)
      .slice(0, HOT_MOST);
  }

  private targetNow(now: number, bootS: number, spot: boolean): number {
    const types = this.types();
    const sized = (seen: SeenJob[]): Arrival[] => {
      const out: Arrival[] = [];
      for (const { spec, atMs } of seen) {
        if (spec.spot !== spot) continue;
        const type = types.find((type) => fits(spec, type));
        if (type === undefined) continue;
        out.push({
          atMs,
          size: (unitsOf(spec) / unitsOf(type)) * Math.min(spec.tasks, TASKS_MOST),
        });
      }
      return out;
    };
    return warmTarget(
      sized(this.recent),
      sized(this.gone),
      this.firstMs.get(spot) ?? Infinity,
      now,
      bootS * WARM_BOOTS,
      bootS * AHEAD_BOOTS,
      { mean: 1, deviations: 1, least: spot ? 0 : 1, reused: REUSED },
    );
  }

  /** Images of recent jobs with the tasks expected within a boot. The same list until refreshed. */
  hotImages(): HotImage[] {
    this.refresh();
    return this.hotList;
  }

  /** Free capacity to keep, in machines. */
  warmTarget(spot: boolean): number {
    this.refresh();
    return this.targets.get(spot) ?? 0;
  }
}
