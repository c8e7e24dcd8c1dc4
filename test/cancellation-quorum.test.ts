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

interface HolderRenewals {
  renewedUntil: number;
  provenUntil: number;
}

/** Renewals by a zone lease holder whose key is present, was removed long ago, or was removed just now. */
const KEY_PRESENT: HolderRenewals = { renewedUntil: 0, provenUntil: 0 };
const KEY_LONG_REMOVED: HolderRenewals = {
  renewedUntil: cancel_s - 2 * lease_s,
  provenUntil: Infinity,
};
const KEY_JUST_REMOVED: HolderRenewals = { renewedUntil: 7 * lease_s, provenUntil: Infinity };

interface Case {
  name: string;
  /** Other controllers that note the cancellation. The lease of zone z1 is held by b, that of z2 by d; c holds none. */
  noting: string;
  /** Zones with machines whose records name a task of the job. */
  zones: string[];
  holderRenewals?: HolderRenewals;
  afterS?: number;
  confirmed: boolean;
}

const CASES: Case[] = [
  { name: 'all note it', noting: 'bcd', zones: ['z1', 'z2'], confirmed: true },
  { name: 'a majority, without the holder of a zone that has no tasks of it', noting: 'bc', zones: ['z1'], confirmed: true },
  { name: 'no majority', noting: 'b', zones: ['z1'], confirmed: false },
  { name: 'no controller, after the time limit', noting: '', zones: [], afterS: UNACKNOWLEDGED_CONFIRM_S, confirmed: true },
  // The holder was notified before the cancellation was stored, and restarted; the new process had read the store before that.
  { name: 'a holder whose zone may have tasks of it does not', noting: 'bc', zones: ['z1', 'z2'], confirmed: false },
  { name: 'the same, its key was just removed', noting: 'bc', zones: ['z2'], holderRenewals: KEY_JUST_REMOVED, confirmed: false },
  { name: 'the same, its renewals end in time', noting: 'bc', zones: ['z2'], holderRenewals: KEY_LONG_REMOVED, confirmed: true },
]; // prettier-ignore

test('a cancellation is confirmed once a majority has noted it, and each holder that may renew leases of its tasks', async () => {
  for (const {
    name,
    noting,
    zones,
    holderRenewals = KEY_PRESENT,
    afterS = 0,
    confirmed,
  } of CASES) {
    let now = 0;
    const clock = { now: () => now };
    const machines = new Map(
      zones.map((zone) => [zone, { record: { zone, claims: [{ job: JOB }] } }]),
    );
    const replica = fake<Replica>({ machines, jobs: new Map(), lastToken: 1, leader: null });
    const peers = fake<PeerNetwork>({
      peerNames: ['b', 'c', 'd'],
      ask: (node: string) => Promise.resolve(noting.includes(node) ? { noted: true } : null),
    });
    const zoneLeaseHolders: [string, string][] = [['z1', 'b'], ['z2', 'd']]; // prettier-ignore
    const zoneLeases = fake<ZoneLeaseWatch>({ zoneRenewal: () => holderRenewals });
    const cancellations = new CancellationBroadcast({ settings: settings(), zoneLeaseHolders, peers, replica, zoneLeases, clock }
    ); // prettier-ignore
    const cancellationQuorum = new CancellationQuorum({
      controllerCount: 4, peers, replica, clock, retentionS: 100,
      remainingWaitS: (job, noted) => cancellations.remainingWaitS(job, noted),
    }); // prettier-ignore
    const storedJob = { claimCount: 1, cancelledRevision: 5 } as StoredJob;
    const first = await cancellationQuorum.confirm(storedJob, JOB);
    now = afterS;
    const last = afterS === 0 ? first : await cancellationQuorum.confirm(storedJob, JOB);
    assert.equal(last, confirmed, name);
  }
});

/**
 * Guards against a task that is started just after the cancellation of its job was confirmed to the user. The
 * cancellation is stored, and another controller notes it, which completes a majority of three; then the user receives
 * the confirmation. The majority need not contain the leader, the only one that starts tasks, which sends a due start
 * before it reads the cancellation: in a sequence of `warm-pools-random` it had read revision 13 of 14.
 */
test('a cancellation is confirmed only once the leader has noted it, unless it cannot be asked', async () => {
  const cases: [string, string | null, NotedAnswers, boolean][] = [
    ['the leader has not answered yet', 'c', {}, false],
    ['the leader has noted it', 'c', { c: { noted: true } }, true],
    ['the leader cannot be asked', 'c', { c: null }, true],
    ['there is no leader', null, {}, true],
    ['this controller leads', 'a', {}, true],
  ];
  for (const [name, leader, leaderAnswers, mayConfirm] of cases) {
    const answers: NotedAnswers = { b: { noted: true }, ...leaderAnswers };
    const quorum = new CancellationQuorum({
      controllerCount: 3,
      peers: fake<PeerNetwork>({
        peerNames: ['b', 'c'],
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
      retentionS: 100,
      remainingWaitS: () => 0,
    });
    let confirmed = false;
    const storedJob = { claimCount: 1, cancelledRevision: 5 } as StoredJob;
    void quorum.confirm(storedJob, JOB).then((outcome) => (confirmed = outcome));
    await new Promise(setImmediate);
    assert.equal(confirmed, mayConfirm, name);
  }
});
