/** Compatibility of the version in production and this one: records, frames, and which versions are present. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import fc from 'fast-check';
import { ControllerVersions } from '../src/controller/controller-versions.js';
import { silentLog } from '../src/log.js';
import { FEATURES, parseHello, PROTOCOL_VERSION } from '../src/peers/messages.js';
import * as records from '../src/store/records.js';
import { bytesWithoutImages } from '../src/store/machine-record.js';
import { Replica } from '../src/store/replica.js';

/** Records and a hello written by the version in production; `made_by` in the file tells how. */
const production = JSON.parse(readFileSync('test/fixtures/production.json', 'utf8')) as Record<
  'submissions' | 'progress' | 'machine' | 'leader' | 'acknowledgement' | 'hello',
  unknown
>;

const roundTrip = <T>(value: T): unknown => JSON.parse(JSON.stringify(value));

test('records of the version in production are read, and rewritten without any difference', () => {
  const cases: [string, unknown, (value: unknown) => unknown][] = [
    ['submissions', production.submissions, (value) => records.encodeRequestBatch(records.decodeRequestBatch(value))],
    ['progress', production.progress, (value) => records.encodeProgress(records.decodeProgress(value))],
    ['machine', production.machine, (value) => records.encodeMachine(records.decodeMachine(value))],
    ['machine, dense allowed', production.machine, (value) => records.encodeMachine(records.decodeMachine(value), 2048, 'dense')],
    ['leader', production.leader, (value) => records.encodeLeader(records.decodeLeader(value))],
    ['acknowledgement', production.acknowledgement, (value) => records.encodeAcknowledgement(records.decodeAcknowledgement(value))],
  ]; // prettier-ignore
  for (const [name, value, rewrite] of cases)
    assert.deepEqual(roundTrip(rewrite(value)), value, name);
  const [job] = records.decodeRequestBatch(production.submissions).jobs;
  assert.deepEqual([job!.spec.id, job!.spec.dependencies], ['wk-000412', []]);
});

test('a hello without features is from an old version, and both versions use the same protocol', () => {
  const old = parseHello(production.hello);
  assert.deepEqual([old.from, [...old.features]], ['n-0', []]);
  const now = { v: PROTOCOL_VERSION, from: 'n-1', features: FEATURES };
  assert.deepEqual([...parseHello(now).features], [...FEATURES]);
  assert.equal((production.hello as { v: number }).v, PROTOCOL_VERSION);
  // From a later version: unknown features are accepted.
  assert.ok(parseHello({ ...now, features: ['pipelines', 'more'] }).features.has('pipelines'));
  assert.deepEqual([...parseHello({ ...now, features: 7 }).features], []);
});

const claim = fc.record({
  job: fc.constantFrom('wk-000001', 'wk-2', 'wk-123456789012345678'),
  index: fc.nat(100_000),
  attempt: fc.nat(1_000_000),
});
const machine = (claims: records.Claim[], images: [string, number][] = []): records.MachineRecord => ({
  owner: 'n-0', term: 4, addr: '10.0.0.1:9000', type: 'g8', zone: 'z', spot: true, returning: false,
  claims, images,
}); // prettier-ignore

const sortedClaims = (claims: records.Claim[]): string[] =>
  claims.map(({ job, index, attempt }) => `${job}/${index}#${attempt}`).sort();

test('the dense form of claims is lossless', () => {
  const claims = fc.uniqueArray(claim, { selector: (c) => sortedClaims([c])[0], maxLength: 200 });
  fc.assert(
    fc.property(claims, (all) => {
      const value = records.encodeMachine(machine(all), 1, 'dense');
      assert.deepEqual(
        sortedClaims(records.decodeMachine(roundTrip(value)).claims),
        sortedClaims(all),
      );
    }),
  );
});

