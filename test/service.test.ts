import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { parseSettings } from '../src/config/settings.js';
import { silentLog } from '../src/log.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import { Node } from '../src/service/node.js';
import { freePort, settingsText, until, type Ports } from './helpers.js';
import { FleetStand, StateStand } from './standins.js';

/** The main job end to end: three controllers against stand-ins that watch the rules. */
const LEASE = 2;
const state = new StateStand();
const fleet = new FleetStand(LEASE);
const ports: Ports[] = [];
const nodes: (Node | null)[] = [];

async function startNode(i: number): Promise<void> {
  const text = settingsText(i, ports, fleet.port, state.port, LEASE);
  const node = new Node(parseSettings(text), DEFAULT_POLICY, silentLog());
  await node.start();
  nodes[i] = node;
}

function stopNode(i: number): void {
  nodes[i]?.stop();
  nodes[i] = null;
}

before(async () => {
  await state.listen();
  await fleet.listen();
  for (let i = 0; i < 3; i++) ports.push({ bind: await freePort(), peer: await freePort() });
  fleet.controllers = ports.map((p) => p.bind);
  for (let i = 0; i < 3; i++) await startNode(i);
});

after(() => {
  for (let i = 0; i < 3; i++) stopNode(i);
  fleet.close();
  state.close();
});

async function call(
  i: number,
  method: string,
  path: string,
  body?: unknown,
): Promise<[number, Record<string, unknown>]> {
  try {
    const r = await fetch(`http://127.0.0.1:${ports[i]!.bind}${path}`, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(5000),
    });
    return [r.status, (await r.json().catch(() => ({}))) as Record<string, unknown>];
  } catch {
    return [0, {}];
  }
}

const submission = (ref: string, form: string, pieces: number) => ({
  ref, guild: 'c', crew: 't', form, rank: 'standard', pieces, cores: 1, gpus: 1, mem_gb: 1,
  mould: 'i', image_gb: 1, castings: null, yard: null, one_zone: form === 'group', scatter: false,
  loaner: false, reckon_s: 1, stamp_s: 0, stamping_s: 0, due_s: null,
}); // prettier-ignore

async function submit(
  i: number,
  ref: string,
  form: string,
  pieces: number,
  runS = 0.3,
): Promise<void> {
  fleet.jobs.set(ref, { tasks: pieces, gang: form === 'group', service: form === 'daemon', runS });
  await until(`accepted ${ref}`, async () => {
    const [s] = await call(i, 'POST', '/submissions', submission(ref, form, pieces));
    return s === 200 || s === 201;
  });
}

const shows = (i: number, ref: string, temper: string) => async (): Promise<boolean> =>
  (await call(i, 'GET', `/submissions/${ref}`))[1].temper === temper;

const onMachines = (ref: string): number =>
  [...fleet.workers.values()].flatMap((w) =>
    w.tasks.filter((t) => t.piece.startsWith(`${ref}/`) && t.temper !== 'ended'),
  ).length;

test('arrays and gangs run to their end, each task once; any node tells', async () => {
  await until('ready', async () => (await call(0, 'GET', '/ready'))[0] === 200);
  await Promise.all([submit(0, 'wk-000001', 'batch', 20), submit(1, 'wk-000002', 'group', 3)]);
  for (let i = 0; i < 3; i++) {
    await until('array done', shows(i, 'wk-000001', 'done'));
    await until('gang done', shows(i, 'wk-000002', 'done'));
  }
  for (let t = 0; t < 20; t++) assert.equal(fleet.starts.get(`wk-000001/${t}`), 1);
  assert.deepEqual(fleet.broken, []);
});

test('repetitions, unknown jobs and bad input', async () => {
  const cases: [string, string, string, unknown, number][] = [
    ['known job', 'POST', '/submissions', submission('wk-000001', 'batch', 20), 200],
    ['known job, now malformed', 'POST', '/submissions', { ref: 'wk-000001' }, 200],
    [
      'known job, team changed',
      'POST',
      '/submissions',
      { ...submission('wk-000001', 'batch', 1), crew: 'x' },
      200,
    ],
    [
      'unknown team',
      'POST',
      '/submissions',
      { ...submission('wk-000900', 'batch', 1), crew: 'x' },
      422,
    ],
    ['over the limit', 'POST', '/submissions', submission('wk-000901', 'group', 13), 422],
    ['missing fields', 'POST', '/submissions', { ref: 'wk-000902' }, 400],
    ['never submitted', 'GET', '/submissions/wk-000903', undefined, 404],
    ['cancel of what was never submitted', 'POST', '/submissions/wk-000904/withdraw', {}, 404],
    ['done stays done', 'POST', '/submissions/wk-000001/withdraw', {}, 200],
    ['unknown path', 'GET', '/x', undefined, 404],
    ['wrong method', 'PUT', '/submissions', {}, 405],
    ['garbage from a worker', 'POST', '/checkin', { bench: 5 }, 400],
  ];
  for (const [name, method, path, body, status] of cases) {
    for (let i = 0; i < 3; i++) {
      const [s, b] = await call(i, method, path, body);
      assert.equal(s, status, `${name} at node ${i}`);
      if (s === 200) assert.equal(b.temper, 'done', name);
    }
  }
});

