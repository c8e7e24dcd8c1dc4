import assert from 'node:assert/strict';
import { test } from 'node:test';
import { steadyClock } from '../src/clock.js';
import type { Leader } from '../src/service/leader.js';
import { Reports } from '../src/service/reports.js';
import { silentLog } from '../src/log.js';
import { settings, wait } from './helpers.js';

test('a worker that cannot reach the leader either waits here for the next one', async () => {
  // Between controllers that were gone workers once went round until their leases ran out.
  type After = 'nothing' | 'leads here' | 'leads elsewhere';
  const cases: [string, After, number, string | undefined][] = [
    ['nobody leads in time', 'nothing', 421, undefined],
    ['this controller leads', 'leads here', 200, undefined],
    ['another one leads', 'leads elsewhere', 421, 'n-2'],
  ];
  for (const [name, then, status, foreman] of cases) {
    const replica = {
      leader: { node: 'n-1', revision: 5 },
      jobs: new Map(),
      lastToken: 5,
    };
    let own: unknown = null;
    const parts = {
      settings: settings(),
      election: { entitled: true, mayKeep: () => Promise.resolve(false) },
      state: { health: 'served' },
      replica,
      peers: { names: ['n-1', 'n-2'], ask: () => Promise.resolve(null) },
      warden: null,
      wards: { warden: () => null },
      leader: () => own as Leader | null,
      toldCancelled: () => false,
      clock: steadyClock,
      log: silentLog(),
    } as unknown as ConstructorParameters<typeof Reports>[0];
    const reports = new Reports(parts);
    const report = Buffer.from(
      JSON.stringify({
        bench: 'host-1', addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false, shift: 1,
        tally: 1, hallmark: 5, recall_s: null, pieces: [],
      }),
    ); // prettier-ignore
    const first = await reports.checkin(report);
    assert.equal(
      (JSON.parse(first.body!) as { foreman?: string }).foreman,
      'n-1',
      `${name}: sent on`,
    );
    const second = reports.checkin(report);
    await wait(50);
    if (then === 'leads here') own = { checkin: () => ({ status: 200, body: '{}' }) };
    if (then === 'leads elsewhere') replica.leader = { node: 'n-2', revision: 6 };
    const reply = await second;
    assert.equal(reply.status, status, name);
    assert.equal((JSON.parse(reply.body!) as { foreman?: string }).foreman, foreman, name);
  }
});
