/** Warm pools as a subsystem of the controller. */

import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { OwnedRecord, Subsystem, SubsystemTerm, TermView } from '../subsystems/subsystem.js';
import type { WarmPoolsConfig } from './declaration.js';
import { WorkerCacheLoader, type ModelLoader } from './model-loader.js';
import { ModelServerLoader } from './model-server-loader.js';
import { poolsView, type PoolsView } from './view.js';
import { WarmPoolsTerm } from './warm-pools-term.js';

/** Name of the subsystem in keys of the store. */
export const WARM_POOLS = 'warm-pools';

/** Interval between requests to a model server, in heartbeat intervals, and their time-out, in leases. */
const MODEL_POLL_HEARTBEATS = 1;
const MODEL_REQUEST_TIMEOUT_LEASES = 0.25;

/** Warm pools as a subsystem of a controller. */
export class WarmPools implements Subsystem {
  readonly name = WARM_POOLS;

  constructor(
    private readonly config: WarmPoolsConfig,
    private readonly clock: Clock,
  ) {}

  /** See `Subsystem.beginTerm`. */
  beginTerm(view: TermView): SubsystemTerm {
    return new WarmPoolsTerm(view, this.config, this.loader(view));
  }

  private loader(view: TermView): ModelLoader {
    const { loader, modelServerPort } = this.config;
    if (loader === 'worker-cache' || modelServerPort === null) return new WorkerCacheLoader();
    const { report_s, lease_s } = view.settings.workers;
    return new ModelServerLoader({
      port: modelServerPort,
      token: view.token,
      pollIntervalS: report_s * MODEL_POLL_HEARTBEATS,
      timeoutS: lease_s * MODEL_REQUEST_TIMEOUT_LEASES,
      clock: this.clock,
      log: view.log,
    });
  }

  /** See `Subsystem.view`. */
  view(records: ReadonlyMap<string, OwnedRecord>, _settings: Settings, wallMs: number): PoolsView {
    return poolsView(records, this.config.pools, wallMs);
  }
}
