/** The stored record of a machine: the attempts that may be on it and the controller that owns it. */

/** A stored record that is not in the format of any version of this program. */
class MalformedRecordError extends Error {
  override readonly name = 'MalformedRecordError';
}

/** An attempt that may be on the machine. */
export interface Claim {
  job: string;
  index: number;
  attempt: number;
}

/** The stored record of a machine. */
export interface MachineRecord {
  /** The controller that owns the machine; `term` is the revision at which it became the leader. */
  owner: string;
  term: number;
  /** Highest token that the worker may have received, if it is above `term`. */
  token?: number;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  returning: boolean;
  claims: Claim[];
  /** Images seen on the machine with their sizes in GB, the most recently used last. */
  images: [string, number][];
}

/**
 * The encoding of claims.
 *
 *   plain  an array of arrays, which all versions read
 *   dense  one string for each attempt number of a job, with ranges of task indexes; versions before pipelines
 *          treat such a record as malformed and the machine as one without claims
 */
export type ClaimForm = 'plain' | 'dense';

/** Job ids that the dense form can represent: those without its separators. */
const DENSE_SAFE_ID = /^[\w.-]+$/;
/** Radix of attempt numbers in the dense form. */
const ATTEMPT_RADIX = 36;

/** The most compact form that is allowed and can represent all claims. */
function densestForm({ claims }: MachineRecord, allowed: ClaimForm): ClaimForm {
  if (allowed === 'plain') return 'plain';
  return claims.every(({ job }) => DENSE_SAFE_ID.test(job)) ? 'dense' : 'plain';
}

/**
 * Encodes a record for the store, in at most `maxBytes` if possible. If the plain form with all images is too
 * large, the dense form is used where it is allowed, and the least recently used images are omitted. Images are
 * only a hint for placement; claims are never omitted, even if the limit is exceeded.
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

/** Encoded size of a record without any images, in bytes. */
export function bytesWithoutImages(record: MachineRecord, allowed: ClaimForm): number {
  return encodedBytes(encodeAs({ ...record, images: [] }, densestForm(record, allowed)));
}

/** Bytes that one more claim adds to a record at the most, if it shares nothing with the other claims. */
export const claimBytes = ({ job, index, attempt }: Claim, form: ClaimForm): number =>
  form === 'dense'
    ? encodeDenseClaims([{ job, index, attempt }]).length + ' '.length
    : encodedBytes([job, index, attempt]) + ','.length;

const encodedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** The most recently used images that fit into this number of bytes. */
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

/** Decodes a stored record with claims in either form. Throws on a malformed value. */
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

/** Encodes `job:attempt:tasks` for each attempt number of a job, separated by spaces; tasks as `0-3,7`. */
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

/** Parses an integer. Throws if it is none: the record is malformed. */
function parseInteger(text: string, radix: number): number {
  const value = Number.parseInt(text, radix);
  if (!Number.isSafeInteger(value)) throw new MalformedRecordError('no number');
  return value;
}
