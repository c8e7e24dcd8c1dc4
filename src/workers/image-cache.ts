/** The images that a machine is believed to have cached. */

/** A cached image: its size in GB, and when it was last used, in seconds of the steady clock. */
export interface CachedImage {
  gb: number;
  lastUsedAt: number;
}

/** The presumed content of a machine's image cache, least recently used first. */
export class ImageCache implements Iterable<[string, CachedImage]> {
  private readonly cached = new Map<string, CachedImage>();
  /** Total size of all images fetched there so far, evicted ones included, in GB. */
  fetchedGb = 0;

  /** Whether the image is believed to be there. */
  has(image: string): boolean {
    return this.cached.has(image);
  }

  /** Names of the images, least recently used first. */
  names(): IterableIterator<string> {
    return this.cached.keys();
  }

  /** Images with their sizes, least recently used first. */
  [Symbol.iterator](): IterableIterator<[string, CachedImage]> {
    return this.cached.entries();
  }

  /** Size of all images together, in GB. */
  get totalGb(): number {
    let total = 0;
    for (const { gb } of this.cached.values()) total += gb;
    return total;
  }

  /** Adds an image that a stored record names. */
  restore(image: string, gb: number, now: number): void {
    this.cached.set(image, { gb, lastUsedAt: now });
    this.fetchedGb += gb;
  }

  /**
   * Records that an image is used now. Evicts other images, least recently used first, while the total
   * exceeds `cacheGb`.
   */
  recordUse(image: string, gb: number, cacheGb: number, now: number): void {
    if (!this.cached.has(image)) this.fetchedGb += gb;
    this.cached.delete(image);
    this.cached.set(image, { gb, lastUsedAt: now });
    let total = this.totalGb;
    for (const [name, entry] of this.cached) {
      if (total <= cacheGb || name === image) break;
      total -= entry.gb;
      this.cached.delete(name);
    }
  }
}
