import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RuleChecker, type RequestKind, type Submission } from './standins/rules.js';
import { submission } from './standins/users.js';
import { Worker, type MachineProperties, type Task } from './standins/worker.js';

/** A rule checker with one job, and methods that start tasks and answer users. */
class Scenario {
  readonly rules = new RuleChecker({ cancelS: 0.05, teams: new Map([['t', 3]]), machineGpus: 2 });
  private machines = 0;

  constructor(over: Partial<Submission>) {
    this.rules.jobs.set('wk-1', {
      submission: submission('wk-1', over), runS: 1, accepted: true, final: null,
      cancelAsked: false, cancelledAt: null, completed: new Set(),
    }); // prettier-ignore
  }

  /** Starts a task on a new machine. */
  start(index: number, place: Partial<MachineProperties> = {}): void {
    const id = `host-${this.machines++}`;
    const times = { leaseS: 1, gangPeerS: 1 };
    const around = { rules: this.rules, times, gpus: 2, controllers: [], unreachable: [] };
    const worker = new Worker(around, id, { type: 'g8', zone: 'z1', spot: false, ...place });
    const piece = `wk-1/${index}`;
    const task: Task = {
      piece,
      pour: 1,
      temper: 'running',
      cause: undefined,
      timer: undefined,
      runsSince: null,
      saved: false,
    };
    worker.tasks.push(task);
    this.rules.workers.set(id, worker);
    this.rules.noteStart(worker, task, false);
  }

  /** Reports an answer to a user. */
  answer(question: RequestKind, status: number, state = '', ref = 'wk-1'): void {
    this.rules.checkAnswer(question, ref, this.rules.reportedState(ref), status, state);
  }

  /** Adds the job that `wk-1` depends on, cancelled this long ago; missing: not cancelled. */
  addDependency(cancelledAgoMs?: number): void {
    const cancelledAt = cancelledAgoMs === undefined ? null : Date.now() - cancelledAgoMs;
    this.rules.jobs.set('wk-0', {
      submission: submission('wk-0'), runS: 1, accepted: true, final: null,
      cancelAsked: cancelledAt !== null, cancelledAt, completed: new Set(),
    }); // prettier-ignore
  }

  /** Confirms the cancellation of the job to a user, this long ago. */
  reportCancelled(agoMs = 0): void {
    this.rules.jobs.get('wk-1')!.cancelAsked = true;
    this.answer('cancel', 200, 'cancelled');
    this.rules.jobs.get('wk-1')!.cancelledAt = Date.now() - agoMs;
  }
}

test('the rule checker detects each violated rule and reports no violation otherwise', async (context) => {
  const cases: [string, Partial<Submission>, (scene: Scenario) => void, string | null][] = [
    ['one task', {}, (scene) => scene.start(0), null],
    ['one task twice', {}, (scene) => [0, 0].forEach((i) => scene.start(i)), 'ran_twice'],
    ['at the limit', {}, (scene) => [0, 1, 2].forEach((i) => scene.start(i)), null],
    ['over the limit', {}, (scene) => [0, 1, 2, 3].forEach((i) => scene.start(i)), 'quota'],
    ['another type', { castings: ['g4'] }, (scene) => scene.start(0), 'wrong_place'],
    ['another zone', { yard: 'z2' }, (scene) => scene.start(0), 'wrong_place'],
    ['spot', { loaner: false }, (scene) => scene.start(0, { spot: true }), 'wrong_place'],
    ['spot allowed', { loaner: true }, (scene) => scene.start(0, { spot: true }), null],
    ['two zones', { one_zone: true }, (scene) => (scene.start(0), scene.start(1, { zone: 'z2' })), 'wrong_place'],
    ['not scattered', { scatter: true, pieces: 3 }, (scene) => [0, 1, 2].forEach((i) => scene.start(i)), 'wrong_place'],
    ['scattered', { scatter: true, pieces: 3 }, (scene) => [0, 1].forEach((i) => scene.start(i)), null],
    ['runs too long after the cancellation', {}, (scene) => (scene.start(0), scene.reportCancelled()), 'ran_cancelled'],
    ['started long after the cancellation', {}, (scene) => (scene.reportCancelled(1000), scene.start(0)), 'started_cancelled'],
    ['unknown after the acceptance', {}, (scene) => scene.answer('poll', 404), 'forgotten'],
    ['refused after the acceptance', {}, (scene) => scene.answer('submit', 422), 'forgotten'],
    ['never submitted', {}, (scene) => scene.answer('poll', 200, 'queued', 'wk-2'), 'invented'],
    ['done too early', {}, (scene) => scene.answer('poll', 200, 'done'), 'not_done'],
    ['cancelled without a request', {}, (scene) => scene.answer('poll', 200, 'cancelled'), 'went_back'],
    ['cancelled, then running', {}, (scene) => (scene.reportCancelled(), scene.answer('poll', 200, 'running')), 'went_back'],
    ['cancelled, then done', {}, (scene) => (scene.reportCancelled(), scene.rules.noteCompletion('wk-1/0'), scene.answer('poll', 200, 'done')), 'went_back'],
    ['started before its dependency completed', { awaits: ['wk-0'] }, (scene) => (scene.addDependency(), scene.start(0)), 'too_early'],
    ['started after its dependency completed', { awaits: ['wk-0'] }, (scene) => (scene.addDependency(), scene.rules.noteCompletion('wk-0/0'), scene.start(0)), null],
    ['cancelled with its dependency', { awaits: ['wk-0'] }, (scene) => (scene.addDependency(1000), scene.answer('poll', 200, 'cancelled')), null],
    ['queued long after its dependency was cancelled', { awaits: ['wk-0'] }, (scene) => (scene.addDependency(1000), scene.answer('poll', 200, 'queued')), 'orphaned'],
    ['queued right after its dependency was cancelled', { awaits: ['wk-0'] }, (scene) => (scene.addDependency(0), scene.answer('poll', 200, 'queued')), null],
    ['accepted, over the limit', { form: 'group', pieces: 4 }, (scene) => ((scene.rules.jobs.get('wk-1')!.accepted = false), scene.answer('submit', 201, 'queued')), 'cannot_run'],
  ]; // prettier-ignore
  const scenes = cases.map(([name, over, play, rule]) => {
    const scene = new Scenario(over);
    context.after(() => scene.rules.close());
    play(scene);
    return { name, scene, rule };
  });
  // Longer than the time allowed after a cancellation plus the checker's tolerance.
  await new Promise((resolve) => setTimeout(resolve, 250));
  for (const { name, scene, rule } of scenes) {
    const seen = scene.rules.violations.map((violation) => violation.split(':')[0]);
    assert.equal(seen.includes(rule ?? ''), rule !== null, `${name}: ${seen.join()}`);
    if (rule === null) assert.deepEqual(seen, [], name);
  }
});
