import { random } from '../random.js';
import { WakeableSleep, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { MachineType } from '../jobs/types.js';
import {
  SCALE_OUT_MAX,
  SCALE_IN_MAX,
  type ListedMachine,
  type ScaleOutRequest,
} from '../wire/cloud.js';
import { CloudError, type CloudClient } from './client.js';
import type { StoredScaleOutRequest } from '../subsystems/subsystem.js';
import type { MachineOrder } from './scale-out-plan.js';

/** Lags of the cloud's list after which a pending machine missing from it is dropped: one listed before, or never. */
const LISTED_TIMEOUT_LAGS = 2;
const UNLISTED_TIMEOUT_LAGS = 4;
/** Retention of returned machines' ids, in lags of the list: lists may still contain them. */
const RETURNED_RETENTION_LAGS = 20;

/** A machine that was added but has sent no heartbeat yet. */
export interface PendingMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  since: number;
  listed: boolean;
  running: boolean;
}

/** What a `MachineProvisioner` reads from its leadership term and reports to it. */
export interface ProvisionerHost {
  isEntitled(): boolean;
  /** Requests whose names are stored; sent before all others. */
  storedScaleOutRequests(): StoredScaleOutRequest[];
  /** Machines to add now. */
  machinesToAdd(): MachineOrder[];
  /** Machines to return now; their records are already marked. */
  machinesToRemove(): string[];
  machinesReturned(ids: string[]): void;
  isKnown(id: string): boolean;
  applyList(all: ListedMachine[]): void;
  onMachineTypes(types: MachineType[]): void;
}

/** Dependencies of a `MachineProvisioner`. */
export interface MachineProvisionerOptions {
  name: string;
  cloud: CloudClient;
  host: ProvisionerHost;
  lagS: number;
  bootS: (type: string) => number;
  clock: Clock;
  log: Log;
}

/** Scales out and in for the leader. Request names contain the incarnation, so they are never reused. */
export class MachineProvisioner {
  readonly pending = new Map<string, PendingMachine>();
  private readonly shortages = new Map<string, { until: number; fails: number }>();
  private readonly unanswered: { request: ScaleOutRequest; since: number }[] = [];
  /** Machines whose return the cloud confirmed; lists may still contain them. */
  private readonly returnedAt = new Map<string, number>();
  private nextRequestNumber = 0;
  private stopped = false;
  private lastListAt = -Infinity;
  private lastTypesAt = -Infinity;
  private readonly roundPause = new WakeableSleep();
  listedOnce = false;

  constructor(private readonly options: MachineProvisionerOptions) {}

  /** Whether the cloud recently had no capacity for this type and zone, spot or not. */
  isShort(type: string, zone: string, spot: boolean): boolean {
    const shortage = this.shortages.get(`${type} ${zone} ${spot}`);
    return shortage !== undefined && shortage.until > this.options.clock.now();
  }

  private recordShortage(kind: { type: string; zone: string; spot: boolean }): void {
    const key = `${kind.type} ${kind.zone} ${kind.spot}`;
    const shortage = this.shortages.get(key);
    const failures =
      shortage === undefined || this.options.clock.now() - shortage.until > 60
        ? 0
        : shortage.fails + 1;
    const retryDelayS = Math.min(this.options.bootS(kind.type), 5 * 2 ** failures);
    this.shortages.set(key, { until: this.options.clock.now() + retryDelayS, fails: failures });
  }

  /** Records that an added machine has sent its first heartbeat. */
  machineReported(id: string): void {
    this.pending.delete(id);
  }

  /** Starts the next round at once, because there are machines to add or return. */
  wake(): void {
    this.roundPause.wakeUp();
  }

