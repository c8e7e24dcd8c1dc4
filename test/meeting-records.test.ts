/** Writing, listing and removing records while transactions and heartbeats arrive late. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { outcome } from '../src/store/stored-job.js';
import * as records from '../src/store/records.js';
import { LeaderWorld } from './support/leader-world.js';
import { MemoryStore } from './support/memory-store.js';

const JOB = 'wk-000001';

const done = (store: MemoryStore): number =>
  store.put(records.progressKey(JOB, 0), records.encodeProgress({ bits: null, attainedS: 1 }));

type Event = (store: MemoryStore) => number;
const accepted: Event = (store) => store.accept({ id: JOB });
const cancelled: Event = (store) => store.cancel(JOB);

test('a new listing gives the same outcome of a job as the stream of changes', () => {
  const cases: [string, Event[], string][] = [
    ['accepted', [accepted], 'open'],
    ['done', [accepted, done], 'done'],
    ['cancelled', [accepted, cancelled], 'cancelled'],
    ['done, then cancelled', [accepted, done, cancelled], 'done'],
    ['cancelled, then done', [accepted, cancelled, done], 'cancelled'],
    ['cancelled twice around its end', [accepted, cancelled, done, cancelled], 'cancelled'],
    ['accepted again after its end', [accepted, done, accepted, cancelled], 'done'],
  ];
  for (const [name, events, want] of cases) {
    const store = new MemoryStore();
    const stream = store.listedReplica();
    for (const event of events) {
      event(store);
      store.replayInto(stream);
    }
    assert.equal(outcome(stream.jobs.get(JOB)!), want, `${name}: by the stream`);
    assert.equal(outcome(store.listedReplica().jobs.get(JOB)!), want, `${name}: by a listing`);
  }
});

test('a job whose cancellation is listed before it is never announced as open', () => {
  const store = new MemoryStore();
  store.accept({ id: JOB });
  store.cancel(JOB, 'a');
  const open: string[] = [];
  const replica = store.listedReplica({
    onReady: (storedJob) => void (outcome(storedJob) === 'open' && open.push(storedJob.spec.id)),
  });
  assert.equal(outcome(replica.jobs.get(JOB)!), 'cancelled');
  assert.deepEqual(replica.cancelledSince(0), [JOB], 'reported to other controllers in an outage');
});

test('the older of two acceptances of a job gives its specification, in any order of listing', () => {
  const store = new MemoryStore();
  store.accept({ id: JOB, gpus: 2 });
  store.accept({ id: JOB, gpus: 4 }, 0, 'a');
  for (const replica of [
    store.listedReplica(),
    store.replayInto(new MemoryStore().listedReplica()),
  ]) {
    assert.equal(replica.jobs.get(JOB)!.spec.gpus, 2);
  }
});

test('the record of a job that is done is never written again', async () => {
  // A gang on two machines: its end is stored late, after the other machine's heartbeat.
  const world = new LeaderWorld();
  const ids = ['a', 'b'];
  for (const id of ids) world.fleet.add(id);
  world.submitJob({ id: JOB, kind: 'gang', tasks: 2, gpus: 8, cores: 8 });
  await world.run(2);
  assert.equal(world.fleet.running(JOB), 2);
  const [worker, other] = ids.map((id) => world.fleet.workers.get(id)!);
  await world.run(10);
  worker!.end(worker!.running(JOB)[0]!, 'done');
  world.exchangeHeartbeat(worker!);
  await world.writeOnceInMode('hold back');
  other!.end(other!.running(JOB)[0]!, 'done');
  world.exchangeHeartbeat(other!);
  world.store.deliverHeldBack();
  const first = world.store.revision(records.progressKey(JOB, 0));
  assert.ok(first > 0);
  world.store.cancel(JOB);
  await world.writeAll();
  assert.equal(world.store.revision(records.progressKey(JOB, 0)), first);
  assert.equal(outcome(world.store.listedReplica().jobs.get(JOB)!), 'done');
});

test('the record of a machine that sends heartbeats again is not removed by an earlier removal', async () => {
  const lost = [
    ['serve', false],
    ['lose answers', true],
    ['hold back', true],
  ] as const;
  for (const [mode, underWay] of lost) {
    const world = new LeaderWorld();
    const worker = world.fleet.add('a');
    world.submitJob({ id: JOB, tasks: 2 });
    await world.run(2);
    // Its lease expired long ago; it sends heartbeats again with a new agent epoch.
    world.term.loseMachine(world.machine('a'));
    world.parts.forgetMachine(world.machine('a'));
    worker.tasks.clear();
    worker.agentEpoch++;
    world.store.mode = mode;
    const flushed = underWay ? world.parts.writer.writeBatch() : Promise.resolve(false);
    world.exchangeHeartbeat(worker);
    await flushed;
    world.store.mode = 'serve';
    await world.run(2);
    world.store.deliverHeldBack();
    await world.run(2);
    const record = world.store.value(records.machineKey('a'));
    assert.ok(record !== undefined, mode);
    assert.equal(records.decodeMachine(record).claims.length, 2, mode);
    assert.equal(world.fleet.running(JOB), 2, mode);
  }
});
