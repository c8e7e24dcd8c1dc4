/** What a controller may ask and write of the state service, and how soon it reads. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { silentLog } from '../src/log.js';
import { StateClient } from '../src/state/client.js';
import { Follower } from '../src/state/follow.js';
import { settings, wait } from './helpers.js';
import { MemoryStore } from './meeting-helpers.js';

test('a follower may store the jobs of a pipeline at once, and then its share of all writes', () => {
  const clock = { at: 0, now: () => clock.at };
  const s = settings();
  const limits = { ...s.state, write_rps: 20 };
  const client = new StateClient({ ...s, nodes: 5, state: limits }, clock);
  clock.at = 10;
  const taken = (): number => {
    let n = 0;
    while (client.writes.take(1)) n++;
    return n;
  };
  assert.equal(taken(), 6, 'a burst of 0.3 s of all writes');
  clock.at = 11;
  assert.equal(taken(), 1, 'its share of a second');
  // All five together stay within the limit: a leader and four followers.
  const shares = [1, 1, 1, 1].map(() => client.writes.perSecond);
  client.setRole('leader');
  const sum = shares.reduce((a, b) => a + b, client.writes.perSecond);
  assert.ok(sum <= limits.write_rps, `${sum} writes a second`);
  client.close();
});

test('a submission is read back at once; polls wait until the least time between two reads is over', async () => {
  const store = new MemoryStore();
  const clock = { now: () => 0 };
  const long = 60;
  const follower = new Follower(store.client(), store.listed(), clock, silentLog(), () => 0, long);
  follower.ready = true;
  assert.ok(await follower.sync());
  let polled = false;
  const poll = follower.sync().then(() => (polled = true));
  await wait(50);
  assert.equal(polled, false);
  assert.ok(await follower.syncNow());
  await poll;
  assert.equal(polled, true, 'polls that wait share the read');
});