  /** Runs provisioning rounds until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.options.host.isEntitled()) await this.runRound();
      } catch (error) {
        this.options.log.debug({ err: error }, 'provisioning round failed');
        await sleep(0.5 + random() * 0.5);
      }
      await this.roundPause.wait(0.5);
    }
  }

  private async runRound(): Promise<void> {
    const now = this.options.clock.now();
    if (now - this.lastTypesAt > 120) {
      this.options.host.onMachineTypes(await this.options.cloud.fetchMachineTypes());
      this.lastTypesAt = now;
    }
    const listIntervalS = this.pending.size > 0 ? this.options.lagS / 2 : this.options.lagS;
    if (!this.listedOnce || now - this.lastListAt > listIntervalS) {
      this.lastListAt = now;
      this.applyList(await this.options.cloud.listMachines());
    }
    if (this.stopped || !this.options.host.isEntitled()) return;
    const toReturn = this.options.host.machinesToRemove().slice(0, SCALE_IN_MAX);
    if (toReturn.length > 0 && (await this.options.cloud.scaleIn(toReturn))) {
      const returnedAtS = this.options.clock.now();
      for (const id of toReturn) {
        this.returnedAt.set(id, returnedAtS);
        this.pending.delete(id);
      }
      this.options.log.info({ machines: toReturn }, 'scale-in: machines returned');
      this.options.host.machinesReturned(toReturn);
    }
    await this.retryUnanswered();
    await this.sendStoredRequests();
    for (const wanted of this.options.host.machinesToAdd()) {
      for (let remaining = wanted.count; remaining > 0; remaining -= SCALE_OUT_MAX) {
        if (this.stopped || !this.options.host.isEntitled()) return;
        const request: ScaleOutRequest = {
          name: `${this.options.name}-${this.nextRequestNumber++}`,
          type: wanted.type,
          zone: wanted.zone,
          spot: wanted.spot,
          count: Math.min(remaining, SCALE_OUT_MAX),
        };
        await this.scaleOut(request, this.options.clock.now());
      }
    }
  }

  private async retryUnanswered(): Promise<void> {
    const retries = this.unanswered.splice(0, this.unanswered.length);
    for (const unanswered of retries) {
      // Not retried after 30 s: machines that it added appear in the list and by their heartbeats.
      if (this.options.clock.now() - unanswered.since < 30)
        await this.scaleOut(unanswered.request, unanswered.since);
    }
  }

  /** Every leader sends them until they are answered: the same request name gets the same answer. */
  private async sendStoredRequests(): Promise<void> {
    for (const storedRequest of this.options.host.storedScaleOutRequests()) {
      if (this.stopped || !this.options.host.isEntitled()) return;
      storedRequest.onSending();
      const result = await this.options.cloud.scaleOut(storedRequest.request);
      this.options.log.info(
        { request: storedRequest.request, result: result.how },
        'scale-out: stored request sent',
      );
      if (result.how === 'added') this.machinesAdded(storedRequest.request, result.ids);
      if (result.how === 'none') this.recordShortage(storedRequest.request);
      storedRequest.onAnswered(result);
    }
  }

  private machinesAdded({ type, zone, spot, count }: ScaleOutRequest, ids: string[]): void {
    const now = this.options.clock.now();
    for (const id of ids) {
      if (this.options.host.isKnown(id) || this.returnedAt.has(id)) continue;
      this.pending.set(id, { id, type, zone, spot, since: now, listed: false, running: false });
    }
    if (ids.length < count) this.recordShortage({ type, zone, spot });
  }

  private async scaleOut(request: ScaleOutRequest, since: number): Promise<void> {
    const result = await this.options.cloud.scaleOut(request);
    this.options.log.info({ request, result: result.how }, 'scale-out: request sent');
    switch (result.how) {
      case 'added':
        this.machinesAdded(request, result.ids);
        break;
      case 'none':
        this.recordShortage(request);
        break;
      case 'unknown':
        this.unanswered.push({ request, since });
        break;
      case 'refused':
        // An outage, or the rate limit was exceeded: nothing was added.
        throw new CloudError('rent', result.status);
    }
  }

  /** Scale-out requests whose outcome is unknown. */
  get unansweredRequests(): ScaleOutRequest[] {
    return this.unanswered.map((entry) => entry.request);
  }

  private applyList(all: ListedMachine[]): void {
    const now = this.options.clock.now();
    this.listedOnce = true;
    const listedIds = new Set<string>();
    for (const listed of all) {
      listedIds.add(listed.id);
      this.applyListedMachine(listed, now);
    }
    this.dropUnlisted(listedIds, now);
    this.options.host.applyList(all.filter((listed) => !this.returnedAt.has(listed.id)));
  }

  private applyListedMachine(listed: ListedMachine, now: number): void {
    const { id, type, zone, spot, ageS } = listed;
    const running = listed.state === 'running';
    const isReturned = this.returnedAt.has(id);
    if (isReturned || this.options.host.isKnown(id) || listed.state === 'failed') {
      this.pending.delete(id);
      return;
    }
    const pending = this.pending.get(id);
    if (pending === undefined) {
      this.pending.set(id, { id, type, zone, spot, since: now - ageS, listed: true, running });
      return;
    }
    pending.listed = true;
    pending.running ||= running;
  }

  /** Drops machines that the list has not contained for long enough: lists lag behind the cloud's state. */
  private dropUnlisted(listedIds: ReadonlySet<string>, now: number): void {
    const { lagS } = this.options;
    for (const { id, since, listed } of [...this.pending.values()]) {
      const timeoutS = lagS * (listed ? LISTED_TIMEOUT_LAGS : UNLISTED_TIMEOUT_LAGS);
      if (!listedIds.has(id) && now - since > timeoutS) this.pending.delete(id);
    }
    for (const [id, at] of [...this.returnedAt]) {
      if (now - at > lagS * RETURNED_RETENTION_LAGS) this.returnedAt.delete(id);
    }
  }

  /** Stops `run` after the call that is in progress. */
  stop(): void {
    this.stopped = true;
    this.roundPause.wakeUp();
  }
}
