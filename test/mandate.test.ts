import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { Mandate } from '../src/cluster/mandate.js';
import { parseSettings } from '../src/config/settings.js';
import { silentLog } from '../src/log.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import { Node } from '../src/service/node.js';
import { freePort, settingsText, until, wait, type Ports } from './helpers.js';
import { FleetStand, Gate, Refuser, StateStand } from './standins.js';

test('a leader counts leases as run out only once a majority has acknowledged it', () => {
  // Nodes, what the others say of their promises at 100 s, and until when leases may be kept.
  const cases: [string, number, number[], number][] = [
    ['alone', 1, [], -Infinity],
    ['nobody yet', 3, [], 100],
    ['one of three', 3, [-50], 50],
    ['one with a promise that still runs', 3, [1.5], 101.5],
    ['another without one', 3, [1.5, -50], 50],
    ['one of five is not enough', 5, [-50], 100],
    ['two of five', 5, [-50, -20], 80],
    ['the best two of five', 5, [2, -50, -20], 80],
    ['four nodes need two others', 4, [-50], 100],
  ];
  for (const [name, nodes, remains, kept] of cases) {
    const m = new Mandate(7, nodes, { now: () => 100 });
    remains.forEach((remainsS, i) => m.note(`n-${i}`, { remainsS }));
    assert.equal(m.keptUntil, kept, name);
    assert.equal(m.state, kept === 100 ? 'seeking' : 'backed', name);
  }
});

const LEASE = 2;
const state = new StateStand();
const fleet = new FleetStand(LEASE);
const refusers = [new Refuser(state), new Refuser(state), new Refuser(state)];
const nodes: Node[] = [];
const gates: Gate[] = [];
const ports: Ports[] = [];

after(() => {
  // What is held back would keep the process alive.
  for (const r of refusers) r.refuses = false;
  for (const n of nodes) n.stop();
  for (const g of [...gates, ...refusers]) g.close();
  fleet.close();
  state.close();
});

const leads = (i: number): boolean => nodes[i]!.leader !== null;

test('two controllers that are each refused alone do not pass for an outage beside one that is served', async () => {
  await state.listen();
  await fleet.listen();
  for (const r of refusers) await r.listen();
  for (let i = 0; i < 3; i++) ports.push({ bind: await freePort(), peer: await freePort() });
  const apart: Gate[][] = [[], [], []];
  for (let i = 0; i < 3; i++) {
    const seen: Ports[] = [];
    for (let k = 0; k < 3; k++) {
      const g = new Gate(ports[k]!.peer);
      gates.push(g);
      for (const at of [i, k]) apart[at]!.push(g);
      seen.push({ ...ports[k]!, peer: i === k ? ports[k]!.peer : await g.listen() });
    }
    const text = settingsText(i, seen, fleet.port, refusers[i]!.port, LEASE);
    const node = new Node(parseSettings(text), DEFAULT_POLICY, silentLog());
    nodes.push(node);
    await node.start();
  }
  fleet.controllers = ports.map((p) => p.bind);
  const ref = 'wk-000001';
  fleet.jobs.set(ref, { tasks: 2, gang: false, service: true, runS: 0 });
  const submission = {
    ref, guild: 'c', crew: 't', form: 'daemon', rank: 'standard', pieces: 2, cores: 1, gpus: 1,
    mem_gb: 1, mould: 'i', image_gb: 1, castings: null, yard: null, one_zone: false, scatter: false,
    loaner: false, reckon_s: 0, stamp_s: 0, stamping_s: 0, due_s: null,
  }; // prettier-ignore
  await until('accepted', async () => {
    const url = `http://127.0.0.1:${ports[0]!.bind}/submissions`;
    const r = await fetch(url, { method: 'POST', body: JSON.stringify(submission) });
    return r.status === 201;
  });
  const running = (): number =>
    [...fleet.workers.values()]
      .flatMap((w) => w.tasks)
      .filter((t) => t.piece.startsWith(ref) && t.temper === 'running').length;
  await until('runs', () => running() === 2);

  // The leader and another are refused, each for itself, and cut off from the one that is served.
  // The machines reach only those two.
  const old = nodes.findIndex((n) => n.leader !== null);
  const served = (old + 1) % 3;
  const third = (old + 2) % 3;
  for (const g of apart[served]!) g.set(true);
  for (const i of [old, third]) refusers[i]!.refuses = true;
  for (const w of fleet.workers.values()) w.reach = [ports[old]!.bind, ports[third]!.bind];
  // New ones reach the other.
  fleet.controllers = [ports[served]!.bind];
  await until('the served one leads', () => leads(served));
  // It once took the leases for run out after this time, and started anew what was still running.
  await wait(LEASE * 1000 * 2.5);
  assert.equal(running(), 2);
  assert.deepEqual(fleet.broken, []);
  assert.equal(fleet.starts.get(`${ref}/0`), 1);

  for (const g of gates) g.set(false);
  await until('the old one yields', () => !leads(old));
  for (const r of refusers) r.refuses = false;
  fleet.controllers = ports.map((p) => p.bind);
  for (const w of fleet.workers.values()) w.reach = null;
  await until('one leads', () => [0, 1, 2].filter(leads).length === 1);
  await until('runs again', () => running() === 2);
  assert.deepEqual(fleet.broken, []);
});

test('without the peer link a new leader is acknowledged by way of the store', async () => {
  for (const g of gates) g.set(true);
  const old = [0, 1, 2].findIndex(leads);
  nodes[old]!.stop();
  const others = [0, 1, 2].filter((i) => i !== old);
  await until('a successor', () => others.some(leads));
  await until('acknowledged in the store', () => {
    const [leader] = others.filter(leads);
    const token = leader === undefined ? 0 : nodes[leader]!.election.token;
    return [...state.keys].some(
      ([k, e]) => k.startsWith('ps/a/') && (e.value as { t: number }).t === token,
    );
  });
});
