import { random } from '../random.js';
import { WakeableSleep, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { MachineType } from '../jobs/types.js';
import { RENT_MAX, RETURN_MAX, type ListedMachine, type RentRequest } from '../wire/cloud.js';
import type { CloudClient } from './client.js';
import type { StoredRentRequest } from '../subsystems/subsystem.js';
import type { MachineOrder } from './scale-out-plan.js';

/** A machine that is rented but has not reported yet. */
export interface PendingMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  since: number;
  listed: boolean;
  running: boolean;
}

export interface ProvisionerHost {
  isEntitled(): boolean;
  /** Requests under names that are stored: sent before all others. */
  storedRentRequests(): StoredRentRequest[];
  /** What to rent now. */
  machinesToRent(): MachineOrder[];
  /** Machines to give back now, their records already marked. */
  machinesToReturn(): string[];
  machinesReturned(ids: string[]): void;
  isKnown(id: string): boolean;
  applyList(all: ListedMachine[]): void;
  onMachineTypes(types: MachineType[]): void;
}

/** Renting and returning for the leader. Request names carry the incarnation: they never recur. */
export class MachineProvisioner {
  readonly pending = new Map<string, PendingMachine>();
  private readonly shortages = new Map<string, { until: number; fails: number }>();
  private readonly unanswered: { request: RentRequest; since: number }[] = [];
  /** What the cloud confirmed as gone; lists may still name them. */
  private readonly returnedAt = new Map<string, number>();
  private counter = 0;
  private stopped = false;
  private listAt = -Infinity;
  private typesAt = -Infinity;
  private readonly pause = new WakeableSleep();
  listedOnce = false;

