import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HealthTable } from '../src/admission/controller-health.js';
import { LeadershipTransfer } from '../src/admission/leadership-transfer.js';
import { Overload } from '../src/admission/overload.js';
import { silentLog } from '../src/log.js';
import type { ControllerHealth } from '../src/peers/messages.js';
import { ANSWER_WAIT_S } from '../src/wire/workers.js';
import { wait } from './helpers.js';
import { runScenarios } from './standins/cluster.js';
import { fake } from './support/fake.js';

const LEASE_S = 10;
const HEARTBEAT_INTERVAL_S = 1;
const TICK_S = HEARTBEAT_INTERVAL_S / 2;
const LATE_S = ANSWER_WAIT_S / 2;

interface Case {
  name: string;
  /** Lags of the timer, one per tick. */
  lags: number[];
  others: (ControllerHealth | null)[];
  /** Age of the other controllers' health data, in heartbeat intervals. */
  healthAgeIntervals?: number;
  leads?: boolean;
  /** Leases since it was elected. */
  ledForLeases?: number;
  stepDowns: number;
}

const idle: ControllerHealth = { latenessS: 0, served: true };
const asLate: ControllerHealth = { ...idle, latenessS: LATE_S };
const cutOff: ControllerHealth = { ...idle, served: false };
/** Health of another controller whose forwarded heartbeats wait for the leader. */
const withForwardingDelay = (relayS: number, latenessS = 0): ControllerHealth => ({
  latenessS,
  served: true,
  relayS,
});
const sixTimes = (lag: number): number[] => Array<number>(6).fill(lag);

const CASES: Case[] = [
  { name: 'in time', lags: sixTimes(0.01), others: [idle, idle], stepDowns: 0 },
  { name: 'late every other time, another is idle', lags: [0, LATE_S, 0, LATE_S, 0, LATE_S], others: [null, idle], stepDowns: 1 },
  { name: 'late, another is idle', lags: sixTimes(LATE_S), others: [null, idle], stepDowns: 1 },
  { name: 'late, another is half as late', lags: sixTimes(LATE_S), others: [asLate, { ...idle, latenessS: LATE_S * 0.45 }], stepDowns: 1 },
  { name: 'late once', lags: [0, LATE_S, 0, 0, 0, 0], others: [idle, idle], stepDowns: 0 },
  { name: 'very late twice in a row', lags: [0, LATE_S, LATE_S, 0, 0, 0], others: [idle, idle], stepDowns: 1 },
  { name: 'late, and so are the others', lags: sixTimes(LATE_S), others: [asLate, asLate], stepDowns: 0 },
  { name: 'late, the store does not serve the others', lags: sixTimes(LATE_S), others: [cutOff, cutOff], stepDowns: 0 },
  { name: 'late, no health data of the others', lags: sixTimes(LATE_S), others: [null, null], stepDowns: 0 },
  { name: 'late, health data of the others is old but not stale', lags: sixTimes(LATE_S), others: [idle, idle], healthAgeIntervals: 2.5, stepDowns: 1 },
  { name: 'late, health data of the others is stale', lags: sixTimes(LATE_S), others: [idle, idle], healthAgeIntervals: 3.5, stepDowns: 0 },
  { name: 'late, but it does not lead', lags: sixTimes(LATE_S), others: [idle, idle], leads: false, stepDowns: 0 },
  { name: 'late just after its election', lags: sixTimes(LATE_S), others: [idle, idle], ledForLeases: 1.6, stepDowns: 0 },
  { name: 'its timers are on time, but heartbeats forwarded to it wait', lags: sixTimes(0.01), others: [withForwardingDelay(0.8), withForwardingDelay(0.9)], stepDowns: 1 },
  { name: 'heartbeats of only one controller wait, and that one is slow itself', lags: sixTimes(0.01), others: [withForwardingDelay(0.1), withForwardingDelay(0.9)], stepDowns: 0 },
  { name: 'forwarded heartbeats wait, and the other controllers are late too', lags: sixTimes(0.01), others: [withForwardingDelay(0.8, 0.45), withForwardingDelay(0.9, 0.5)], stepDowns: 0 },
  { name: 'forwarded heartbeats waited, but that data is stale', lags: sixTimes(0.01), others: [withForwardingDelay(0.8), withForwardingDelay(0.9)], healthAgeIntervals: 3.5, stepDowns: 0 },
  { name: 'late for longer: one transfer only', lags: [...sixTimes(LATE_S), ...sixTimes(LATE_S)], others: [idle, idle], stepDowns: 1 },
]; // prettier-ignore

