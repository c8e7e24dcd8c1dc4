import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { steadyClock } from '../src/clock.js';
import { Warden, WardenWatch, wardens, wardenTimes } from '../src/cluster/warden.js';
import { parseSettings } from '../src/config/settings.js';
import { silentLog } from '../src/log.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import { Node } from '../src/service/node.js';
import { KEEP_SHARE } from '../src/service/reports.js';
import { Refused, Unanswered } from '../src/state/client.js';
import { ANSWER_WAIT_S } from '../src/wire/workers.js';
import { freePort, settingsText, until, wait, type Ports } from './helpers.js';
import { FleetStand, Gate, StateStand } from './standins.js';

test('a zone has a warden when exactly one of several zones’ controllers is in it', () => {
  const n = (node: string, zone: string): { node: string; zone: string } => ({ node, zone });
  const cases: [string, { node: string; zone: string }[], [string, string][]][] = [
    ['one zone', [n('a', 'x'), n('b', 'x')], []],
    ['a single controller', [n('a', 'x')], []],
    ['one each', [n('a', 'x'), n('b', 'y')], [['x', 'a'], ['y', 'b']]],
    ['two in one', [n('a', 'x'), n('b', 'x'), n('c', 'y')], [['y', 'c']]],
  ]; // prettier-ignore
  for (const [name, nodes, want] of cases) assert.deepEqual([...wardens(nodes)], want, name);
});

test('a warden begins before workers give up waiting, whatever their lease', () => {
  for (const lease of [2, 10, 13, 15.25, 120]) {
    const { lifeS, beginS, keepS } = wardenTimes(lease);
    assert.ok(beginS <= ANSWER_WAIT_S * KEEP_SHARE, `${lease}: ${beginS}`);
    // Its key's life three times and half of it once more, see where they are reckoned.
    assert.ok(beginS >= lifeS * 3.5 && keepS > lease && lifeS <= lease / 10, `${lease}`);
  }
});

test('until when a zone may be kept, and what is certain of it', () => {
  const lease = 10;
  const { beginS, keepS } = wardenTimes(lease);
  const at = { now: 100 };
  const setup = (present: boolean, freshAt: number, refusedAt: number): WardenWatch => {
    const replica = { present: new Map(present ? [['a', 5]] : []) };
    const w = new WardenWatch(
      new Map([['x', 'a']]),
      lease,
      replica,
      { ready: true, freshAt },
      { refusedAt },
      { now: () => at.now },
    );
    at.now = 90;
    w.changed('a');
    at.now = 100;
    return w;
  };
  const gone = 90 + keepS;
  const cases: [string, WardenWatch, string, number, number][] = [
    ['no warden there', setup(true, 99, -Infinity), 'y', -Infinity, Infinity],
    ['key there, read just now', setup(true, 99, -Infinity), 'x', 90, 99],
    ['right after an outage a read proves nothing', setup(true, 99, 99 - beginS / 2), 'x', 90, -Infinity],
    ['long after one it does', setup(true, 99, 99 - beginS * 2), 'x', 90, 99],
    ['key gone: up to the bound', setup(false, 99, -Infinity), 'x', gone, Infinity],
  ]; // prettier-ignore
  for (const [name, w, zone, keptUntil, provenAt] of cases) {
    const z = w.zone(zone);
    assert.ok(Math.abs(z.keptUntil - keptUntil) < 1 || z.keptUntil === keptUntil, name);
    assert.equal(z.provenAt, provenAt, name);
  }
});

test('a warden keeps nothing before its key is certainly gone, and renews at most once in doubt', async () => {
  const lease = 0.4;
  const { beginS } = wardenTimes(lease);
  let silent = false;
  let unanswered = 0;
  let answeredSentAt = -Infinity;
  const client = {
    answeredAt: 0,
    writes: { force: () => undefined },
    grant: async () => 7,
    commit: async () => ({ ok: true, revision: 1 }),
    get: async () => {
      if (silent) throw new Unanswered('silent');
      return null;
    },
    extend: async () => {
      const sentAt = steadyClock.now();
      await wait(1);
      if (silent) {
        unanswered++;
        throw new Unanswered('silent');
      }
      answeredSentAt = sentAt;
      return true;
    },
  };
  const log = silentLog();
  const follower = { ready: true, sync: async () => true };
  const replica = { present: new Map() };
  const peers = { names: ['b'], ask: async () => null };
  const warden = new Warden(
    'a',
    'a-1',
    lease,
    client as never,
    follower as never,
    replica as never,
    () => peers as never,
    steadyClock,
    log,
  );
  void warden.run();
  await until('present', () => warden.state === 'present' && answeredSentAt > 0);
  assert.equal(warden.mayKeep(), false);
  silent = true;
  await until('kept', () => warden.mayKeep());
  assert.ok(steadyClock.now() - answeredSentAt > beginS);
  assert.equal(warden.state, 'alone');
  // One that was carried out without an answer lets the key live once more; a second would be one
  // too many.
  assert.equal(unanswered, 1);
  await until('the bound', () => !warden.mayKeep());
  assert.equal(warden.state, 'alone');
  silent = false;
  await until('heard again', () => warden.state === 'present');
  assert.equal(warden.mayKeep(), false);
  warden.stop();
});