test('a record is dense only if necessary and allowed, and only images are omitted, never claims', () => {
  const claims = (count: number): records.Claim[] =>
    Array.from({ length: count }, (_, index) => ({
      job: `wk-${100000 + (index % 8)}`,
      index,
      attempt: 123456,
    }));
  const images = Array.from({ length: 32 }, (_, i): [string, number] => [`image-${i}`, 34.3]);
  const cases: [string, number, 'plain' | 'dense', 't' | 'd', boolean][] = [
    ['small', 4, 'dense', 't', true],
    ['too large, all controllers read the dense form', 64, 'dense', 'd', true],
    ['too large, an old controller is present', 60, 'plain', 't', false],
    ['a hundred times as many as fit in the plain form', 6000, 'dense', 'd', false],
  ];
  for (const [name, count, allowed, form, keepsAll] of cases) {
    const record = machine(claims(count), images);
    const value = records.encodeMachine(record, 2048, allowed) as Record<string, unknown>;
    assert.ok(form in value, name);
    const read = records.decodeMachine(roundTrip(value));
    assert.deepEqual(sortedClaims(read.claims), sortedClaims(record.claims), name);
    assert.equal(read.images.length === images.length, keepsAll, name);
    // The most recently used images remain.
    assert.deepEqual(read.images, images.slice(images.length - read.images.length), name);
    const least = bytesWithoutImages(record, allowed);
    assert.ok(JSON.stringify(value).length <= Math.max(2048, least), name);
  }
  const foreign = [{ job: 'a b:c', index: 0, attempt: 1 }];
  assert.ok(
    't' in (records.encodeMachine(machine(foreign), 1, 'dense') as object),
    'the dense form cannot represent this job id',
  );
});

const LEASE_S = 2;

interface Present {
  /** Features in its stored version record; null if there is none. */
  record: string[] | null;
  /** Features in its latest hello; null if none was received. */
  hello: string[] | null;
  /** Seconds since its last message. */
  silentS: number;
  leads?: boolean;
}

function versions(others: Record<string, Present>): ControllerVersions {
  const replica = new Replica(8192);
  const put = (key: string, value: unknown): void => {
    const revision = replica.applied + 1;
    replica.advance(revision, [{ kind: 'put', key, value: roundTrip(value), revision }]);
  };
  for (const [node, { record, leads }] of Object.entries(others)) {
    if (record !== null) put(records.versionKey(node), records.encodeVersion({ features: record }));
    if (leads === true) put(records.LEADER, records.encodeLeader({ node, incarnation: 'x' }));
  }
  return new ControllerVersions({
    node: 'self',
    others: Object.keys(others),
    leaseS: LEASE_S,
    replica,
    peers: () => ({
      announcedFeatures: (node) =>
        others[node]!.hello === null ? null : new Set(others[node]!.hello),
    }),
    health: { silentS: (node) => others[node]!.silentS },
    store: null!,
    replicaSync: null!,
    clock: { now: () => 0 },
    log: silentLog(),
  });
}

test('an old version counts as present while it sends messages or leads, and not indefinitely', () => {
  const NEW: Present = { record: ['pipelines'], hello: ['pipelines'], silentS: 0 };
  const OLD: Present = { record: null, hello: [], silentS: 0 };
  const cases: [string, Present, { everyone: boolean; old: boolean }][] = [
    ['new', NEW, { everyone: true, old: false }],
    ['new, known only by its record', { ...NEW, hello: null }, { everyone: true, old: false }],
    ['new, known only by its hello', { ...NEW, record: null }, { everyone: true, old: false }],
    ['new, stopped', { ...NEW, silentS: Infinity }, { everyone: true, old: false }],
    ['old', OLD, { everyone: false, old: true }],
    ['old, only answers were received from it', { ...OLD, hello: null }, { everyone: false, old: true }],
    ['old again after an upgrade was reverted', { ...NEW, hello: [] }, { everyone: false, old: true }],
    ['old, silent for four leases', { ...OLD, silentS: LEASE_S * 4 }, { everyone: false, old: false }],
    ['old, unreachable, and leading', { ...OLD, silentS: Infinity, leads: true }, { everyone: false, old: true }],
    ['no message or record at all', { record: null, hello: null, silentS: Infinity }, { everyone: false, old: false }],
  ]; // prettier-ignore
  for (const [name, other, { everyone, old }] of cases) {
    const seen = versions({ b: NEW, c: other });
    assert.equal(seen.allSupport('pipelines'), everyone, name);
    assert.equal(seen.isOldVersionPresent('pipelines'), old, name);
    assert.equal(seen.supports('c', 'pipelines'), everyone, name);
  }
});
