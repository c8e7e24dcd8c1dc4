import assert from 'node:assert/strict';
import { test } from 'node:test';
import { unsatisfiableReason } from '../src/scheduler/quota.js';
import { BadRequestError, parseSubmission, route } from '../src/wire/users.js';
import { g8, settings, spec } from './helpers.js';

const valid = {
  ref: 'wk-000412', guild: 'train', crew: 't', form: 'group', rank: 'high', pieces: 2, cores: 1.0,
  gpus: 1.0, mem_gb: 6.0, mould: 'i', image_gb: 6.2, castings: ['g8'], yard: null, one_zone: true,
  scatter: false, loaner: true, reckon_s: 240.0, stamp_s: 30.0, stamping_s: 4.0, due_s: 900.0,
}; // prettier-ignore

const body = (change: Record<string, unknown>): Buffer =>
  Buffer.from(JSON.stringify({ ...valid, ...change }));

test('a submission is parsed into a job specification', () => {
  const spec = parseSubmission(body({ extra: 1, yard: undefined }));
  assert.deepEqual(
    [spec.id, spec.kind, spec.priority, spec.tasks, spec.zone, spec.spot, spec.deadlineS],
    ['wk-000412', 'gang', 1, 2, null, true, 900],
  );
});

test('malformed submissions are refused', () => {
  const cases: [string, Buffer][] = [
    ['not JSON', Buffer.from('{')],
    ['not an object', Buffer.from('[1]')],
    ['null', Buffer.from('null')],
    ['missing field', body({ guild: undefined })],
    ['wrong type', body({ cores: '1' })],
    ['negative', body({ gpus: -1 })],
    ['not finite', Buffer.from(JSON.stringify(valid).replace('"cores":1', '"cores":1e999'))],
    ['no tasks', body({ pieces: 0 })],
    ['too many tasks', body({ pieces: 100_001 })],
    ['fractional tasks', body({ pieces: 1.5 })],
    ['bad id', body({ ref: 'job-1' })],
    ['id with a slash', body({ ref: 'wk-1/2' })],
    ['unknown kind', body({ form: 'swarm' })],
    ['unknown priority', body({ rank: 'urgent' })],
    ['flag as a number', body({ scatter: 1 })],
    ['types as a string', body({ castings: 'g8' })],
  ];
  for (const [name, data] of cases)
    assert.throws(() => parseSubmission(data), BadRequestError, name);
});

test('jobs that can never run are recognised', () => {
  const { teams } = settings();
  const cases: [string, Partial<Parameters<typeof spec>[0]>, boolean][] = [
    ['fits', {}, true],
    ['unknown team', { team: 'x' }, false],
    ['too large for any machine', { gpus: 9 }, false],
    ['no such type', { types: ['h1'] }, false],
    ['no such zone', { zone: 'z9' }, false],
    ['array over the limit in total but not per task', { tasks: 100 }, true],
    ['gang over the limit', { kind: 'gang', tasks: 13 }, false],
    ['service over the limit', { kind: 'service', tasks: 13 }, false],
    ['gang at the limit', { kind: 'gang', tasks: 12 }, true],
    ['cores are not limited', { kind: 'service', tasks: 12, cores: 8 }, true],
  ];
  for (const [name, over, runs] of cases) {
    assert.equal(unsatisfiableReason(spec(over), teams, [g8]) === null, runs, name);
  }
});

test('routes', () => {
  const cases: [string, string, string][] = [
    ['POST', '/submissions', 'submit'],
    ['GET', '/submissions/wk-000001', 'poll'],
    ['POST', '/submissions/wk-000001/withdraw', 'cancel'],
    ['GET', '/submissions', 'wrong-method'],
    ['GET', '/submissions/wk-000001/withdraw', 'wrong-method'],
    ['DELETE', '/submissions/wk-000001', 'wrong-method'],
    ['GET', '/ready?x=1', 'ready'],
    ['POST', '/checkin', 'checkin'],
    ['GET', '/nothing', 'nowhere'],
    ['GET', '/submissions/a/b', 'nowhere'],
  ];
  for (const [method, target, to] of cases)
    assert.equal(route(method, target).to, to, `${method} ${target}`);
});
