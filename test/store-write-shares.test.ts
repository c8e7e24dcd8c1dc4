/** What a controller may write of the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeyValueStoreClient } from '../src/store/client.js';
import { settings } from './helpers.js';

test('a follower may store the jobs of a pipeline at once, and then its share of all writes', () => {
  const clock = { at: 0, now: () => clock.at };
  const config = settings();
  const limits = { ...config.state, write_rps: 20 };
  const store = new KeyValueStoreClient({ ...config, controllerCount: 5, state: limits }, clock);
  clock.at = 10;
  const taken = (): number => {
    let n = 0;
    while (store.writeBudget.tryTake(1)) n++;
    return n;
  };
  assert.equal(taken(), 6, 'a burst of 0.3 s of all writes');
  clock.at = 11;
  assert.equal(taken(), 1, 'its share of a second');
  // All five together stay within the limit: a leader and four followers.
  const shares = [1, 1, 1, 1].map(() => store.writeBudget.perSecond);
  store.setRole('leader');
  const sum = shares.reduce((a, b) => a + b, store.writeBudget.perSecond);
  assert.ok(sum <= limits.write_rps, `${sum} writes a second`);
  store.close();
});
