import assert from 'node:assert/strict';
import { test } from 'node:test';
import { until, wait } from './helpers.js';
import { playAll, type Cluster, type Row } from './standins/cluster.js';
import { deaf, hang, mute, type MachineTrouble, type Worker } from './standins/worker.js';

const LEASE = 3;
const REF = 'wk-000001';
const TASKS = 3;

async function runsTasks(cluster: Cluster): Promise<Worker> {
  await cluster.users.submit(0, REF, { form: 'daemon', pieces: TASKS });
  await cluster.runs(REF, TASKS);
  return cluster.hosts(REF)[0]!;
}

/** Ends the leader and waits until another leads. */
async function changeLeader(cluster: Cluster): Promise<number> {
  const old = await cluster.endLeader();
  await cluster.newLeader(old);
  return old;
}

const startsOf = (cluster: Cluster): (number | undefined)[] =>
  Array.from({ length: TASKS }, (_, i) => cluster.rules.starts.get(`${REF}/${i}`));

const ONCE = Array<number>(TASKS).fill(1);

interface Unheard extends Row, MachineTrouble {
  /** In leases. */
  forLeases: number;
}

test('a leader ends while a machine with long tasks is deaf, mute or hanging', async () => {
  const rows: Unheard[] = [
    { name: 'deaf for a moment', forLeases: 0.4, ...deaf },
    { name: 'mute for a moment', forLeases: 0.4, ...mute },
    { name: 'hanging for a moment', forLeases: 0.4, ...hang },
    { name: 'deaf for long', forLeases: 2, ...deaf },
    { name: 'mute for long', forLeases: 2, ...mute },
    { name: 'hanging for long', forLeases: 2, ...hang },
  ];
  await playAll(rows, { leaseS: LEASE }, async (cluster, row) => {
    const host = await runsTasks(cluster);
    row.begin(host);
    const old = await cluster.endLeader();
    await wait(row.forLeases * LEASE * 1000);
    row.end(host);
    await cluster.newLeader(old);
    await wait(LEASE * 500);
    await cluster.runs(REF, TASKS);
    if (row.forLeases < 1) assert.deepEqual(startsOf(cluster), ONCE, 'kept');
  });
});

test('an old heartbeat reaches every controller: what runs is not started again', async () => {
  const rows = [
    { name: 'as a new leader begins', change: true },
    { name: 'after newer ones', change: false },
  ];
  await playAll(rows, { leaseS: LEASE }, async (cluster, { change }) => {
    const host = await runsTasks(cluster);
    // As it was before its tasks were started.
    const old = { ...(JSON.parse(host.lastReport) as object), tally: 1, pieces: [] };
    if (change) {
      host.mute = true;
      await cluster.endLeader();
    }
    const end = Date.now() + LEASE * 700;
    while (Date.now() < end) {
      await cluster.deliver(JSON.stringify(old));
      await wait(20);
    }
    host.mute = false;
    await wait(LEASE * 500);
    await cluster.runs(REF, TASKS);
    assert.deepEqual(startsOf(cluster), ONCE);
  });
});

/** A machine that misses so many heartbeats gets nothing new: here that takes a second. */
const HELD_UP_LEASE = 4;
const HERE = 'wk-000002';
const THERE = 'wk-000003';

async function reports(worker: Worker): Promise<void> {
  const { lastReport } = worker;
  await until(`${worker.id} reports`, () => worker.lastReport !== lastReport);
}

/** Two machines, of which the other one suits the job better; but it is not heard when it is placed. */
async function startsHeldUp(cluster: Cluster): Promise<{ host: Worker; other: Worker }> {
  const image = { mould: 'j', image_gb: 50 };
  await cluster.users.submit(0, HERE, { form: 'daemon', gpus: 6 });
  await cluster.runs(HERE, 1);
  await cluster.users.submit(0, THERE, { form: 'daemon', gpus: 3, ...image });
  await cluster.runs(THERE, 1);
  const host = cluster.hosts(HERE)[0]!;
  const other = cluster.hosts(THERE)[0]!;
  assert.notEqual(host, other);
  other.mute = true;
  // A machine that has missed its heartbeats gets nothing new, and keeps what it has.
  await wait(HELD_UP_LEASE * 350);
  await reports(host);
  // Nothing but the direct command brings the start: neither an answer to a heartbeat nor a repetition.
  host.mute = host.deaf = true;
  host.holdUpDirect(HELD_UP_LEASE * 800);
  // Its last heartbeat may still be on its way to the leader: the answer to that would carry the start.
  await wait(HELD_UP_LEASE * 25);
  await cluster.users.submit(1, REF, { form: 'daemon', pieces: 2, ...image });
  await until('a start is held up', () => host.heldUp > 0);
  host.holdUpDirect(0);
  other.mute = false;
  await reports(other);
  return { host, other };
}

// The host's reports show the new leader neither the start nor its token: they prove nothing, and what
// was claimed there may still be started. Without the fence it is started on the other machine too.
test("a leader's direct command arrives when the next leader has begun", async () => {
  const rows = [{ name: 'start' }];
  await playAll(rows, { leaseS: HELD_UP_LEASE }, async (cluster) => {
    const { host, other } = await startsHeldUp(cluster);
    await changeLeader(cluster);
    // The new leader knows of the capacity there before it hears the host.
    for (let i = 0; i < 3; i++) await reports(other);
    host.mute = false;
    await until('the start arrives', () => host.arrivedLate > 0);
    await wait(HELD_UP_LEASE * 250);
    host.deaf = false;
    await cluster.runs(REF, 2);
  });
});

test('leaders change ten times quickly, also inside an outage: what runs goes on', async () => {
  const rows = [
    { name: 'served', outage: false },
    { name: 'with an outage', outage: true },
  ];
  await playAll(rows, { leaseS: LEASE }, async (cluster, { outage }) => {
    await runsTasks(cluster);
    for (let i = 0; i < 10; i++) {
      await cluster.newLeader();
      // It leads long enough to be heard by the machines, or their leases would rightly end.
      await wait(LEASE * 150);
      await cluster.leaderIsHeard();
      cluster.state.down = outage && i === 5;
      const old = await cluster.endLeader();
      await wait(LEASE * 100);
      await cluster.startController(old);
      cluster.state.down = false;
    }
    await cluster.newLeader();
    await cluster.runs(REF, TASKS);
    assert.deepEqual(startsOf(cluster), ONCE);
  });
});

test('all controllers are away: what they accepted is known and runs', async () => {
  const rows = [
    { name: 'for less than a lease', leases: 0.3, kept: true },
    { name: 'for longer', leases: 1.5, kept: false },
  ];
  await playAll(rows, { leaseS: LEASE }, async (cluster, { leases, kept }) => {
    await runsTasks(cluster);
    await cluster.users.submit(0, 'wk-000002', { pieces: 4 }, 1);
    for (const at of cluster.indexes) cluster.stopController(at);
    await wait(leases * LEASE * 1000);
    for (const at of cluster.indexes) await cluster.startController(at);
    for (const at of cluster.indexes) await cluster.users.sees(at, 'wk-000002', 'done');
    await cluster.runs(REF, TASKS);
    if (kept) assert.deepEqual(startsOf(cluster), ONCE);
  });
});
