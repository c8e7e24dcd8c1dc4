import { random } from '../random.js';
import { Pause, sleep, type Clock } from '../clock.js';
import type { Log } from '../log.js';
import type { MachineType } from '../jobs/types.js';
import { RENT_MAX, RETURN_MAX, type ListedMachine, type RentRequest } from '../wire/cloud.js';
import type { CloudClient } from './client.js';
import type { StoredRent } from '../subsystems/subsystem.js';
import type { Wanted } from './scale-out-plan.js';

/** A machine that is rented but has not reported yet. */
export interface Coming {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  since: number;
  listed: boolean;
  running: boolean;
}

export interface FleetHost {
  entitled(): boolean;
  /** Requests under names that are stored: sent before all others. */
  storedRents(): StoredRent[];
  /** What to rent now. */
  wanted(): Wanted[];
  /** Machines to give back now, their records already marked. */
  toReturn(): string[];
  returned(ids: string[]): void;
  known(id: string): boolean;
  listed(all: ListedMachine[]): void;
  onTypes(types: MachineType[]): void;
}

/** Renting and returning for the leader. Request names carry the incarnation: they never recur. */
export class Fleet {
  readonly coming = new Map<string, Coming>();
  private readonly shortUntil = new Map<string, { until: number; fails: number }>();
  private readonly unanswered: { request: RentRequest; since: number }[] = [];
  /** What the cloud confirmed as gone; lists may still name them. */
  private readonly gone = new Map<string, number>();
  private counter = 0;
  private stopped = false;
  private listAt = -Infinity;
  private typesAt = -Infinity;
  private readonly pause = new Pause();
  listedOnce = false;

  constructor(
    private readonly name: string,
    private readonly cloud: CloudClient,
    private readonly host: FleetHost,
    private readonly lagS: number,
    private readonly bootS: (type: string) => number,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  short(type: string, zone: string, spot: boolean): boolean {
    const s = this.shortUntil.get(`${type} ${zone} ${spot}`);
    return s !== undefined && s.until > this.clock.now();
  }

  private noteShort(r: { type: string; zone: string; spot: boolean }): void {
    const key = `${r.type} ${r.zone} ${r.spot}`;
    const s = this.shortUntil.get(key);
    const fails = s === undefined || this.clock.now() - s.until > 60 ? 0 : s.fails + 1;
    const pause = Math.min(this.bootS(r.type), 5 * 2 ** fails);
    this.shortUntil.set(key, { until: this.clock.now() + pause, fails });
  }

  heard(id: string): void {
    this.coming.delete(id);
  }

  nudge(): void {
    this.pause.end();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        if (this.host.entitled()) await this.round();
      } catch (error) {
        this.log.debug({ err: String(error) }, 'cloud round failed');
        await sleep(0.5 + random() * 0.5);
      }
      await this.pause.wait(0.5);
    }
  }

  private async round(): Promise<void> {
    const now = this.clock.now();
    if (now - this.typesAt > 120) {
      this.host.onTypes(await this.cloud.types());
      this.typesAt = now;
    }
    const every = this.coming.size > 0 ? this.lagS / 2 : this.lagS;
    if (!this.listedOnce || now - this.listAt > every) {
      this.listAt = now;
      this.list(await this.cloud.list());
    }
    if (this.stopped || !this.host.entitled()) return;
    const back = this.host.toReturn().slice(0, RETURN_MAX);
    if (back.length > 0 && (await this.cloud.giveBack(back))) {
      const at = this.clock.now();
      for (const id of back) {
        this.gone.set(id, at);
        this.coming.delete(id);
      }
      this.log.info({ machines: back }, 'returned');
      this.host.returned(back);
    }
    await this.retryRents();
    await this.sendStored();
    for (const wanted of this.host.wanted()) {
      for (let left = wanted.count; left > 0; left -= RENT_MAX) {
        if (this.stopped || !this.host.entitled()) return;
        const request: RentRequest = {
          name: `${this.name}-${this.counter++}`,
          type: wanted.type,
          zone: wanted.zone,
          spot: wanted.spot,
          count: Math.min(left, RENT_MAX),
        };
        await this.rent(request, this.clock.now());
      }
    }
  }

  private async retryRents(): Promise<void> {
    const again = this.unanswered.splice(0, this.unanswered.length);
    for (const u of again) {
      // Given up after a while: whatever it rented shows up in the list and by its reports.
      if (this.clock.now() - u.since < 30) await this.rent(u.request, u.since);
    }
  }

  /** Each is asked for until it is answered, by whoever leads: the name is the same, and so is the answer. */
  private async sendStored(): Promise<void> {
    for (const rent of this.host.storedRents()) {
      if (this.stopped || !this.host.entitled()) return;
      rent.sending();
      const result = await this.cloud.rent(rent.request);
      this.log.info({ request: rent.request, result: result.how }, 'rent, stored');
      if (result.how === 'rented') this.rented(rent.request, result.ids);
      if (result.how === 'none') this.noteShort(rent.request);
      rent.answered(result);
    }
  }

  private rented({ type, zone, spot, count }: RentRequest, ids: string[]): void {
    const now = this.clock.now();
    for (const id of ids) {
      if (this.host.known(id) || this.gone.has(id)) continue;
      this.coming.set(id, { id, type, zone, spot, since: now, listed: false, running: false });
    }
    if (ids.length < count) this.noteShort({ type, zone, spot });
  }

  private async rent(request: RentRequest, since: number): Promise<void> {
    const result = await this.cloud.rent(request);
    this.log.info({ request, result: result.how }, 'rent');
    switch (result.how) {
      case 'rented':
        this.rented(request, result.ids);
        break;
      case 'none':
        this.noteShort(request);
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
  get unsure(): RentRequest[] {
    return this.unanswered.map((u) => u.request);
  }

  private list(all: ListedMachine[]): void {
    const now = this.clock.now();
    this.listedOnce = true;
    const names = new Set<string>();
    for (const listed of all) {
      names.add(listed.id);
      if (this.gone.has(listed.id) || this.host.known(listed.id) || listed.state === 'failed') {
        this.coming.delete(listed.id);
        continue;
      }
      const coming = this.coming.get(listed.id);
      if (coming !== undefined) {
        coming.listed = true;
        coming.running ||= listed.state === 'running';
      } else {
        this.coming.set(listed.id, {
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
    for (const coming of [...this.coming.values()]) {
      if (!names.has(coming.id) && now - coming.since > this.lagS * (coming.listed ? 2 : 4))
        this.coming.delete(coming.id);
    }
    for (const [id, at] of [...this.gone]) if (now - at > this.lagS * 20) this.gone.delete(id);
    this.host.listed(all.filter((listed) => !this.gone.has(listed.id)));
  }

  stop(): void {
    this.stopped = true;
    this.pause.end();
  }
}
