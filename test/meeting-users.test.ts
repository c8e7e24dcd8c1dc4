/** Races of users' requests with one another and with a key-value store that answers late or not at all. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as records from '../src/store/records.js';
import { outcome } from '../src/store/stored-job.js';
import { MemoryStore } from './support/memory-store.js';
import {
  body,
  JOB,
  replyText,
  VALID,
  makeUserApiWorld,
  type UserApiWorld,
} from './support/user-api-world.js';

const finishJob = (store: MemoryStore): number =>
  store.put(records.progressKey(JOB, 0), records.encodeProgress({ bits: null, attainedS: 1 }));

test('no controller contradicts an answer that another one has just given', async () => {
  const cases: [string, string][] = [
    ['accepted', 'queued'],
    ['done', 'done'],
    ['cancelled', 'cancelled'],
    ['done, then cancelled', 'done'],
    ['cancelled, then done', 'cancelled'],
  ];
  for (const [name, want] of cases) {
    const store = new MemoryStore();
    const all = ['a', 'b', 'c'].map((n) => makeUserApiWorld(store, n));
    const [a, b] = all as [UserApiWorld, UserApiWorld, UserApiWorld];
    assert.equal(await replyText(b.userApi.poll(JOB)), '404');
    // All three get the submission at once; the slower ones see a repeated one.
    const accepted = await Promise.all(all.map((c) => replyText(c.userApi.submit(body()))));
    assert.ok(
      accepted.every((x) => x === '201 queued' || x === '200 queued'),
      accepted.join(),
    );
    for (const step of name.split(', then ')) {
      if (step === 'done') finishJob(store);
      if (step === 'cancelled') assert.equal(await replyText(a.userApi.cancel(JOB)), `200 ${want}`);
      if (step === 'done') assert.equal(await replyText(a.userApi.poll(JOB)), `200 ${want}`);
    }
    for (const c of all) {
      const answers = await Promise.all([
        replyText(c.userApi.poll(JOB)),
        replyText(c.userApi.submit(body())),
        replyText(c.userApi.poll('wk-1')),
      ]);
      assert.deepEqual(answers, [`200 ${want}`, `200 ${want}`, '404'], name);
      if (want !== 'queued')
        assert.equal(await replyText(c.userApi.cancel(JOB)), `200 ${want}`, name);
    }
  }
});

test('a poll waits for a read that begins after it, not for one already in progress', async () => {
  const store = new MemoryStore();
  const a = makeUserApiWorld(store, 'a');
  const changes = store.changes.bind(store);
  const answers: (() => void)[] = [];
  store.changes = async (prefix, after) => {
    const read = await changes(prefix, after);
    await new Promise<void>((resolve) => answers.push(resolve));
    return read;
  };
  const early = a.userApi.poll(JOB);
  await new Promise(setImmediate);
  store.accept({ id: JOB });
  const late = a.userApi.poll(JOB);
  const third = a.userApi.poll(JOB);
  for (let i = 0; i < 4; i++) {
    answers.splice(0).forEach((answer) => answer());
    await new Promise(setImmediate);
  }
  assert.equal((await early).status, 404);
  assert.equal((await late).status, 200);
  assert.equal((await third).status, 200);
});

test('a submission or cancellation that is delayed, or whose answer is lost, takes effect once', async () => {
  for (const mode of ['lose answers', 'hold back', 'refuse'] as const) {
    const store = new MemoryStore();
    const [a, b] = [makeUserApiWorld(store, 'a'), makeUserApiWorld(store, 'b')];
    store.mode = mode;
    assert.equal(await replyText(a.userApi.submit(body())), '503', mode);
    assert.equal(store.currentRevision, mode === 'lose answers' ? 1 : 0, 'stored once');
    store.mode = 'serve';
    assert.match(await replyText(b.userApi.submit(body())), /^20[01] queued$/, mode);
    store.mode = mode;
    assert.equal(await replyText(a.userApi.cancel(JOB)), '503', mode);
    store.mode = 'serve';
    const cancelled = await replyText(b.userApi.cancel(JOB));
    assert.equal(cancelled, '200 cancelled', mode);
    const at = b.replica.jobs.get(JOB)!.cancelledRevision;
    // The delayed requests arrive now, after newer ones.
    store.deliverHeldBack();
    finishJob(store);
    store.replayInto(b.replica);
    for (const c of [a, b, makeUserApiWorld(store, 'c')]) {
      assert.equal(await replyText(c.userApi.poll(JOB)), '200 cancelled', mode);
      assert.equal(outcome(c.replica.jobs.get(JOB)!), 'cancelled', mode);
    }
    assert.equal(b.replica.jobs.get(JOB)!.cancelledRevision, at, mode);
  }
});

test('while the key-value store refuses requests, only final states are reported', async () => {
  const store = new MemoryStore();
  const a = makeUserApiWorld(store, 'a');
  await a.userApi.submit(body());
  await a.userApi.submit(body({ ref: 'wk-2' }));
  await a.userApi.cancel('wk-2');
  store.mode = 'refuse';
  assert.equal(await replyText(a.userApi.poll(JOB)), '503');
  assert.equal(await replyText(a.userApi.cancel(JOB)), '503');
  assert.equal(await replyText(a.userApi.submit(body())), '503');
  assert.equal(
    await replyText(a.userApi.poll('wk-3')),
    '503',
    'not reported as never submitted either',
  );
  assert.equal(await replyText(a.userApi.poll('wk-2')), '200 cancelled');
  assert.equal(await replyText(a.userApi.cancel('wk-2')), '200 cancelled');
  store.mode = 'serve';
  assert.equal(await replyText(a.userApi.poll(JOB)), '200 queued');
});

test('an accepted job stays accepted, whatever a repeated submission contains', async () => {
  const defects: [string, Record<string, unknown>][] = [
    ['unchanged', {}],
    ['missing field', { guild: undefined }],
    ['wrong type', { cores: 'many' }],
    ['unknown team', { crew: 'x' }],
    ['too large', { gpus: 1000 }],
    ['different number of tasks', { pieces: 7 }],
  ];
  for (const [name, change] of defects) {
    const store = new MemoryStore();
    const [a, b] = [makeUserApiWorld(store, 'a'), makeUserApiWorld(store, 'b')];
    await a.userApi.submit(body());
    assert.match(await replyText(b.userApi.submit(body(change))), /^20[01] queued$/, name);
    assert.equal(b.replica.jobs.get(JOB)!.spec.tasks, 2, name);
    finishJob(store);
    assert.equal(await replyText(b.userApi.submit(body(change))), '200 done', name);
  }
});

test('a submission that lacks a field, or can never run, is refused and stores nothing', async () => {
  const nullable = ['castings', 'yard', 'due_s'];
  const store = new MemoryStore();
  const a = makeUserApiWorld(store, 'a');
  for (const field of Object.keys(VALID)) {
    const ref = { ref: 'wk-7' };
    const without = body({ ...ref, [field]: undefined });
    const empty = body({ ...ref, [field]: null });
    if (nullable.includes(field)) continue;
    assert.equal((await a.userApi.submit(without)).status, 400, `without ${field}`);
    assert.equal((await a.userApi.submit(empty)).status, 400, `${field}: null`);
  }
  const never: Record<string, unknown>[] = [
    { crew: 'x' },
    { gpus: 9 },
    { castings: ['h1'] },
    { castings: [] },
    { yard: 'z9' },
    { form: 'group', pieces: 13 },
    { form: 'daemon', pieces: 13 },
  ];
  for (const change of never) {
    assert.equal((await a.userApi.submit(body(change))).status, 422, JSON.stringify(change));
  }
  assert.equal(store.currentRevision, 0);
  for (const field of nullable) {
    const change = { ref: `wk-${nullable.indexOf(field)}`, [field]: undefined };
    assert.equal(await replyText(a.userApi.submit(body(change))), '201 queued', field);
  }
});