  constructor(
    private readonly name: string,
    private readonly cloud: CloudClient,
    private readonly host: ProvisionerHost,
    private readonly lagS: number,
    private readonly bootS: (type: string) => number,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  isShort(type: string, zone: string, spot: boolean): boolean {
    const shortage = this.shortages.get(`${type} ${zone} ${spot}`);
    return shortage !== undefined && shortage.until > this.clock.now();
  }

  private recordShortage(kind: { type: string; zone: string; spot: boolean }): void {
    const key = `${kind.type} ${kind.zone} ${kind.spot}`;
    const shortage = this.shortages.get(key);
    const fails =
      shortage === undefined || this.clock.now() - shortage.until > 60 ? 0 : shortage.fails + 1;
    const pause = Math.min(this.bootS(kind.type), 5 * 2 ** fails);
    this.shortages.set(key, { until: this.clock.now() + pause, fails });
  }

  machineReported(id: string): void {
    this.pending.delete(id);
  }

  wake(): void {
    this.pause.wakeUp();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.host.isEntitled()) await this.runRound();
      } catch (error) {
        this.log.debug({ err: String(error) }, 'cloud round failed');
        await sleep(0.5 + random() * 0.5);
      }
      await this.pause.wait(0.5);
    }
  }

  private async runRound(): Promise<void> {
    const now = this.clock.now();
    if (now - this.typesAt > 120) {
      this.host.onMachineTypes(await this.cloud.fetchMachineTypes());
      this.typesAt = now;
    }
    const every = this.pending.size > 0 ? this.lagS / 2 : this.lagS;
    if (!this.listedOnce || now - this.listAt > every) {
      this.listAt = now;
      this.applyList(await this.cloud.listMachines());
    }
    if (this.stopped || !this.host.isEntitled()) return;
    const back = this.host.machinesToReturn().slice(0, RETURN_MAX);
    if (back.length > 0 && (await this.cloud.returnMachines(back))) {
      const at = this.clock.now();
      for (const id of back) {
        this.returnedAt.set(id, at);
        this.pending.delete(id);
      }
      this.log.info({ machines: back }, 'returned');
      this.host.machinesReturned(back);
    }
    await this.retryUnanswered();
    await this.sendStoredRequests();
    for (const wanted of this.host.machinesToRent()) {
      for (let left = wanted.count; left > 0; left -= RENT_MAX) {
        if (this.stopped || !this.host.isEntitled()) return;
        const request: RentRequest = {
          name: `${this.name}-${this.counter++}`,
          type: wanted.type,
          zone: wanted.zone,
          spot: wanted.spot,
          count: Math.min(left, RENT_MAX),
        };
        await this.rentMachines(request, this.clock.now());
      }
    }
  }

  private async retryUnanswered(): Promise<void> {
    const again = this.unanswered.splice(0, this.unanswered.length);
    for (const unanswered of again) {
      // Given up after a while: whatever it rented shows up in the list and by its reports.
      if (this.clock.now() - unanswered.since < 30)
        await this.rentMachines(unanswered.request, unanswered.since);
    }
  }

  /** Each is asked for until it is answered, by whoever leads: the name is the same, and so is the answer. */
  private async sendStoredRequests(): Promise<void> {
    for (const rentRequest of this.host.storedRentRequests()) {
      if (this.stopped || !this.host.isEntitled()) return;
      rentRequest.sending();
      const result = await this.cloud.rentMachines(rentRequest.request);
      this.log.info({ request: rentRequest.request, result: result.how }, 'rent, stored');
      if (result.how === 'rented') this.machinesRented(rentRequest.request, result.ids);
      if (result.how === 'none') this.recordShortage(rentRequest.request);
      rentRequest.answered(result);
    }
  }

  private machinesRented({ type, zone, spot, count }: RentRequest, ids: string[]): void {
    const now = this.clock.now();
    for (const id of ids) {
      if (this.host.isKnown(id) || this.returnedAt.has(id)) continue;
      this.pending.set(id, { id, type, zone, spot, since: now, listed: false, running: false });
    }
    if (ids.length < count) this.recordShortage({ type, zone, spot });
  }

  private async rentMachines(request: RentRequest, since: number): Promise<void> {
    const result = await this.cloud.rentMachines(request);
    this.log.info({ request, result: result.how }, 'rent');
    switch (result.how) {
      case 'rented':
        this.machinesRented(request, result.ids);
        break;
      case 'none':
        this.recordShortage(request);
        break;
      case 'unknown':
        this.unanswered.push({ request, since });
        break;
      case 'refused':
        // An outage, or too many calls: nothing was rented.
        throw new Error(`rent refused: ${result.status}`);
    }
  }

  /** Whether requests are under way whose outcome is open. */
  get unansweredRequests(): RentRequest[] {
    return this.unanswered.map((entry) => entry.request);
  }

  private applyList(all: ListedMachine[]): void {
    const now = this.clock.now();
    this.listedOnce = true;
    const names = new Set<string>();
    for (const listed of all) {
      names.add(listed.id);
      if (
        this.returnedAt.has(listed.id) ||
        this.host.isKnown(listed.id) ||
        listed.state === 'failed'
      ) {
        this.pending.delete(listed.id);
        continue;
      }
      const pending = this.pending.get(listed.id);
      if (pending !== undefined) {
        pending.listed = true;
        pending.running ||= listed.state === 'running';
      } else {
        this.pending.set(listed.id, {
          id: listed.id,
          type: listed.type,
          zone: listed.zone,
          spot: listed.spot,
          since: now - listed.ageS,
          listed: true,
          running: listed.state === 'running',
        });
      }
    }
    for (const pending of [...this.pending.values()]) {
      if (!names.has(pending.id) && now - pending.since > this.lagS * (pending.listed ? 2 : 4))
        this.pending.delete(pending.id);
    }
    for (const [id, at] of [...this.returnedAt])
      if (now - at > this.lagS * 20) this.returnedAt.delete(id);
    this.host.applyList(all.filter((listed) => !this.returnedAt.has(listed.id)));
  }

  stop(): void {
    this.stopped = true;
    this.pause.wakeUp();
  }
}
