/** Measured boot times of machines and load times of models, which are stored. */

import * as v from 'valibot';
import type { MachineType } from '../jobs/types.js';
import { conservativeEstimate, addSample } from '../subsystems/samples.js';
import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';

/** Duration of slow boots and slow fetches as multiples of the nominal times, according to the protocol. */
const SLOW_BOOT_FACTOR = 1.6;
const SLOW_FETCH_FACTOR = 1.35;
/** Maximum number of images with samples, for each type and zone. */
const MAX_IMAGES = 32;

/** Prefix of the keys of measured times, below the subsystem's own prefix. */
const LEAD_TIME_PREFIX = 'lead/';

interface Samples {
  /** Seconds from the request to the first heartbeat. */
  boots: number[];
  /** Seconds from the first heartbeat until the model was loaded, by image; the most recently used last. */
  loads: Map<string, number[]>;
  revision: number;
  hasUnstored: boolean;
}

const sampleList = v.array(v.pipe(v.number(), v.finite(), v.minValue(0)));
const record = v.object({ b: sampleList, l: v.array(v.tuple([v.string(), sampleList])) });

/** Measured times by machine type and zone. */
export class LeadTimes {
  private readonly byTypeAndZone = new Map<string, Samples>();

  /** Adopts what earlier terms have stored. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    for (const [key, { value, revision }] of records) {
      if (!key.startsWith(LEAD_TIME_PREFIX)) continue;
      const known = this.byTypeAndZone.get(key);
      if (known !== undefined && known.revision >= revision) continue;
      const result = v.safeParse(record, value);
      if (!result.success) continue;
      const { b, l } = result.output;
      this.byTypeAndZone.set(key, { boots: b, loads: new Map(l), revision, hasUnstored: false });
    }
  }

  /** Records the seconds from a machine's scale-out to its first heartbeat. */
  recordBootTime(type: string, zone: string, seconds: number): void {
    const samples = this.samples(type, zone);
    addSample(samples.boots, seconds);
    samples.hasUnstored = true;
  }

  /** Records the seconds that a model took to load. */
  recordLoadTime(type: string, zone: string, image: string, seconds: number): void {
    const samples = this.samples(type, zone);
    const loads = samples.loads.get(image) ?? [];
    addSample(loads, seconds);
    samples.loads.delete(image);
    samples.loads.set(image, loads);
    for (const oldest of samples.loads.keys()) {
      if (samples.loads.size <= MAX_IMAGES) break;
      samples.loads.delete(oldest);
    }
    samples.hasUnstored = true;
  }

  /** Seconds from a request until most machines of this type in this zone have loaded the image. */
  leadTimeS(type: MachineType, zone: string, image: string, imageGb: number): number {
    const samples = this.byTypeAndZone.get(leadTimeKey(type.name, zone));
    const expectedBootS = type.bootS * SLOW_BOOT_FACTOR;
    const expectedLoadS = (imageGb / Math.max(type.fetchGbPerS, 1e-9)) * SLOW_FETCH_FACTOR;
    return (
      conservativeEstimate(samples?.boots ?? [], expectedBootS) +
      conservativeEstimate(samples?.loads.get(image) ?? [], expectedLoadS)
    );
  }

  /** Writes of measured times that are not stored yet. */
  dueWrites(): OwnedWrite[] {
    const due: OwnedWrite[] = [];
    for (const [key, samples] of this.byTypeAndZone) {
      if (!samples.hasUnstored) continue;
      due.push({
        key,
        revision: samples.revision,
        value: { b: [...samples.boots], l: [...samples.loads] },
        alsoChanges: [],
        onStored: (revision) => {
          samples.revision = revision;
          samples.hasUnstored = false;
        },
        // The stored samples are not compared: the next write replaces them.
        onReadBack: (stored) => void (samples.revision = stored?.revision ?? 0),
      });
    }
    return due;
  }

  private samples(type: string, zone: string): Samples {
    const key = leadTimeKey(type, zone);
    let samples = this.byTypeAndZone.get(key);
    if (samples === undefined) {
      samples = { boots: [], loads: new Map(), revision: 0, hasUnstored: false };
      this.byTypeAndZone.set(key, samples);
    }
    return samples;
  }
}

const leadTimeKey = (type: string, zone: string): string => `${LEAD_TIME_PREFIX}${type}/${zone}`;
