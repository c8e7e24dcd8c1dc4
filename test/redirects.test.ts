import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Redirects, type RedirectOptions } from '../src/heartbeat/redirects.js';
import { settings } from './helpers.js';

const THIS_NODE = settings().node;
const { lease_s: LEASE_S } = settings().workers;

interface Case {
  name: string;
  /** The controller of the worker's zone. */
  zoneController?: string | null;
  late?: string[];
  leads?: boolean;
  health?: string;
  steady?: boolean;
  target: string | null;
}

const CASES: Case[] = [
  { name: 'to the controller of its zone', zoneController: 'n-1', target: 'n-1' },
  { name: 'it is connected there already', zoneController: THIS_NODE, target: null },
  { name: 'its zone has no controller, or several', zoneController: null, target: null },
  { name: 'that controller does not keep up', zoneController: 'n-2', late: ['n-2'], target: null },
  { name: 'the leader does not keep up', zoneController: 'n-1', late: ['n-1'], target: 'n-1' },
  {
    name: 'another controller does not keep up',
    zoneController: 'n-1',
    late: ['n-2'],
    target: 'n-1',
  },
  { name: 'there is no leader', zoneController: 'n-1', leads: false, target: null },
  {
    name: 'refused by the key-value store',
    zoneController: 'n-1',
    health: 'refused',
    target: null,
  },
  {
    name: 'that controller has only just started',
    zoneController: 'n-1',
    steady: false,
    target: null,
  },
];

function makeRedirects(row: Case, now = (): number => 0): Redirects {
  const { zoneController: home = null, late = [], leads = true, health = 'served' } = row;
  const { steady = true } = row;
  return new Redirects({
    settings: settings(),
    replica: { leader: leads ? { node: 'n-1', revision: 5, incarnation: 'i' } : null },
    store: { health },
    zoneLeases: { holderOf: () => home, isSteady: () => steady },
    isLate: (node) => late.includes(node),
    clock: { now },
  } as RedirectOptions);
}

test('a worker is redirected to the controller of its zone if that keeps up', () => {
  for (const row of CASES) {
    assert.equal(
      makeRedirects(row).redirectTarget({ machine: 'm', zone: 'z1' }),
      row.target,
      row.name,
    );
  }
});

test('a worker is redirected once in one and a half leases at most', () => {
  let now = 0;
  const redirects = makeRedirects({ name: '', zoneController: 'n-1', target: 'n-1' }, () => now);
  const redirectTimes: number[] = [];
  for (; now < LEASE_S * 4; now++) {
    // The worker cannot reach that controller and returns each time.
    if (redirects.redirectTarget({ machine: 'm', zone: 'z1' }) === null) continue;
    redirects.recordRedirect('m');
    redirectTimes.push(now);
    assert.equal(
      redirects.redirectTarget({ machine: 'other', zone: 'z1' }),
      'n-1',
      'other workers are still redirected',
    );
  }
  assert.deepEqual(redirectTimes, [0, LEASE_S * 1.5, LEASE_S * 3]);
});
