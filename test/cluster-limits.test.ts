import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TEAMS_GPUS_MAX, wait } from './helpers.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';
import { deaf, hang, mute, type MachineTrouble } from './standins/worker.js';

const LEASE = 2;

const CANCELLED = 'wk-000001';
const KEPT = 'wk-000002';
const WAITING = 'wk-000003';

interface Spell extends Row, MachineTrouble {
  /** In leases, from the leader's end. */
  forLeases: number;
  /** The job is cancelled before the leader ends, or while there is none. */
  cancelled: 'before' | 'after';
}

// Cancelled tasks on a machine that is not heard take their team's capacity until they are provably gone.
test('a team at its limit, a machine cut off or hanging, a job cancelled, the leader ends: the limit holds', async () => {
  const rows: Spell[] = [
    { name: 'mute, cancelled before', ...mute, forLeases: 2, cancelled: 'before' },
    { name: 'deaf, cancelled before', ...deaf, forLeases: 2, cancelled: 'before' },
    { name: 'hanging, cancelled before', ...hang, forLeases: 2, cancelled: 'before' },
    { name: 'mute, cancelled after', ...mute, forLeases: 2, cancelled: 'after' },
    { name: 'deaf, cancelled after', ...deaf, forLeases: 2, cancelled: 'after' },
    { name: 'hanging for a moment', ...hang, forLeases: 0.4, cancelled: 'after' },
  ];
  await playAll(rows, { leaseS: LEASE }, playSpell);
});

async function playSpell(cluster: Cluster, row: Spell): Promise<void> {
  const { users } = cluster;
  const half = TEAMS_GPUS_MAX / 2;
  for (const ref of [CANCELLED, KEPT]) {
    await users.submit(0, ref, { form: 'daemon', pieces: half });
    await cluster.runs(ref, half);
  }
  const old = await cluster.newLeader();
  const other = (old + 1) % 3;
  await users.submit(other, WAITING, { pieces: TEAMS_GPUS_MAX });
  const host = cluster.hosts(CANCELLED)[0]!;

  row.begin(host);
  if (row.cancelled === 'before') await users.cancel(other, CANCELLED);
  cluster.stopController(old);
  if (row.cancelled === 'after') await users.cancel(other, CANCELLED);
  await wait(row.forLeases * LEASE * 1000);
  row.end(host);

  await users.sees(other, WAITING, 'done');
  assert.equal(cluster.tasks(CANCELLED).length, 0, 'cancelled tasks');
  await cluster.runs(KEPT, half);
}