test('a refusal is heard: nobody is cut off by an outage', async () => {
  const client = {
    writes: { force: () => undefined },
    grant: async () => 7,
    commit: async () => ({ ok: true, revision: 1 }),
    get: async () => {
      throw new Refused(503);
    },
    extend: async () => {
      throw new Refused(503);
    },
  };
  const follower = { ready: true, sync: async () => true };
  const peers = { names: ['b'], ask: async () => null };
  const warden = new Warden(
    'a',
    'a-1',
    0.2,
    client as never,
    follower as never,
    { present: new Map() } as never,
    () => peers as never,
    steadyClock,
    silentLog(),
  );
  void warden.run();
  await until('present', () => warden.state === 'present');
  await wait(300);
  assert.equal(warden.mayKeep(), false);
  assert.equal(warden.state, 'present');
  warden.stop();
});

// A zone with its controller and its machines, cut off from everything else.

const LEASE = 2;
const state = new StateStand();
const fleet = new FleetStand(LEASE);
const nodes: Node[] = [];
const gates: Gate[] = [];
const ports: Ports[] = [];

after(() => {
  for (const n of nodes) n.stop();
  for (const g of gates) g.close();
  fleet.close();
  state.close();
});

async function gate(target: number): Promise<number> {
  const g = new Gate(target);
  gates.push(g);
  return g.listen();
}

async function call(
  i: number,
  method: string,
  path: string,
  body?: unknown,
): Promise<[number, string]> {
  try {
    const r = await fetch(`http://127.0.0.1:${ports[i]!.bind}${path}`, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(5000),
    });
    return [r.status, ((await r.json().catch(() => ({}))) as { temper?: string }).temper ?? ''];
  } catch {
    return [0, ''];
  }
}

test('what runs in a zone that is cut off goes on; a cancellation waits until it can be held to', async () => {
  await state.listen();
  await fleet.listen();
  for (let i = 0; i < 3; i++) ports.push({ bind: await freePort(), peer: await freePort() });
  const zones = ['z1', 'z2', 'z3'];
  for (let i = 0; i < 3; i++) {
    // Every way to and from the controller of z2 goes through a gate.
    const seen: Ports[] = [];
    for (let k = 0; k < 3; k++) {
      const apart = i !== k && (i === 1 || k === 1);
      seen.push({ ...ports[k]!, peer: apart ? await gate(ports[k]!.peer) : ports[k]!.peer });
    }
    const store = i === 1 ? await gate(state.port) : state.port;
    const text = settingsText(i, seen, fleet.port, store, LEASE, zones);
    const node = new Node(parseSettings(text), DEFAULT_POLICY, silentLog());
    nodes.push(node);
    await node.start();
  }
  fleet.controllers = ports.map((p) => p.bind);
  const jobs = { 'wk-000001': 'z1', 'wk-000002': 'z2', 'wk-000003': 'z2' };
  for (const [ref, yard] of Object.entries(jobs)) {
    fleet.jobs.set(ref, { tasks: 1, gang: false, service: true, runS: 0 });
    const submission = {
      ref, guild: 'c', crew: 't', form: 'daemon', rank: 'standard', pieces: 1, cores: 1, gpus: 1,
      mem_gb: 1, mould: 'i', image_gb: 1, castings: null, yard, one_zone: false, scatter: false,
      loaner: false, reckon_s: 0, stamp_s: 0, stamping_s: 0, due_s: null,
    }; // prettier-ignore
    await until(
      `accepted ${ref}`,
      async () => (await call(0, 'POST', '/submissions', submission))[0] === 201,
    );
  }
  const onZone = (zone: string, ref: string): number =>
    [...fleet.workers.values()]
      .filter((w) => w.zone === zone)
      .flatMap((w) => w.tasks)
      .filter((t) => t.piece === `${ref}/0` && t.temper === 'running').length;
  for (const [ref, yard] of Object.entries(jobs))
    await until(`runs ${ref}`, () => onZone(yard, ref) === 1);

  for (const g of gates) g.set(true);
  for (const w of fleet.workers.values()) {
    w.reach = w.zone === 'z2' ? [ports[1]!.bind] : [ports[0]!.bind, ports[2]!.bind];
  }
  // Longer than a lease: without its warden the zone would have lost everything.
  await wait(LEASE * 1000 * 1.5);
  assert.equal(onZone('z2', 'wk-000002'), 1);
  const withdraw = (ref: string): Promise<[number, string]> =>
    call(0, 'POST', `/submissions/${ref}/withdraw`, {});
  // Its tasks live on unheard for longer than is allowed after "cancelled" has been told.
  assert.equal((await withdraw('wk-000003'))[0], 503);
  assert.notEqual((await call(2, 'GET', '/submissions/wk-000003'))[1], 'cancelled');
  await until('cancelled elsewhere', async () => (await withdraw('wk-000001'))[1] === 'cancelled');
  await wait(LEASE * 1000);

  for (const g of gates) g.set(false);
  for (const w of fleet.workers.values()) w.reach = null;
  await until('cancelled', async () => (await withdraw('wk-000003'))[1] === 'cancelled');
  await until('gone', () => onZone('z2', 'wk-000003') === 0);
  await until(
    'shown',
    async () => (await call(1, 'GET', '/submissions/wk-000002'))[1] === 'running',
  );
  assert.equal(onZone('z2', 'wk-000002'), 1);
  assert.equal(fleet.starts.get('wk-000002/0'), 1, 'never started again');
  assert.deepEqual(fleet.broken, []);
});
