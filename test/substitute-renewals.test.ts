/** What a leader learns of leases that substitutes renewed, and that it counts no lease as expired before. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QuorumAcknowledgement } from '../src/leadership/quorum-acknowledgement.js';
import { SubstituteRenewals } from '../src/leadership/substitute-renewals.js';
import type { ElectedAnswer } from '../src/peers/messages.js';
import { JOB, worldWith } from './support/leader-stages.js';

const TOKEN = 7;

/** A leader that asks the others for renewals at 100 s. */
class AskingLeader {
  now = 100;
  readonly acknowledged: QuorumAcknowledgement;
  readonly renewals: SubstituteRenewals;

  /** The others' answers; null: the question times out, undefined: it is still open. */
  constructor(private readonly answers: (ElectedAnswer | null | undefined)[]) {
    const controllerCount = answers.length + 1;
    const clock = { now: (): number => this.now };
    this.acknowledged = new QuorumAcknowledgement(TOKEN, controllerCount, clock);
    this.renewals = new SubstituteRenewals({
      ...{ acknowledged: this.acknowledged, controllerCount, clock },
      names: () => answers.map((_, index) => `n-${index}`),
      requestAcknowledgement: (node, token) => this.answer(Number(node.slice(2)), token),
    });
    answers.forEach((_, index) => this.acknowledged.record(`n-${index}`, { remainsS: -50 }));
  }

  private answer(index: number, token: number): Promise<ElectedAnswer | null> {
    assert.equal(token, TOKEN);
    const answer = this.answers[index];
    // The answer takes a second.
    this.now += 1;
    return answer === undefined ? new Promise(() => undefined) : Promise.resolve(answer);
  }
}

test('renewals by others are known up to the time at which a majority was asked', async () => {
  const over = { remainsS: -50 };
  const cases: [string, (ElectedAnswer | null | undefined)[], boolean][] = [
    ['alone', [], true],
    ['one of two others does not answer', [null, over], true],
    ['one of two others has not answered yet', [undefined, over], true],
    ['neither answers', [null, null], false],
    ['one of four others is not enough', [over, null, null, null], false],
    ['an answer without a time', [{}, null], false],
  ];
  for (const [name, answers, isProven] of cases) {
    const { renewals } = new AskingLeader(answers);
    assert.equal(renewals.known.provenUntil, -Infinity, name);
    assert.equal(await renewals.request(), isProven, name);
    assert.equal(renewals.known.provenUntil, isProven ? 100 : -Infinity, name);
  }
});

test('a promise in an answer runs from the arrival of the answer', async () => {
  const asker = new AskingLeader([{ remainsS: 1.5 }, null]);
  await asker.renewals.request();
  assert.deepEqual(asker.renewals.known, { renewedUntil: asker.now + 1.5, provenUntil: 100 });
});

test('until a majority has acknowledged the leader, others may renew at any moment', async () => {
  const clock = { now: (): number => 100 };
  const renewals = new SubstituteRenewals({
    ...{ acknowledged: new QuorumAcknowledgement(TOKEN, 3, clock), controllerCount: 3, clock },
    names: () => [],
    requestAcknowledgement: () => Promise.resolve(null),
  });
  assert.equal(await renewals.request(), false);
  assert.deepEqual(renewals.known, { renewedUntil: 100, provenUntil: -Infinity });
});

// Guards against tasks on two machines: the leader would count a lease as expired that others had renewed without its knowledge.
test('a lease counts as expired only when a majority that was asked after its end knows of no renewal', async () => {
  // Renewals until, and proof until, in leases from now on.
  const cases: [string, number, number, boolean][] = [
    ['no answer', -Infinity, -Infinity, false],
    ['asked before its end', -Infinity, 1, false],
    ['asked after its end', -Infinity, 2, true],
    ['asked after its end, renewed by others', 2, 2, false],
  ];
  for (const [name, keptLeases, provenLeases, isLost] of cases) {
    const world = await worldWith(['a', 'b']);
    const leaseS = world.settings.workers.lease_s;
    world.submitJob({ id: JOB, gpus: 8, cores: 8 });
    await world.run(1);
    const [host] = [...world.fleet.workers.values()].filter(({ tasks }) => tasks.size > 0);
    host!.heartbeatsLost = true;
    // Its lease is renewed by others.
    if (!isLost) host!.answeredAt = Infinity;
    world.substituteRenewal = {
      renewedUntil: world.now + keptLeases * leaseS,
      provenUntil: world.now + provenLeases * leaseS,
    };
    world.proofsRequested = 0;
    await world.run(leaseS * 1.9);
    assert.equal(world.fleet.starts.get(`${JOB}/0`), isLost ? 2 : 1, name);
    assert.equal(world.proofsRequested > 0, provenLeases <= 1, name);
    assert.deepEqual(world.fleet.violations, [], name);
  }
});
