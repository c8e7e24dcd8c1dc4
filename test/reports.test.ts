import assert from 'node:assert/strict';
import { test } from 'node:test';
import { steadyClock } from '../src/clock.js';
import type { Answer } from '../src/cluster/peers.js';
import { silentLog } from '../src/log.js';
import { Reports } from '../src/service/reports.js';
import { settings } from './helpers.js';

const report = Buffer.from(
  JSON.stringify({
    bench: 'host-1', addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false, shift: 1,
    tally: 1, hallmark: 5, recall_s: null, pieces: [],
  }),
); // prettier-ignore

test('a report finds its way to the leader, also from a controller that does not know it', async () => {
  // Cut off from the store alone, a former leader took itself for the leader, and its workers waited.
  const ok = { status: 200, body: '{}' };
  const no = { status: 503 };
  const cases: [string, string, string | null, Record<string, Answer | null>, number, string[]][] = [
    ['straight to the leader', 'served', 'n-1', { 'n-1': ok }, 200, ['n-1']],
    ['by way of another', 'served', 'n-1', { 'n-1': null, 'n-2': ok }, 200, ['n-1', 'n-2 hop']],
    ['it does not lead', 'served', 'n-1', { 'n-1': no, 'n-2': ok }, 503, ['n-1']],
    ['nobody reaches it', 'served', 'n-1', { 'n-1': null, 'n-2': null }, 421, ['n-1', 'n-2 hop']],
    ['nobody leads', 'served', null, {}, 503, []],
    ['cut off, it led', 'silent', 'n-0', { 'n-1': null, 'n-2': ok }, 200, ['n-1 hop', 'n-2 hop']],
    ['cut off, the leader has changed', 'silent', 'n-1', { 'n-1': no, 'n-2': ok }, 200, ['n-1', 'n-2 hop']],
    ['refused since its start', 'refused', null, { 'n-1': ok }, 200, ['n-1 hop']],
    ['cut off from all', 'silent', 'n-0', {}, 503, ['n-1 hop', 'n-2 hop']],
  ]; // prettier-ignore
  for (const [name, health, leader, answers, status, asked] of cases) {
    const seen: string[] = [];
    const parts = {
      settings: settings(),
      election: { entitled: false, mayKeep: () => Promise.resolve(false) },
      state: { health },
      replica: {
        leader: leader === null ? null : { node: leader, revision: 5 },
        jobs: new Map(),
        lastToken: 5,
      },
      peers: {
        names: ['n-1', 'n-2'],
        ask: (node: string, q: { hop: boolean }) => {
          seen.push(q.hop ? `${node} hop` : node);
          return Promise.resolve(answers[node] ?? null);
        },
      },
      warden: null,
      wards: { warden: () => null },
      leader: () => null,
      toldCancelled: () => false,
      clock: steadyClock,
      log: silentLog(),
    } as unknown as ConstructorParameters<typeof Reports>[0];
    assert.equal((await new Reports(parts).checkin(report)).status, status, name);
    assert.deepEqual(seen, asked, name);
  }
});
