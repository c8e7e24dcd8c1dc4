import { HttpStandIn, type Answer, type Json } from './http.js';
import type { RuleChecker } from './rules.js';
import { Worker, type FleetTimes, type FleetContext } from './worker.js';

/** GPUs of the only machine type. */
export const MACHINE_GPUS = 8;

const MACHINE_TYPE = {
  name: 'g8', cores: 8, gpus: MACHINE_GPUS, mem_gb: 64, local_gb: 100, pull_gb_per_s: 100,
  hourly: 10, spot_price: 3, startup_s: 0.3, yards: ['z1', 'z2'],
}; // prettier-ignore

/** Stand-in of the cloud: rents machines of one type, each with a worker. */
export class Cloud extends HttpStandIn {
  readonly fleetContext: FleetContext;
  bootMs = 200;
  /** Greatest number of machines that it ever rents. */
  maxMachines = Infinity;
  /** Nominal boot time that it reports for the machine type, in seconds. */
  nominalBootS = MACHINE_TYPE.startup_s;
  /** Machines of each rental, with the name of the request and the time in ms. */
  readonly rentals: { hire: string; ids: string[]; at: number }[] = [];
  /** When each machine was rented, in ms. */
  private readonly rentedAt = new Map<string, number>();
  private readonly machinesByRequest = new Map<string, string[]>();
  /** Number of machines rented so far. */
  rentedCount = 0;

  constructor(
    private readonly rules: RuleChecker,
    times: FleetTimes,
  ) {
    super((method, url, body) => this.handle(method, url.pathname, body));
    this.fleetContext = { rules, times, gpus: MACHINE_GPUS, controllers: [], unreachable: [] };
  }

  private get machineType(): object {
    return { ...MACHINE_TYPE, startup_s: this.nominalBootS };
  }

  private handle(method: string, path: string, body: Json): Answer {
    if (path === '/machine_types') return [200, { castings: [this.machineType] }];
    if (path === '/hosts/return') {
      for (const id of body.benches as string[]) this.rules.workers.get(id)?.end();
      return [200, {}];
    }
    return method === 'POST' ? this.rent(body) : this.list();
  }

  private rent(body: Json): Answer {
    const hire = body.hire as string;
    const known = this.machinesByRequest.get(hire);
    if (known !== undefined) return [200, { benches: known }];
    const count = Math.min(body.number as number, this.maxMachines - this.rentedCount);
    if (count <= 0) return [503, { error: 'no capacity' }];
    const benches = Array.from({ length: count }, () => this.startMachine(body));
    this.machinesByRequest.set(hire, benches);
    this.rentals.push({ hire, ids: benches, at: Date.now() });
    return [200, { benches }];
  }

  private startMachine({ casting, yard, loaner }: Json): string {
    const id = `host-${String(++this.rentedCount).padStart(6, '0')}`;
    const place = { type: casting as string, zone: yard as string, spot: loaner as boolean };
    const worker = new Worker(this.fleetContext, id, place);
    this.rules.workers.set(id, worker);
    this.rentedAt.set(id, Date.now());
    setTimeout(() => void worker.start(), this.bootMs);
    return id;
  }

  private list(): Answer {
    const now = Date.now();
    const benches = [...this.rules.workers.values()].map(({ id, port, type, zone, spot }) => ({
      ref: id, addr: `127.0.0.1:${port}`, casting: type, yard: zone, loaner: spot,
      temper: 'running', age_s: (now - this.rentedAt.get(id)!) / 1000,
    })); // prettier-ignore
    return [200, { benches, more: false }];
  }

  /** Closes the cloud and ends all its machines. */
  override close(): void {
    for (const worker of this.rules.workers.values()) worker.end();
    super.close();
  }
}
