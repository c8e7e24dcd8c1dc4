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

/** Lags of the cloud's list after which a machine that it does not name is given up: listed before, or never. */
const LISTED_LAGS = 2;
const UNLISTED_LAGS = 4;
/** Lags for which a returned machine is remembered: lists may still name it. */
const RETURNED_LAGS = 20;

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

/** What a `MachineProvisioner` asks and tells its term. */
export interface ProvisionerHost {
  isEntitled(): boolean;
  /** Requests under names that are stored: sent before all others. */
  storedScaleOutRequests(): StoredScaleOutRequest[];
  /** Which machines to add now. */
  machinesToAdd(): MachineOrder[];
  /** Machines to give back now, their records already marked. */
  machinesToRemove(): string[];
  machinesReturned(ids: string[]): void;
  isKnown(id: string): boolean;
  applyList(all: ListedMachine[]): void;
  onMachineTypes(types: MachineType[]): void;
}

/** What a `MachineProvisioner` works with. */
export interface MachineProvisionerOptions {
  name: string;
  cloud: CloudClient;
  host: ProvisionerHost;
  lagS: number;
  bootS: (type: string) => number;
  clock: Clock;
  log: Log;
}

/** Scale-out and scale-in for the leader. Request names carry the incarnation: they never recur. */
export class MachineProvisioner {
  readonly pending = new Map<string, PendingMachine>();
  private readonly shortages = new Map<string, { until: number; fails: number }>();
  private readonly unanswered: { request: ScaleOutRequest; since: number }[] = [];
  /** What the cloud confirmed as gone; lists may still name them. */
  private readonly returnedAt = new Map<string, number>();
  private counter = 0;
  private stopped = false;
  private listAt = -Infinity;
  private typesAt = -Infinity;
  private readonly pause = new WakeableSleep();
  listedOnce = false;

  constructor(private readonly options: MachineProvisionerOptions) {}

  /** Whether the cloud has just had no machine of this type, zone and kind. */
  isShort(type: string, zone: string, spot: boolean): boolean {
    const shortage = this.shortages.get(`${type} ${zone} ${spot}`);
    return shortage !== undefined && shortage.until > this.options.clock.now();
  }

  private recordShortage(kind: { type: string; zone: string; spot: boolean }): void {
    const key = `${kind.type} ${kind.zone} ${kind.spot}`;
    const shortage = this.shortages.get(key);
    const fails =
      shortage === undefined || this.options.clock.now() - shortage.until > 60
        ? 0
        : shortage.fails + 1;
    const pause = Math.min(this.options.bootS(kind.type), 5 * 2 ** fails);
    this.shortages.set(key, { until: this.options.clock.now() + pause, fails });
  }

  /** A machine that was added has sent its first heartbeat. */
  machineReported(id: string): void {
    this.pending.delete(id);
  }

  /** There is something to add or give back: the next round begins at once. */
  wake(): void {
    this.pause.wakeUp();
  }

  /** Scales out and in, round after round, until `stop`. */
  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.options.host.isEntitled()) await this.runRound();
      } catch (error) {
        this.options.log.debug({ err: error }, 'provisioning round failed');
        await sleep(0.5 + random() * 0.5);
      }
      await this.pause.wait(0.5);
    }
  }

  private async runRound(): Promise<void> {
    const now = this.options.clock.now();
    if (now - this.typesAt > 120) {
      this.options.host.onMachineTypes(await this.options.cloud.fetchMachineTypes());
      this.typesAt = now;
    }
    const every = this.pending.size > 0 ? this.options.lagS / 2 : this.options.lagS;
    if (!this.listedOnce || now - this.listAt > every) {
      this.listAt = now;
      this.applyList(await this.options.cloud.listMachines());
    }
    if (this.stopped || !this.options.host.isEntitled()) return;
    const back = this.options.host.machinesToRemove().slice(0, SCALE_IN_MAX);
    if (back.length > 0 && (await this.options.cloud.scaleIn(back))) {
      const at = this.options.clock.now();
      for (const id of back) {
        this.returnedAt.set(id, at);
        this.pending.delete(id);
      }
      this.options.log.info({ machines: back }, 'scale-in: machines returned');
      this.options.host.machinesReturned(back);
    }
    await this.retryUnanswered();
    await this.sendStoredRequests();
    for (const wanted of this.options.host.machinesToAdd()) {
      for (let left = wanted.count; left > 0; left -= SCALE_OUT_MAX) {
        if (this.stopped || !this.options.host.isEntitled()) return;
        const request: ScaleOutRequest = {
          name: `${this.options.name}-${this.counter++}`,
          type: wanted.type,
          zone: wanted.zone,
          spot: wanted.spot,
          count: Math.min(left, SCALE_OUT_MAX),
        };
        await this.scaleOut(request, this.options.clock.now());
      }
    }
  }

  private async retryUnanswered(): Promise<void> {
    const again = this.unanswered.splice(0, this.unanswered.length);
    for (const unanswered of again) {
      // Given up after a while: whatever it added shows up in the list and by its heartbeats.
      if (this.options.clock.now() - unanswered.since < 30)
        await this.scaleOut(unanswered.request, unanswered.since);
    }
  }

  /** Each is asked for until it is answered, by whoever leads: the name is the same, and so is the answer. */
  private async sendStoredRequests(): Promise<void> {
    for (const storedRequest of this.options.host.storedScaleOutRequests()) {
      if (this.stopped || !this.options.host.isEntitled()) return;
      storedRequest.sending();
      const result = await this.options.cloud.scaleOut(storedRequest.request);
      this.options.log.info(
        { request: storedRequest.request, result: result.how },
        'scale-out: stored request sent',
      );
      if (result.how === 'added') this.machinesAdded(storedRequest.request, result.ids);
      if (result.how === 'none') this.recordShortage(storedRequest.request);
      storedRequest.answered(result);
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
        // An outage, or too many calls: nothing was added.
        throw new CloudError('rent', result.status);
    }
  }

  /** Whether requests are under way whose outcome is open. */
  get unansweredRequests(): ScaleOutRequest[] {
    return this.unanswered.map((entry) => entry.request);
  }

  private applyList(all: ListedMachine[]): void {
    const now = this.options.clock.now();
    this.listedOnce = true;
    const names = new Set<string>();
    for (const listed of all) {
      names.add(listed.id);
      this.noteListed(listed, now);
    }
    this.dropUnlisted(names, now);
    this.options.host.applyList(all.filter((listed) => !this.returnedAt.has(listed.id)));
  }

  private noteListed(listed: ListedMachine, now: number): void {
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

  /** Lists lag: what is missing from one is given time to appear, or to disappear for certain. */
  private dropUnlisted(names: ReadonlySet<string>, now: number): void {
    const { lagS } = this.options;
    for (const { id, since, listed } of [...this.pending.values()]) {
      const patienceS = lagS * (listed ? LISTED_LAGS : UNLISTED_LAGS);
      if (!names.has(id) && now - since > patienceS) this.pending.delete(id);
    }
    for (const [id, at] of [...this.returnedAt]) {
      if (now - at > lagS * RETURNED_LAGS) this.returnedAt.delete(id);
    }
  }

  /** Ends after the call that is under way. */
  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}
