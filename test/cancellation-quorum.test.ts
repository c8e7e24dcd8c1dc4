import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerNetwork } from '../src/peers/peer-network.js';
import { UNACKNOWLEDGED_CONFIRM_S } from '../src/leadership/renewal-allowance.js';
import type { ZoneLeaseWatch } from '../src/leadership/zone-lease.js';
import { CancellationBroadcast } from '../src/cancellation/cancellation-broadcast.js';
import { CancellationQuorum } from '../src/cancellation/cancellation-quorum.js';
import type { StoredJob } from '../src/store/stored-job.js';
import type { Replica } from '../src/store/replica.js';
import { settings } from './helpers.js';
import { fake } from './support/fake.js';

type NotedAnswers = Record<string, { noted: true } | null>;

const JOB = 'wk-000001';
const { lease_s, cancel_s } = settings().workers;

interface Kept {
  keptUntil: number;
  provenAt: number;
}

/** A keeper's key is there; it went long ago; it went just now. */
const PRESENT: Kept = { keptUntil: 0, provenAt: 0 };
const LONG_GONE: Kept = { keptUntil: cancel_s - 2 * lease_s, provenAt: Infinity };
const JUST_GONE: Kept = { keptUntil: 7 * lease_s, provenAt: Infinity };

interface Case {
  name: string;
  /** Other controllers that note the cancellation: b keeps zone z1, c none, d zone z2. */
  noting: string;
  /** Zones with machines whose records name a task of the job. */
  zones: string[];
  kept?: Kept;
  after?: number;
  confirmed: boolean;
}

const CASES: Case[] = [
  { name: 'all note it', noting: 'bcd', zones: ['z1', 'z2'], confirmed: true },
  { name: 'a majority, no keeper among them, no tasks there', noting: 'bc', zones: ['z1'], confirmed: true },
  { name: 'no majority', noting: 'b', zones: ['z1'], confirmed: false },
  { name: 'nobody, after long', noting: '', zones: [], after: UNACKNOWLEDGED_CONFIRM_S, confirmed: true },
  // Told before the cancellation was stored; its next process had read the store before that, too.
  { name: 'a keeper that may have tasks of it does not', noting: 'bc', zones: ['z1', 'z2'], confirmed: false },
  { name: 'the same, its key just gone', noting: 'bc', zones: ['z2'], kept: JUST_GONE, confirmed: false },
  { name: 'the same, what it may keep ends in time', noting: 'bc', zones: ['z2'], kept: LONG_GONE, confirmed: true },
]; // prettier-ignore

test('a cancellation is told once a majority has noted it, and whoever may keep its tasks alive', async () => {
  for (const { name, noting, zones, kept = PRESENT, after = 0, confirmed } of CASES) {
    let now = 0;
    const clock = { now: () => now };
    const machines = new Map(
      zones.map((zone) => [zone, { record: { zone, claims: [{ job: JOB }] } }]),
    );
    const replica = fake<Replica>({ machines, jobs: new Map(), lastToken: 1, leader: null });
    const peers = fake<PeerNetwork>({
      names: ['b', 'c', 'd'],
      ask: (node: string) => Promise.resolve(noting.includes(node) ? { noted: true } : null),
    });
    const keepers: [string, string][] = [['z1', 'b'], ['z2', 'd']]; // prettier-ignore
    const zoneLeases = fake<ZoneLeaseWatch>({ zone: () => kept });
    const cancellations = new CancellationBroadcast({ settings: settings(), zoneLeaseHolders: keepers, peers, replica, zoneLeases, clock }
    ); // prettier-ignore
    const cancellationQuorum = new CancellationQuorum({
      controllerCount: 4, peers, replica, clock, rememberS: 100,
      remainingWaitS: (job, noted) => cancellations.remainingWaitS(job, noted),
    }); // prettier-ignore
    const storedJob = { claimCount: 1, cancelledAt: 5 } as StoredJob;
    const first = await cancellationQuorum.confirm(storedJob, JOB);
    now = after;
    const last = after === 0 ? first : await cancellationQuorum.confirm(storedJob, JOB);
    assert.equal(last, confirmed, name);
  }
});

/**
 * What users saw: a task of a job was started in the moment after its cancellation had been confirmed.
 * Order of events: the cancellation was stored; another controller noted it, which made a majority of three, and the
 * user was told. The leader had a start due, sent it with the next answer, and read the cancellation after that.
 * Cause: the majority that must know before a user is told need not contain the leader, the only one that starts.
 * Evidence: at the start in the recorded sequence of `warm-pools-random` the leader had read revision 13 of 14, the
 * last being the cancellation; with its word to the leader first, that sequence starts nothing.
 */
test('a cancellation is told only once the leader has noted it, unless it cannot be asked', async () => {
  const cases: [string, string | null, NotedAnswers, boolean][] = [
    ['the leader has yet to answer', 'c', {}, false],
    ['it has noted it', 'c', { c: { noted: true } }, true],
    ['it cannot be asked', 'c', { c: null }, true],
    ['nobody leads', null, {}, true],
    ['this controller leads', 'a', {}, true],
  ];
  for (const [name, leader, leaderAnswers, told] of cases) {
    const answers: NotedAnswers = { b: { noted: true }, ...leaderAnswers };
    const quorum = new CancellationQuorum({
      controllerCount: 3,
      peers: fake<PeerNetwork>({
        names: ['b', 'c'],
        ask: (node: string) =>
          answers[node] === undefined
            ? new Promise(() => undefined)
            : Promise.resolve(answers[node]),
      }),
      replica: fake<Replica>({
        lastToken: 1,
        leader: leader === null ? null : { node: leader, revision: 1 },
      }),
      clock: { now: () => 0 },
      rememberS: 100,
      remainingWaitS: () => 0,
    });
    let confirmed = false;
    const storedJob = { claimCount: 1, cancelledAt: 5 } as StoredJob;
    void quorum.confirm(storedJob, JOB).then((outcome) => (confirmed = outcome));
    await new Promise(setImmediate);
    assert.equal(confirmed, told, name);
  }
});
