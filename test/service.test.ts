import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { until, wait } from './helpers.js';
import { Cluster } from './standins/cluster.js';
import type { Json } from './standins/http.js';
import { submission } from './standins/users.js';

/** End-to-end tests of three controllers against stand-ins that check the rules of the protocol. */
const LEASE_S = 4;
let cluster: Cluster;

before(async () => {
  cluster = await Cluster.start({ leaseS: LEASE_S });
});

after(() => cluster.close());

const isReady = (at: number) => async (): Promise<boolean> =>
  (await cluster.users.request(at, 'GET', '/ready')).status === 200;

const assertTasksStartedOnce = (ref: string, count: number): void => {
  for (let i = 0; i < count; i++) assert.equal(cluster.rules.starts.get(`${ref}/${i}`), 1);
};

test('job arrays and gangs run to completion, each task once, and every controller reports it', async () => {
  const { users } = cluster;
  await until('ready', isReady(0));
  await Promise.all([
    users.submit(0, 'wk-000001', { pieces: 20 }),
    users.submit(1, 'wk-000002', { form: 'group', pieces: 3 }),
  ]);
  for (const at of cluster.indexes) {
    await users.waitForState(at, 'wk-000001', 'done');
    await users.waitForState(at, 'wk-000002', 'done');
  }
  assertTasksStartedOnce('wk-000001', 20);
  cluster.assertRules();
});

test('repeated submissions, unknown jobs and invalid input', async () => {
  const cases: [string, string, string, Json | undefined, number][] = [
    ['known job', 'POST', '/submissions', submission('wk-000001', { pieces: 20 }), 200],
    ['known job, now malformed', 'POST', '/submissions', { ref: 'wk-000001' }, 200],
    [
      'known job, team changed',
      'POST',
      '/submissions',
      { ...submission('wk-000001'), crew: 'x' },
      200,
    ],
    ['unknown team', 'POST', '/submissions', { ...submission('wk-000900'), crew: 'x' }, 422],
    [
      'over the limit',
      'POST',
      '/submissions',
      submission('wk-000901', { form: 'group', pieces: 13 }),
      422,
    ],
    ['missing fields', 'POST', '/submissions', { ref: 'wk-000902' }, 400],
    ['never submitted', 'GET', '/submissions/wk-000903', undefined, 404],
    ['cancel of what was never submitted', 'POST', '/submissions/wk-000904/withdraw', {}, 404],
    ['done stays done', 'POST', '/submissions/wk-000001/withdraw', {}, 200],
    ['unknown path', 'GET', '/x', undefined, 404],
    ['wrong method', 'PUT', '/submissions', {}, 405],
    ['garbage from a worker', 'POST', '/checkin', { bench: 5 }, 400],
  ];
  for (const [name, method, path, body, status] of cases) {
    for (const at of cluster.indexes) {
      const reply = await cluster.users.request(at, method, path, body);
      assert.equal(reply.status, status, `${name} at node ${at}`);
      if (status === 200) assert.equal(reply.state, 'done', name);
    }
  }
});

test('a heartbeat with a later fencing token gets 503, not an answer that the worker would ignore', async () => {
  const report = {
    bench: 'host-999999', addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false, shift: 1,
    tally: 1, hallmark: 1e9, recall_s: null, pieces: [],
  }; // prettier-ignore
  for (const at of cluster.indexes) {
    assert.equal((await cluster.users.request(at, 'POST', '/checkin', report)).status, 503);
  }
});

test('malformed HTTP is answered with 400, its connection is closed, and the controller keeps running', async () => {
  for (const bytes of ['x\r\n\r\n', 'GET /ready HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n']) {
    const got = await new Promise<string>((resolve) => {
      const socket = connect(cluster.ports[0]!.bind, '127.0.0.1', () => socket.write(bytes));
      let text = '';
      socket.on('data', (d) => (text += d.toString()));
      socket.on('close', () => resolve(text));
    });
    assert.match(got, /^HTTP\/1\.1 400 /);
  }
  assert.ok(await isReady(0)());
});

test('a service runs until it is cancelled, and stays cancelled', async () => {
  const { users } = cluster;
  await users.submit(2, 'wk-000003', { form: 'daemon', pieces: 2 });
  await until('replicas', () => cluster.tasks('wk-000003').length === 2);
  await users.cancel(1, 'wk-000003');
  await cluster.waitForGone('wk-000003');
  for (const at of cluster.indexes) {
    assert.equal((await users.poll(at, 'wk-000003')).state, 'cancelled');
  }
});

test('after the leader stops, running work continues and no task starts twice', async () => {
  const { users } = cluster;
  await users.submit(0, 'wk-000004', { form: 'daemon', pieces: 3 });
  await users.submit(0, 'wk-000005', { pieces: 30 }, 0.5);
  await until('running', () => cluster.tasks('wk-000004').length === 3);
  const oldLeader = await cluster.waitForLeader();
  cluster.stopController(oldLeader);
  await cluster.waitForLeader(oldLeader);
  await users.waitForState((oldLeader + 1) % 3, 'wk-000005', 'done');
  assert.equal(cluster.tasks('wk-000004').length, 3);
  assertTasksStartedOnce('wk-000004', 3);
  await cluster.startController(oldLeader);
  await until('back', isReady(oldLeader));
  assert.equal((await users.poll(oldLeader, 'wk-000005')).state, 'done');
  cluster.assertRules();
});

test('running work survives an outage of the key-value store longer than the lease', async () => {
  const starts = new Map(cluster.rules.starts);
  cluster.store.down = true;
  await wait(LEASE_S * 2000);
  assert.equal(cluster.tasks('wk-000004').length, 3);
  // An uncertain state is answered with 503, a final one is reported.
  assert.equal((await cluster.users.poll(0, 'wk-000903')).status, 503);
  cluster.store.down = false;
  await cluster.users.waitForState(0, 'wk-000004', 'running');
  assert.deepEqual(cluster.rules.starts, starts);
});

test('if the leader stops in an outage, the other controllers renew the leases and do nothing else', async () => {
  const starts = new Map(cluster.rules.starts);
  const oldLeader = await cluster.waitForLeader();
  cluster.store.down = true;
  await wait(LEASE_S * 500);
  cluster.stopController(oldLeader);
  await wait(LEASE_S * 2000);
  assert.equal(cluster.tasks('wk-000004').length, 3);
  cluster.store.down = false;
  await cluster.waitForLeader(oldLeader);
  await cluster.users.waitForState((oldLeader + 1) % 3, 'wk-000004', 'running');
  assert.deepEqual(cluster.rules.starts, starts);
  await cluster.startController(oldLeader);
  cluster.assertRules();
});

test('a machine that is cut off is replaced after its lease has expired, not before', async () => {
  const host = cluster.hosts('wk-000004')[0]!;
  host.heartbeatsLost = true;
  const others = () => cluster.workers.filter((worker) => worker !== host);
  await until('replaced', () => cluster.tasks('wk-000004', others()).length === 3);
  cluster.assertRules();
});

test('without work, every machine is returned', async () => {
  // Warm capacity was once never returned after the last job.
  for (const worker of cluster.workers) worker.heartbeatsLost = false;
  await cluster.users.cancel(0, 'wk-000004');
  await until('no machines', () => cluster.workers.length === 0, 60);
});
