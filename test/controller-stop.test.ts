import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { test } from 'node:test';
import { parseSettings } from '../src/config/settings.js';
import { silentLog } from '../src/log.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import { Controller } from '../src/controller/controller.js';
import { freePort, settingsText, wait } from './helpers.js';
import { Cloud } from './standins/cloud.js';
import { RuleChecker } from './standins/rules.js';
import { StoreAccess, StoreServer } from './standins/state.js';

const LEASE_S = 0.5;

async function isRefused(port: number): Promise<boolean> {
  const socket = connect(port, '127.0.0.1');
  try {
    await once(socket, 'connect');
    return false;
  } catch {
    return true;
  } finally {
    socket.destroy();
  }
}

/** A key-value store that counts its requests. */
class CountingStore extends StoreServer {
  requestCount = 0;

  /** Counts and handles a request. */
  override handle(
    ...request: Parameters<StoreServer['handle']>
  ): ReturnType<StoreServer['handle']> {
    this.requestCount++;
    return super.handle(...request);
  }
}

/** Stops a controller after `ms`; returns whether it still leads, and how many requests it sent later. */
async function stopAfter(ms: number): Promise<{ led: boolean; asked: number }> {
  const rules = new RuleChecker({ cancelS: 1, teams: new Map(), machineGpus: 8 });
  const cloud = new Cloud(rules, { leaseS: LEASE_S, gangPeerS: 1 });
  const state = new CountingStore();
  state.answerDelayMs = 40;
  const access = new StoreAccess(state);
  await Promise.all([cloud.listen(), access.listen()]);
  const ports = [{ bind: await freePort(), peer: await freePort() }];
  const text = settingsText(0, ports, cloud.port, access.port, LEASE_S);
  const controller = new Controller(parseSettings(text), DEFAULT_POLICY, silentLog());
  await controller.start();
  await wait(ms);
  controller.stop();
  // Lets requests in flight arrive.
  await wait(LEASE_S * 200);
  const before = state.requestCount;
  await wait(LEASE_S * 1000);
  const outcome = { led: controller.leader !== null, asked: state.requestCount - before };
  controller.stop();
  for (const standIn of [cloud, access, state, rules]) standIn.close();
  return outcome;
}

// A controller that was stopped during its election once became leader and kept its process alive for ever.
test('a stopped controller sends no more requests, at whichever moment it was stopped', async () => {
  const moments = Array.from({ length: 40 }, (_, i) => i * 10);
  const outcomes = await Promise.all(moments.map(stopAfter));
  outcomes.forEach((outcome, i) => {
    assert.deepEqual(outcome, { led: false, asked: 0 }, `stopped after ${moments[i]} ms`);
  });
});

test('a controller that cannot bind one of its addresses releases the other', async () => {
  const bind = await freePort();
  const taken = createServer();
  const peer = await freePort();
  taken.listen(peer, '127.0.0.1');
  await once(taken, 'listening');
  const settings = parseSettings(settingsText(0, [{ bind, peer }]));
  const controller = new Controller(settings, DEFAULT_POLICY, silentLog());
  await assert.rejects(controller.start(), /EADDRINUSE/);
  assert.ok(await isRefused(bind));
  taken.close();
});
