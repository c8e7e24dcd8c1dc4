/**
 * Fixtures of the tests of warm pools: an in-memory cloud, and a leader with warm pools that uses it, the
 * in-memory store and simulated workers. Time is advanced by hand, and nothing opens a socket.
 */
import type { CloudClient, ScaleOutResult } from '../../src/cloud/client.js';
import type { MachineProvisioner } from '../../src/cloud/provisioner.js';
import { parseFeatures } from '../../src/features/features-file.js';
import type { MachineType } from '../../src/jobs/types.js';
import type { ListedMachine, ScaleOutRequest } from '../../src/wire/cloud.js';
import { decodeSlot, SLOT_PREFIX, type Slot } from '../../src/warm-pools/slot.js';
import { poolsView, type BillRow } from '../../src/warm-pools/view.js';
import { WARM_POOLS, WarmPools } from '../../src/warm-pools/warm-pools.js';
import { g8, settings } from '../helpers.js';
import { fake } from './fake.js';
import { LeaderWorld } from './leader-world.js';
import type { Worker } from './simulated-fleet.js';
import * as records from '../../src/store/records.js';

/** Second of the tests' clock at which the declared burst begins: 13:47:00 on 12 January 1970, UTC. */
export const BURST_AT_S = 20;
/** Seconds for which unused slots stay. */
export const HOLD_S = 20;
/** Seconds from a scale-out to the worker's first heartbeat. */
const BOOT_S = 1;

/** How the cloud handles the next requests. */
export type CloudMode = 'serve' | 'trouble' | 'no capacity' | 'lose answers';

interface SimulatedMachine {
  request: ScaleOutRequest;
  addedAt: number;
  removedAt: number | null;
}

/** A cloud according to the protocol: a request's name always returns the same machines. */
class InMemoryCloud implements Pick<
  CloudClient,
  'fetchMachineTypes' | 'listMachines' | 'scaleOut' | 'scaleIn'
> {
  mode: CloudMode = 'serve';
  /** Number of machines that the cloud can still provide. */
  remainingMachines = Infinity;
  bootS = BOOT_S;
  calls = 0;
  readonly machines = new Map<string, SimulatedMachine>();
  private readonly answeredRequests = new Map<string, string[]>();
  private counter = 0;
  world!: WarmPoolWorld;

  /** This cloud as a `CloudClient`. */
  client(): CloudClient {
    return fake<CloudClient>(this);
  }

  /** See `CloudClient.fetchMachineTypes`. */
  fetchMachineTypes(): Promise<MachineType[]> {
    return this.mode === 'trouble' ? Promise.reject(new Error('503')) : Promise.resolve([g8]);
  }

  /** See `CloudClient.listMachines`. */
  listMachines(): Promise<ListedMachine[]> {
    if (this.mode === 'trouble') return Promise.reject(new Error('503'));
    const { now } = this.world;
    const listed: ListedMachine[] = [];
    for (const [id, { request, addedAt, removedAt }] of this.machines) {
      if (removedAt !== null) continue;
      const state = this.world.fleet.workers.has(id) ? 'running' : 'booting';
      const { type, zone, spot } = request;
      listed.push({ id, addr: '127.0.0.1:1', type, zone, spot, state, ageS: now - addedAt });
    }
    return Promise.resolve(listed);
  }

  /** See `CloudClient.scaleOut`; `mode` decides the outcome. */
  scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    this.calls++;
    if (this.mode === 'trouble') return Promise.resolve({ how: 'refused', status: 503 });
    if (this.mode === 'no capacity') return Promise.resolve({ how: 'none' });
    const ids = this.answeredRequests.get(request.name) ?? this.boot(request);
    if (this.mode === 'lose answers') return Promise.resolve({ how: 'unknown' });
    return Promise.resolve(ids.length === 0 ? { how: 'none' } : { how: 'added', ids });
  }

  private boot(request: ScaleOutRequest): string[] {
    const count = Math.min(request.count, this.remainingMachines);
    this.remainingMachines -= count;
    const ids = Array.from(
      { length: count },
      () => `host-${String(++this.counter).padStart(6, '0')}`,
    );
    for (const id of ids) {
      this.machines.set(id, { request, addedAt: this.world.now, removedAt: null });
    }
    if (ids.length > 0) this.answeredRequests.set(request.name, ids);
    return ids;
  }

  /** See `CloudClient.scaleIn`. */
  scaleIn(ids: string[]): Promise<boolean> {
    if (this.mode === 'trouble') return Promise.resolve(false);
    for (const id of ids) {
      const machine = this.machines.get(id);
      if (machine !== undefined) machine.removedAt ??= this.world.now;
      this.world.fleet.workers.delete(id);
    }
    return Promise.resolve(true);
  }

  /** Machines whose boot is over begin to send heartbeats. */
  completeBoots(): void {
    for (const [id, { request, addedAt, removedAt }] of this.machines) {
      if (removedAt !== null || this.world.fleet.workers.has(id) || this.dead.has(id)) continue;
      if (this.world.now - addedAt >= this.bootS) this.world.fleet.add(id, request.zone);
    }
  }

  private readonly dead = new Set<string>();

  /** The machine fails at once and disappears from the list. */
  kill(id: string): void {
    this.dead.add(id);
    this.world.fleet.workers.delete(id);
    this.machines.get(id)!.removedAt = this.world.now;
  }

  /** Those of them that were added by requests of slots. */
  get slotMachineIds(): string[] {
    return this.machineIds.filter((id) => this.machines.get(id)!.request.name.includes(WARM_POOLS));
  }

  /** Machines that exist now. */
  get machineIds(): string[] {
    return [...this.machines].filter(([, m]) => m.removedAt === null).map(([id]) => id);
  }
}