/** The part of a controller that measures overload, exchanges health data and transfers leadership. */
class TestController {
  readonly overload = new Overload();
  readonly health: HealthTable;
  readonly leadershipTransfer: LeadershipTransfer;
  stepDowns = 0;

  constructor(
    clock: { now: () => number },
    leads: () => boolean,
    onStepDown = (): void => undefined,
    electedAt = (): number => -Infinity,
  ) {
    this.health = new HealthTable({
      clock,
      heartbeatIntervalS: HEARTBEAT_INTERVAL_S,
      own: () => this.own,
    });
    this.leadershipTransfer = new LeadershipTransfer({
      overload: this.overload,
      health: this.health,
      clock,
      log: silentLog(),
      leaseS: LEASE_S,
      isLeader: leads,
      electedAt,
      stepDown: () => {
        this.stepDowns++;
        onStepDown();
        return Promise.resolve();
      },
    });
  }

  /** The health data that this controller sends to the others. */
  get own(): ControllerHealth {
    return { latenessS: this.overload.latenessS, served: true };
  }
}

// A leader that had become three times slower stayed leader, and all machines lost their leases.
test('a leader that is too late for some time transfers leadership at once if another controller is healthier', () => {
  for (const {
    name,
    lags,
    others,
    healthAgeIntervals: figuresAgeIntervals = 0,
    leads = true,
    ledForLeases = 3,
    stepDowns,
  } of CASES) {
    let now = 0;
    const electedAt = (): number => -ledForLeases * LEASE_S;
    const node = new TestController({ now: () => now }, () => leads, undefined, electedAt);
    for (const lag of lags) {
      now += TICK_S;
      others.forEach((health, i) => {
        const at = now;
        now -= figuresAgeIntervals * HEARTBEAT_INTERVAL_S;
        if (health !== null) node.health.recordHealth(`n-${i}`, health);
        now = at;
      });
      node.overload.recordTimerLag(lag, now);
      node.leadershipTransfer.transferIfOverloaded();
    }
    assert.equal(node.stepDowns, stepDowns, name);
  }
});

test('health data is sent once in a quarter of a heartbeat interval; a silent controller is asked', () => {
  let now = 0;
  const node = new TestController({ now: () => now }, () => true);
  const [first, second] = [node.health.createSender(), node.health.createSender()];
  assert.deepEqual([first(), first(), second()], [node.own, null, node.own], 'per connection');
  now += HEARTBEAT_INTERVAL_S * 0.2;
  assert.equal(first(), null);
  now += HEARTBEAT_INTERVAL_S * 0.1;
  assert.deepEqual(first(), node.own);

  const asked: string[] = [];
  const peers = {
    peerNames: ['a', 'b'],
    ask: (to: string) => Promise.resolve(void asked.push(to)),
  };
  const refresh = (): string[] => {
    now += TICK_S;
    node.health.recordHealth('b', idle);
    node.health.refresh(fake<Parameters<HealthTable['refresh']>[0]>(peers));
    return asked.splice(0);
  };
  assert.deepEqual([refresh(), refresh(), refresh(), refresh()], [['a'], [], ['a'], []]);
});

test('of several healthier controllers the healthiest is chosen; a late one is known to be late', () => {
  let now = 0;
  const node = new TestController({ now: () => now }, () => true);
  for (let i = 0; i < 6; i++) node.overload.recordTimerLag(LATE_S, now);
  const healthData: [string, number, boolean][] = [
    ['a', LATE_S * 0.3, true],
    ['b', LATE_S * 0.1, true],
    ['c', LATE_S * 0.2, true],
    ['d', 0, false],
  ];
  for (const [name, latenessS, served] of healthData)
    node.health.recordHealth(name, { latenessS, served });
  assert.equal(node.health.findHealthier(), 'b');
  assert.deepEqual(
    ['a', 'b', 'nobody'].map((name) => node.health.isLate(name)),
    [true, false, false],
  );
  node.health.recordHealth('e', withForwardingDelay(ANSWER_WAIT_S * 0.2));
  assert.equal(
    node.health.isLate('e'),
    false,
    'its forwarded heartbeats wait because of the leader',
  );
  now += HEARTBEAT_INTERVAL_S * 4;
  assert.deepEqual([node.health.findHealthier(), node.health.isLate('a')], [null, false], 'stale');
});

