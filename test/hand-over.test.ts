import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HandOver } from '../src/admission/hand-over.js';
import { Overload } from '../src/admission/overload.js';
import { silentLog } from '../src/log.js';
import type { Answer } from '../src/peers/peers.js';
import { ANSWER_WAIT_S } from '../src/wire/workers.js';
import { wait } from './helpers.js';
import { playAll } from './standins/cluster.js';

const LEASE_S = 10;
const LATE = ANSWER_WAIT_S / 2;

interface Case {
  name: string;
  /** Latenesses of the timer, half a second apart. */
  lags: number[];
  answers: (Answer | null)[];
  leads?: boolean;
  resigns: number;
}

const idle: Answer = { there: true, served: true, delayS: 0 };
const asLate: Answer = { ...idle, delayS: LATE };
const cutOff: Answer = { ...idle, served: false };
const lately = (lag: number): number[] => Array<number>(6).fill(lag);

const CASES: Case[] = [
  { name: 'in time', lags: lately(0.01), answers: [idle, idle], resigns: 0 },
  { name: 'late every other time, another is idle', lags: [0, LATE, 0, LATE, 0, LATE], answers: [null, idle], resigns: 1 },
  { name: 'late, another is idle', lags: lately(LATE), answers: [null, idle], resigns: 1 },
  { name: 'late once', lags: [0, LATE, 0, 0, 0, 0], answers: [idle, idle], resigns: 0 },
  { name: 'late by much twice in a row', lags: [0, LATE, LATE, 0, 0, 0], answers: [idle, idle], resigns: 1 },
  { name: 'late, the others too', lags: lately(LATE), answers: [asLate, asLate], resigns: 0 },
  { name: 'late, the others are not served', lags: lately(LATE), answers: [cutOff, cutOff], resigns: 0 },
  { name: 'late, nobody answers', lags: lately(LATE), answers: [null, null], resigns: 0 },
  { name: 'late, but it does not lead', lags: lately(LATE), answers: [idle, idle], leads: false, resigns: 0 },
  { name: 'late for longer: once', lags: [...lately(LATE), ...lately(LATE)], answers: [idle, idle], resigns: 1 },
]; // prettier-ignore

// A leader that had become three times slower kept its leadership, and all machines lost their leases.
test('a leader that is too late for long hands over where another one is better off', async () => {
  for (const { name, lags, answers, leads = true, resigns } of CASES) {
    let now = 0;
    let resigned = 0;
    const overload = new Overload();
    const handOver = new HandOver({
      overload,
      peers: {
        names: answers.map((_, i) => `n-${i}`),
        ask: (node) => Promise.resolve(answers[Number(node.slice(2))]!),
      },
      clock: { now: () => now },
      log: silentLog(),
      leaseS: LEASE_S,
      leads: () => leads,
      resign: () => Promise.resolve(void resigned++),
    });
    for (const lag of lags) {
      now += 0.5;
      overload.noteLag(lag, now);
      await handOver.consider();
    }
    assert.equal(resigned, resigns, name);
  }
});

test('leadership that is handed over goes to another controller, and what runs goes on', async () => {
  const rows = [{ name: 'once' }];
  await playAll(rows, { leaseS: 3, cancelS: 6 }, async (cluster) => {
    await cluster.users.submit(0, 'wk-000001', { form: 'daemon', pieces: 3 });
    await cluster.runs('wk-000001', 3);
    const old = await cluster.newLeader();
    const began = Date.now();
    await cluster.controllers[old]!.election.resign();
    assert.equal(cluster.leads(old), false);
    await cluster.newLeader(old);
    // Without the key's end the others would wait for its lease, 0.3 of a worker's.
    assert.ok(Date.now() - began < 3 * 0.3 * 1000, 'at once');
    await wait(3000);
    await cluster.runs('wk-000001', 3);
    for (let i = 0; i < 3; i++) assert.equal(cluster.rules.starts.get(`wk-000001/${i}`), 1);
  });
});