/** A pool of two slots of half a machine each, with a burst at `BURST_AT_S`. */
export const poolText = (over: Record<string, string | number | boolean> = {}): string => {
  const fields = {
    name: 'tutor', image: 'tutor-1', image_gb: 1, cores: 4, gpus: 4, mem_gb: 8, slots: 2,
    schedule: '0 47 13 * * *', time_zone: 'UTC', hold_s: HOLD_S, team: 't', ...over,
  }; // prettier-ignore
  const lines = Object.entries(fields).map(([key, value]) => `${key} = ${JSON.stringify(value)}`);
  return `[[warm_pools.pools]]\n${lines.join('\n')}\n`;
};

/** Declared without a team limit, so that only the limit of the leader's settings applies. */
export function warmPools(text: string, clock = { now: () => 0 }): WarmPools {
  const teams = new Map([['t', { name: 't', cores: 0, coresMax: 0, gpus: 0, gpusMax: 0 }]]);
  return new WarmPools(parseFeatures(text, { ...settings(), teams }, 0).warmPools!, clock);
}

interface ProvisionerInternals {
  runRound(): Promise<void>;
}

/** A world whose leader has warm pools. A successor may have other pools. */
export class WarmPoolWorld extends LeaderWorld {
  readonly cloud: InMemoryCloud;
  private readonly subsystems: WarmPools[];

  constructor(text = poolText(), gpusMax = 100) {
    const cloud = new InMemoryCloud();
    const list = [warmPools(text)];
    super(gpusMax, { subsystems: list, cloud: cloud.client() });
    this.cloud = cloud;
    this.subsystems = list;
    cloud.world = this;
  }

  /** Sets the features file of later leaders; null: none. */
  declare(text: string | null): void {
    this.subsystems.splice(0, this.subsystems.length, ...(text === null ? [] : [warmPools(text)]));
  }

  private get provisioner(): MachineProvisioner {
    return this.parts.capacity.provisioner;
  }

  /** The leader sends its requests to the cloud. */
  async cloudRound(): Promise<void> {
    await (this.provisioner as unknown as ProvisionerInternals).runRound().catch(() => undefined);
  }

  /** Like `LeaderWorld.run`, with the rounds of the cloud. */
  override async run(seconds: number): Promise<void> {
    const { report_s } = this.settings.workers;
    for (let left = seconds; left > 1e-9; left -= report_s) {
      await super.run(report_s);
      await this.cloudRound();
      this.cloud.completeBoots();
      await this.writeAll();
    }
  }

  /** Advances the time to this second. */
  runUntil(at: number): Promise<void> {
    return this.run(at - this.now);
  }

  /** The stored slots. */
  slots(): Slot[] {
    const prefix = records.subsystemPrefix(WARM_POOLS) + SLOT_PREFIX;
    return this.store
      .keys()
      .filter((key) => key.startsWith(prefix))
      .map((key) => decodeSlot(this.store.value(key))!);
  }

  /** States of a pool's stored slots, sorted. */
  states(pool = 'tutor'): string {
    const states = this.slots().filter((slot) => slot.pool === pool);
    return states
      .map(({ state }) => state)
      .sort()
      .join(' ');
  }

  /** The bill in the view for operators. */
  bill(): BillRow[] {
    return poolsView(this.replica.subsystems.forSubsystem(WARM_POOLS), [], this.wallMs()).bill;
  }

  /** The alarms in `/metrics`. */
  alarms(): string {
    return String(this.leader.statistics().warm_pools_alarms);
  }

  /** An existing worker. */
  worker(id: string): Worker {
    return this.fleet.workers.get(id)!;
  }

  /** Submits a replica of the pool's model. */
  replicaJob(id: string, image = 'tutor-1', over = {}): void {
    this.submitJob({
      id,
      kind: 'service',
      priority: 0,
      image,
      cores: 4,
      gpus: 4,
      memGb: 8,
      ...over,
    });
  }

  /** Machines on which tasks of a job run. */
  hosts(id: string): string[] {
    return [...this.fleet.workers.values()]
      .filter((worker) => worker.running(id).length > 0)
      .map((worker) => worker.id);
  }
}