/** How late a controller is at a given time, as leader or follower. */
type Lateness = (leads: boolean, now: number) => number;
const FAST: Lateness = () => 0;
/** Late only under a leader's load: as a follower it appears healthy. */
const SLOW: Lateness = (leads) => (leads ? LATE_S : 0);
const SLOW_ALWAYS: Lateness = () => LATE_S;
const ALTERNATING: Lateness = (_leads, now) => (Math.floor(now / 5) % 2 === 0 ? LATE_S : 0);

test('the number of leadership changes is bounded, whichever controllers are slow and when', () => {
  const MINUTES = 10;
  /** Limit per controller: one transfer in two leases of 10 s, and one at the beginning. */
  const EACH = (MINUTES * 60) / (2 * LEASE_S) + 1;
  /** Limit for all together: an elected controller stays leader for two leases. */
  const ALL = (MINUTES * 60) / (2 * LEASE_S) + 1;
  const cases: [string, Lateness[], number, number][] = [
    ['all are fast', [FAST, FAST, FAST], 0, 0],
    ['the leader is slow', [SLOW, FAST, FAST], 1, 1],
    ['one is fast', [SLOW_ALWAYS, SLOW_ALWAYS, FAST], 1, 1],
    ['all are always slow', [SLOW_ALWAYS, SLOW_ALWAYS, SLOW_ALWAYS], 0, 0],
    ['all are slow when they lead', [SLOW, SLOW, SLOW], 3, ALL],
    ['two alternate, one is slow', [ALTERNATING, ALTERNATING, SLOW_ALWAYS], 0, EACH],
    ['one alternates, the others are slow when they lead', [ALTERNATING, SLOW, SLOW], 1, ALL],
  ];
  for (const [name, latenesses, least, most] of cases) {
    let now = 0;
    let leader = 0;
    let electedAt = -Infinity;
    let changes = 0;
    const nodes = latenesses.map((_, i) => {
      // Elects the next controller that is not late.
      const next = (): number => {
        const others = nodes.map((_node, k) => (i + 1 + k) % nodes.length);
        return others.find((k) => k !== i && !nodes[k]!.overload.isLate) ?? i;
      };
      const stepDown = (): void => {
        leader = next();
        electedAt = now;
        changes++;
      };
      const clock = { now: () => now };
      const node: TestController = new TestController(
        clock,
        () => leader === i,
        stepDown,
        () => electedAt,
      );
      return node;
    });
    while (now < MINUTES * 60) {
      now += TICK_S;
      nodes.forEach((node, i) => {
        node.overload.recordTimerLag(latenesses[i]!(leader === i, now), now);
        nodes.forEach((other, k) => k !== i && other.health.recordHealth(`n-${i}`, node.own));
      });
      for (const node of nodes) node.leadershipTransfer.transferIfOverloaded();
    }
    assert.ok(changes >= least && changes <= most, `${name}: ${changes}`);
    for (const node of nodes)
      assert.ok(node.stepDowns <= EACH, `${name}: ${node.stepDowns} of one`);
  }
});

test('transferred leadership goes to another controller, and running tasks continue', async () => {
  const rows = [{ name: 'once' }];
  await runScenarios(rows, { leaseS: 3, cancelS: 6 }, async (cluster) => {
    await cluster.users.submit(0, 'wk-000001', { form: 'daemon', pieces: 3 });
    await cluster.waitForRunning('wk-000001', 3);
    const old = await cluster.waitForLeader();
    const began = Date.now();
    await cluster.controllers[old]!.election.stepDown();
    assert.equal(cluster.leads(old), false);
    await cluster.waitForLeader(old);
    // If the leader did not delete its key, the others would wait for the key's lease, 0.3 of a worker's lease.
    assert.ok(Date.now() - began < 3 * 0.3 * 1000, 'without waiting for the lease');
    await wait(3000);
    await cluster.waitForRunning('wk-000001', 3);
    for (let i = 0; i < 3; i++) assert.equal(cluster.rules.starts.get(`wk-000001/${i}`), 1);
  });
});
