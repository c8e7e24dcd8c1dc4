/** Each controller's share of the write limit of the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { KeyValueStoreClient } from '../src/store/client.js';
import { settings } from './helpers.js';

test('a follower may write a burst of jobs at once, and after that its share of the write limit', () => {
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
  assert.equal(taken(), 6, 'a burst of 0.3 s of the write limit');
  clock.at = 11;
  assert.equal(taken(), 1, 'its share of one second');
  // The leader and four followers together stay within the limit.
  const shares = [1, 1, 1, 1].map(() => store.writeBudget.perSecond);
  store.setRole('leader');
  const sum = shares.reduce((a, b) => a + b, store.writeBudget.perSecond);
  assert.ok(sum <= limits.write_rps, `${sum} writes a second`);
  store.close();
});
