/** How long machines take to boot and models to load: measured, and kept in the store. */

import * as v from 'valibot';
import type { MachineType } from '../jobs/types.js';
import { covering, remember } from '../subsystems/samples.js';
import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';

/** What the protocol leads to expect of slow cases: boots, and fetches by the nominal rate. */
const SLOW_BOOT = 1.6;
const SLOW_FETCH = 1.35;
/** Images of which samples are kept, for each type and zone. */
const IMAGES_MOST = 32;

/** Keys of measured times begin with it, below the subsystem's own prefix. */
const LEAD_PREFIX = 'lead/';

interface Samples {
  /** Seconds from the request to the first heartbeat. */
  boots: number[];
  /** Seconds from then until the model was there, by image; the latest used last. */
  loads: Map<string, number[]>;
  revision: number;
  unstored: boolean;
}

const list = v.array(v.pipe(v.number(), v.finite(), v.minValue(0)));
const record = v.object({ b: list, l: v.array(v.tuple([v.string(), list])) });

/** Measured times by machine type and zone. */
export class LeadTimes {
  private readonly byPlace = new Map<string, Samples>();

  /** Takes in what earlier terms have stored. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    for (const [key, { value, revision }] of records) {
      if (!key.startsWith(LEAD_PREFIX)) continue;
      const known = this.byPlace.get(key);
      if (known !== undefined && known.revision >= revision) continue;
      const result = v.safeParse(record, value);
      if (!result.success) continue;
      const { b, l } = result.output;
      this.byPlace.set(key, { boots: b, loads: new Map(l), revision, unstored: false });
    }
  }

  /** A machine took so many seconds from its scale-out to its first heartbeat. */
  noteBoot(type: string, zone: string, seconds: number): void {
    const samples = this.samples(type, zone);
    remember(samples.boots, seconds);
    samples.unstored = true;
  }

  /** A model took so many seconds to load. */
  noteLoad(type: string, zone: string, image: string, seconds: number): void {
    const samples = this.samples(type, zone);
    const loads = samples.loads.get(image) ?? [];
    remember(loads, seconds);
    samples.loads.delete(image);
    samples.loads.set(image, loads);
    for (const oldest of samples.loads.keys()) {
      if (samples.loads.size <= IMAGES_MOST) break;
      samples.loads.delete(oldest);
    }
    samples.unstored = true;
  }

  /** Seconds from a request until most machines of this kind hold the image. */
  leadS(type: MachineType, zone: string, image: string, imageGb: number): number {
    const samples = this.byPlace.get(placeKey(type.name, zone));
    const expectedBootS = type.bootS * SLOW_BOOT;
    const expectedLoadS = (imageGb / Math.max(type.fetchGbPerS, 1e-9)) * SLOW_FETCH;
    return (
      covering(samples?.boots ?? [], expectedBootS) +
      covering(samples?.loads.get(image) ?? [], expectedLoadS)
    );
  }

  /** Measured times that are not stored yet. */
  dueWrites(): OwnedWrite[] {
    const due: OwnedWrite[] = [];
    for (const [key, samples] of this.byPlace) {
      if (!samples.unstored) continue;
      due.push({
        key,
        revision: samples.revision,
        value: { b: [...samples.boots], l: [...samples.loads] },
        alsoChanges: [],
        stored: (revision) => {
          samples.revision = revision;
          samples.unstored = false;
        },
        // Measurements are worth no second look: the next one brings them up to date.
        readBack: (stored) => void (samples.revision = stored?.revision ?? 0),
      });
    }
    return due;
  }

  private samples(type: string, zone: string): Samples {
    const key = placeKey(type, zone);
    let samples = this.byPlace.get(key);
    if (samples === undefined) {
      samples = { boots: [], loads: new Map(), revision: 0, unstored: false };
      this.byPlace.set(key, samples);
    }
    return samples;
  }
}

const placeKey = (type: string, zone: string): string => `${LEAD_PREFIX}${type}/${zone}`;
