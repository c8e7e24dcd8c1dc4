/** A machine's record in the store: what may be on it, and who commands it. */

/** A stored record that no version of this program wrote. */
class MalformedRecordError extends Error {
  override readonly name = 'MalformedRecordError';
}

/** An attempt that may be on the machine. */
export interface Claim {
  job: string;
  index: number;
  attempt: number;
}

/** A machine as it is stored. */
export interface MachineRecord {
  /** The controller that owns the machine. Its term is the revision of its leadership. */
  owner: string;
  term: number;
  /** Token that its worker may have been given, where that is above `term`. */
  token?: number;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  returning: boolean;
  claims: Claim[];
  /** Images that were seen there, the latest last, with their size. */
  images: [string, number][];
}

/**
 * How claims are written.
 *
 *   plain  a list of lists, as by all versions
 *   dense  one word for each attempt of a job, with ranges of its tasks; versions before pipelines take
 *          such a record for garbage, and the machine for one without claims
 */
export type ClaimForm = 'plain' | 'dense';

/** What the dense form can hold: ids without its separators. */
const DENSE_SAFE_ID = /^[\w.-]+$/;
/** Radix of attempts in the dense form. */
const ATTEMPT_RADIX = 36;

/** The densest form that is allowed and can hold all claims. */
function densestForm({ claims }: MachineRecord, allowed: ClaimForm): ClaimForm {
  if (allowed === 'plain') return 'plain';
  return claims.every(({ job }) => DENSE_SAFE_ID.test(job)) ? 'dense' : 'plain';
}

/**
 * The stored form of a record, within so many bytes where that can be had: dense where that is allowed and
 * the plain form is too large, and without the images that were used longest ago. Images are worth
 * something, claims are never left out.
 */
export function encodeMachine(
  record: MachineRecord,
  maxBytes = Infinity,
  allowed: ClaimForm = 'plain',
): unknown {
  const complete = encodeAs(record, 'plain');
  if (encodedBytes(complete) <= maxBytes) return complete;
  const form = densestForm(record, allowed);
  const bytesLeft = maxBytes - encodedBytes(encodeAs({ ...record, images: [] }, form));
  return encodeAs({ ...record, images: latestWithin(record.images, bytesLeft) }, form);
}

/** Bytes of a record without any images. */
export function bytesWithoutImages(record: MachineRecord, allowed: ClaimForm): number {
  return encodedBytes(encodeAs({ ...record, images: [] }, densestForm(record, allowed)));
}

const encodedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** The images used last that take no more than so many bytes. */
function latestWithin(images: [string, number][], bytes: number): [string, number][] {
  const latest: [string, number][] = [];
  let bytesLeft = bytes;
  for (const image of images.toReversed()) {
    bytesLeft -= encodedBytes(image) + 1;
    if (bytesLeft < 0) break;
    latest.unshift(image);
  }
  return latest;
}

const encodeAs = (record: MachineRecord, form: ClaimForm): unknown => ({
  o: record.owner,
  e: record.term,
  ...(record.token === undefined ? {} : { k: record.token }),
  a: record.addr,
  c: record.type,
  z: record.zone,
  f: (record.spot ? 1 : 0) | (record.returning ? 2 : 0),
  ...(form === 'dense'
    ? { d: encodeDenseClaims(record.claims) }
    : { t: record.claims.map((claim) => [claim.job, claim.index, claim.attempt]) }),
  i: record.images,
});

/** The record of a stored value, in either form of claims. Throws on a malformed one. */
export function decodeMachine(value: unknown): MachineRecord {
  const stored = value as Record<string, unknown>;
  const flags = stored.f as number;
  return {
    owner: stored.o as string,
    term: stored.e as number,
    ...(typeof stored.k === 'number' ? { token: stored.k } : {}),
    addr: stored.a as string,
    type: stored.c as string,
    zone: stored.z as string,
    spot: (flags & 1) !== 0,
    returning: (flags & 2) !== 0,
    claims: decodeClaims(stored),
    images: (stored.i as [string, number][] | undefined) ?? [],
  };
}

function decodeClaims({ t, d }: Record<string, unknown>): Claim[] {
  if (typeof d === 'string') return decodeDenseClaims(d);
  return (t as [string, number, number][]).map(([job, index, attempt]) => ({
    job,
    index,
    attempt,
  }));
}

/** `job:attempt:tasks` for each attempt of a job, with a space between; tasks as `0-3,7`. */
function encodeDenseClaims(claims: Claim[]): string {
  const groups = new Map<string, number[]>();
  for (const { job, index, attempt } of claims) {
    const name = `${job}:${attempt.toString(ATTEMPT_RADIX)}`;
    const indexes = groups.get(name);
    if (indexes === undefined) groups.set(name, [index]);
    else indexes.push(index);
  }
  return [...groups].map(([name, indexes]) => `${name}:${formatRanges(indexes)}`).join(' ');
}

function formatRanges(indexes: number[]): string {
  const parts: string[] = [];
  const sorted = indexes.toSorted((a, b) => a - b);
  for (let i = 0; i < sorted.length;) {
    const first = sorted[i]!;
    let last = first;
    for (i++; sorted[i] === last + 1; i++) last++;
    parts.push(first === last ? `${first}` : `${first}-${last}`);
  }
  return parts.join(',');
}

function decodeDenseClaims(text: string): Claim[] {
  const claims: Claim[] = [];
  for (const group of text.split(' ')) {
    if (group === '') continue;
    const [job = '', attempt = '', tasks = ''] = group.split(':');
    for (const part of tasks.split(',')) {
      const [first = '', last = first] = part.split('-');
      for (let index = parseInteger(first, 10); index <= parseInteger(last, 10); index++) {
        claims.push({ job, index, attempt: parseInteger(attempt, ATTEMPT_RADIX) });
      }
    }
  }
  return claims;
}

/** Throws where it is no whole number: the record is garbage then. */
function parseInteger(text: string, radix: number): number {
  const value = Number.parseInt(text, radix);
  if (!Number.isSafeInteger(value)) throw new MalformedRecordError('no number');
  return value;
}