test('a worker that knows a later leader is sent on, not held with answers that it drops', async () => {
  const report = {
    bench: 'host-999999', addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false, shift: 1,
    tally: 1, hallmark: 1e9, recall_s: null, pieces: [],
  }; // prettier-ignore
  for (let i = 0; i < 3; i++) assert.equal((await call(i, 'POST', '/checkin', report))[0], 503);
});

test('malformed HTTP is answered with 400 and close, and the node lives', async () => {
  for (const bytes of ['x\r\n\r\n', 'GET /ready HTTP/1.1\r\n\r\nGET /ready HTTP/1.1\r\n\r\n']) {
    const got = await new Promise<string>((resolve) => {
      const s = connect(ports[0]!.bind, '127.0.0.1', () => s.write(bytes));
      let text = '';
      s.on('data', (d) => (text += d.toString()));
      s.on('close', () => resolve(text));
    });
    assert.match(got, /^HTTP\/1\.1 400 /);
  }
  assert.equal((await call(0, 'GET', '/ready'))[0], 200);
});

test('a service runs until cancelled, and stays cancelled', async () => {
  await submit(2, 'wk-000003', 'daemon', 2);
  await until('replicas', () => onMachines('wk-000003') === 2);
  await until(
    'cancelled',
    async () =>
      (await call(1, 'POST', '/submissions/wk-000003/withdraw', {}))[1].temper === 'cancelled',
  );
  fleet.cancelledAt.set('wk-000003', Date.now());
  await until('gone', () => onMachines('wk-000003') === 0);
  for (let i = 0; i < 3; i++) assert.ok(await shows(i, 'wk-000003', 'cancelled')());
});

const leaderIndex = (): number =>
  nodes.findIndex((n) => n?.leader !== null && n?.leader !== undefined);

test("a leader's end: running work goes on, nothing starts twice", async () => {
  await submit(0, 'wk-000004', 'daemon', 3);
  await submit(0, 'wk-000005', 'batch', 30, 0.5);
  await until('running', () => onMachines('wk-000004') === 3);
  const old = leaderIndex();
  stopNode(old);
  await until('a successor', () => leaderIndex() >= 0 && leaderIndex() !== old);
  const other = (old + 1) % 3;
  await until('array done', shows(other, 'wk-000005', 'done'));
  assert.equal(onMachines('wk-000004'), 3);
  for (let t = 0; t < 3; t++)
    assert.equal(fleet.starts.get(`wk-000004/${t}`), 1, 'replicas were kept');
  await startNode(old);
  await until('back', async () => (await call(old, 'GET', '/ready'))[0] === 200);
  assert.ok(await shows(old, 'wk-000005', 'done')());
  assert.deepEqual(fleet.broken, []);
});

test('an outage of the state service longer than the lease: running work is kept', async () => {
  const before = new Map(fleet.starts);
  state.down = true;
  await new Promise((r) => setTimeout(r, LEASE * 2000));
  assert.equal(onMachines('wk-000004'), 3);
  // Unsure is 503, what is final is known.
  assert.equal((await call(0, 'GET', '/submissions/wk-000903'))[0], 503);
  state.down = false;
  await until('served again', shows(0, 'wk-000004', 'running'));
  for (let t = 0; t < 3; t++) {
    assert.equal(fleet.starts.get(`wk-000004/${t}`), before.get(`wk-000004/${t}`));
  }
});

test('a leader that ends in an outage: the others keep the leases, nothing else', async () => {
  const before = new Map(fleet.starts);
  const old = leaderIndex();
  state.down = true;
  await new Promise((r) => setTimeout(r, LEASE * 500));
  stopNode(old);
  await new Promise((r) => setTimeout(r, LEASE * 2000));
  assert.equal(onMachines('wk-000004'), 3);
  state.down = false;
  await until('a successor', () => leaderIndex() >= 0 && leaderIndex() !== old);
  await until('served again', shows((old + 1) % 3, 'wk-000004', 'running'));
  for (let t = 0; t < 3; t++) {
    assert.equal(fleet.starts.get(`wk-000004/${t}`), before.get(`wk-000004/${t}`));
  }
  await startNode(old);
  assert.deepEqual(fleet.broken, []);
});

test('a machine that is cut off is replaced once its lease has run out, not before', async () => {
  const w = [...fleet.workers.values()].find((x) =>
    x.tasks.some((t) => t.piece.startsWith('wk-000004/') && t.temper === 'running'),
  )!;
  w.cut = true;
  await until(
    'replaced',
    () =>
      [...fleet.workers.values()]
        .filter((x) => x !== w)
        .flatMap((x) =>
          x.tasks.filter((t) => t.piece.startsWith('wk-000004/') && t.temper === 'running'),
        ).length === 3,
  );
  assert.deepEqual(fleet.broken, []);
});

test('with nothing to do, every machine goes back', async () => {
  // The room kept warm once stayed rented for ever after the last job.
  for (const w of fleet.workers.values()) w.cut = false;
  await until(
    'cancelled',
    async () =>
      (await call(0, 'POST', '/submissions/wk-000004/withdraw', {}))[1].temper === 'cancelled',
  );
  await until('no machines', () => fleet.workers.size === 0, 60);
});
