/** Unit tests of lending: which loans are safe, when recalls begin, how loans change, and what operators see. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IllegalTransitionError } from '../src/illegal-transition.js';
import type { JobSpec } from '../src/jobs/types.js';
import { EstimateErrors } from '../src/lending/estimate-errors.js';
import { replicasOnMachine, observeLoan, type LoanEvidence } from '../src/lending/loan-evidence.js';
import { nextEvent } from '../src/lending/loan-steps.js';
import {
  advanceLoan,
  decodeLoan,
  encodeLoan,
  isOpen,
  LOAN_STATES,
  type Loan,
  type LoanEvent,
  type LoanState,
} from '../src/lending/loan.js';
import { Grants } from '../src/lending/grants.js';
import { LoanTable } from '../src/lending/loan-table.js';
import { planRecalls } from '../src/lending/recall-plan.js';
import { assessLoan, latestReturnS, type LenderWork } from '../src/lending/loan-safety.js';
import { loansView } from '../src/lending/view.js';
import { loansTable } from '../src/lending/command.js';
import { ReturnTimes } from '../src/lending/return-times.js';
import { makeAttempt } from '../src/workers/attempt.js';
import type { LiveJobView, TermView } from '../src/subsystems/subsystem.js';
import { g8, settings, spec } from './helpers.js';
import { fake } from './support/fake.js';

const loanOf = (over: Partial<Loan> = {}): Loan => ({
  ...{ lender: 'wk-1', tasks: [{ index: 3, attempt: 7, machine: 'm1' }], borrower: 'wk-2' },
  ...{ machine: 'm1', gpus: 2, state: 'requested', dueMs: 90_000, grantedMs: 10_000 },
  ...{ changedMs: 10_000, used: false, reason: 'r', ...over },
});

const workOf = (over: Partial<LenderWork> = {}): LenderWork => ({
  ...{ timeLeftS: 100, ownRemainingS: 20, jobRemainingS: 10, margin: 1.5, saveS: 2, fetchS: 3 },
  ...{ restartS: 1, recallDurationS: 5, savesOnStop: true, started: true, guaranteed: false },
  ...{ sinceLastLoanS: Infinity, hasOpenLoan: false, borrowerCanWait: true, ...over },
});

test('the latest return leaves room for the work, the margin, saving, the fetch and the start', () => {
  const cases: [Partial<LenderWork>, number][] = [
    [{}, 100 - 20 * 1.5 - 2 - 3 - 1],
    [{ jobRemainingS: 40 }, 100 - 40 * 1.5 - 6],
    [{ margin: 1 }, 100 - 20 - 6],
    [{ timeLeftS: Infinity }, Infinity],
    [{ timeLeftS: 30 }, -6],
  ];
  for (const [over, expected] of cases) assert.equal(latestReturnS(workOf(over)), expected);
});

test('which jobs may lend', () => {
  const cases: [string, Partial<LenderWork>, string | null][] = [
    ['there is time', {}, null],
    ['there is no deadline', { timeLeftS: Infinity }, null],
    ['no time', { timeLeftS: 40 }, 'no slack'],
    ['time, but not for the recall', { timeLeftS: 42, recallDurationS: 5 }, 'no slack'],
    ['just enough', { timeLeftS: 43, recallDurationS: 5 }, null],
    ['no checkpoints, and it runs', { savesOnStop: false }, 'no checkpoints'],
    ['no checkpoints, but it has not started', { savesOnStop: false, started: false }, null],
    [
      'the borrower cannot wait for its saving',
      { borrowerCanWait: false },
      'saving takes too long',
    ],
    [
      'it has not started, so nothing has to be saved',
      { borrowerCanWait: false, started: false },
      null,
    ],
    ['its team would fall below its guarantee', { guaranteed: true }, 'guaranteed'],
    ['it lends already', { hasOpenLoan: true }, 'lending already'],
  ];
  for (const [name, over, refusal] of cases) {
    const assessment = assessLoan(workOf(over));
    assert.equal(assessment.safe ? null : assessment.refusal, refusal, name);
  }
});

test('the lowest cost: more slack first, then the longest time since the last loan', () => {
  const cost = (over: Partial<LenderWork>): number => {
    const assessment = assessLoan(workOf(over));
    assert.ok(assessment.safe);
    assert.ok(
      assessment.cost >= 0 && assessment.cost < 1,
      'below the cost of a job that may not lend',
    );
    return assessment.cost;
  };
  assert.ok(cost({ timeLeftS: 1000 }) < cost({ timeLeftS: 100 }));
  assert.ok(cost({ timeLeftS: Infinity }) < cost({ timeLeftS: 1000 }));
  assert.ok(cost({ sinceLastLoanS: 1000 }) < cost({ sinceLastLoanS: 10 }));
  assert.ok(cost({ sinceLastLoanS: Infinity }) < cost({ sinceLastLoanS: 1000 }));
  assert.ok(
    cost({ timeLeftS: 200, sinceLastLoanS: 1 }) < cost({ timeLeftS: 44 }),
    'slack counts for more',
  );
});

test('recalls begin early enough for all to end in time, with a limited number in progress', () => {
  const due = (list: (number | null)[], group: (i: number) => string) =>
    list.map((dueMs, i) => ({ id: `l${i}`, dueMs, group: group(i) }));
  const cases: [string, (number | null)[], number, Record<string, number>][] = [
    ['one', [100], 2, { l0: 90 }],
    ['one has no due time', [null, 100], 2, { l1: 90 }],
    ['as many as may be in progress', [100, 100], 2, { l0: 90, l1: 90 }],
    [
      'one more: the earliest recall has to end before another begins',
      [100, 100, 100],
      2,
      { l0: 80, l1: 90, l2: 90 },
    ],
    ['all one after the other', [100, 100, 100], 1, { l0: 70, l1: 80, l2: 90 }],
    ['in the order of their due times', [300, 100, 105], 1, { l1: 85, l2: 95, l0: 290 }],
  ];
  for (const [name, list, maxConcurrent, begins] of cases) {
    const pace = { recallDurationMs: 10, maxConcurrent, gapMs: () => 30 };
    const plan = planRecalls(due(list, String), pace);
    assert.deepEqual(Object.fromEntries(plan), begins, name);
  }
  const pace = { recallDurationMs: 10, maxConcurrent: 4, gapMs: () => 30 };
  const plan = planRecalls(due([100, 100, 100], () => 'tutor'), pace); // prettier-ignore
  assert.deepEqual(
    Object.fromEntries(plan),
    { l0: 30, l1: 60, l2: 90 },
    'one of a class at a time',
  );
});

const EVENTS: LoanEvent[] = [
  { kind: 'granted-again', borrower: 'wk-9', reason: 'r' },
  { kind: 'told' },
  { kind: 'vacated' },
  { kind: 'borrower-seen' },
  { kind: 'recalled', reason: 'r' },
  { kind: 'returned', reason: 'r' },
  { kind: 'resumed', reason: 'r' },
  { kind: 'lost', reason: 'r' },
  { kind: 'cancelled', reason: 'r' },
  { kind: 'waived', reason: 'r' },
];

test('a loan makes the allowed transitions, and no others', () => {
  const next: Partial<Record<LoanState, string>> = {
    requested: 'granted-again>requested told>saving vacated>lent cancelled>cancelled',
    saving: 'granted-again>saving vacated>lent cancelled>cancelled',
    lent: 'borrower-seen>lent recalled>recalled returned>returned resumed>resumed lost>lost cancelled>cancelled waived>waived',
    recalled: 'borrower-seen>recalled returned>returned resumed>resumed lost>lost cancelled>cancelled waived>waived',
    returned: 'recalled>recalled resumed>resumed cancelled>cancelled waived>waived',
  }; // prettier-ignore
  for (const state of LOAN_STATES) {
    const made: string[] = [];
    for (const event of EVENTS) {
      try {
        made.push(`${event.kind}>${advanceLoan(loanOf({ state }), event, 20_000).state}`);
      } catch (error) {
        assert.ok(error instanceof IllegalTransitionError);
      }
    }
    assert.equal(made.join(' '), next[state] ?? '', state);
    assert.equal(made.length > 0, isOpen(loanOf({ state })), 'a final state has no transitions');
  }
});

const evidenceOf = (over: Partial<LoanEvidence> = {}): LoanEvidence => ({
  ...{ lenderEndReason: null, lentAttempts: 'gone', laterAttempts: 'nowhere', borrower: 'there' },
  ...{
    machineGone: false,
    recallReason: null,
    brokenReason: null,
    lateS: 0,
    notCarriedOutReason: null,
    ...over,
  },
});

test('the next event of a loan, by its state and the evidence', () => {
  const cases: [LoanState, Partial<LoanEvidence>, string | null][] = [
    ['requested', { lentAttempts: 'running' }, null],
    ['requested', { lentAttempts: 'running', notCarriedOutReason: 'x' }, 'cancelled x'],
    ['requested', { lentAttempts: 'unheard', notCarriedOutReason: 'x' }, null],
    ['requested', { lentAttempts: 'stopping', notCarriedOutReason: 'x' }, 'told'],
    ['requested', {}, 'vacated'],
    ['saving', { lentAttempts: 'stopping' }, null],
    ['saving', { lentAttempts: 'running', notCarriedOutReason: 'x' }, 'cancelled x'],
    ['saving', {}, 'vacated'],
    ['saving', { lenderEndReason: 'x' }, 'cancelled x'],
    ['lent', { borrower: 'wants' }, null],
    ['lent', {}, 'borrower-seen'],
    ['lent', { recallReason: 'x' }, 'recalled x'],
    ['lent', { borrower: 'away', recallReason: 'x' }, 'returned the borrower has left'],
    ['lent', { laterAttempts: 'placed', recallReason: 'x' }, 'returned the lender has a place'],
    ['lent', { laterAttempts: 'running' }, 'resumed the lender runs again'],
    ['lent', { machineGone: true }, 'lost the machine is gone'],
    ['lent', { machineGone: true, laterAttempts: 'running' }, 'resumed the lender runs again'],
    ['recalled', { recallReason: 'x' }, 'borrower-seen'],
    ['recalled', { brokenReason: 'x' }, 'waived x'],
    ['recalled', { brokenReason: 'x', laterAttempts: 'placed' }, 'returned the lender has a place'],
    ['recalled', { borrower: 'away', lateS: 2.1 }, 'returned the borrower has left, 3 s late'],
    ['returned', { borrower: 'away' }, null],
    ['returned', { laterAttempts: 'placed', brokenReason: 'x' }, null],
    ['returned', { borrower: 'there' }, 'recalled the borrower came back'],
    ['returned', { borrower: 'away', brokenReason: 'x' }, 'waived x'],
    ['returned', { laterAttempts: 'running', lateS: 1 }, 'resumed the lender runs again, 1 s late'],
    ['resumed', { laterAttempts: 'running' }, null],
  ];
  for (const [state, over, expected] of cases) {
    const event = nextEvent(loanOf({ state }), evidenceOf(over));
    const made = event === null ? null : Object.values(event).join(' ');
    assert.equal(made, expected, `${state} ${JSON.stringify(over)}`);
  }
});

test('a loan is decoded as it was encoded; another format is rejected', () => {
  const gang = [0, 1].map((index) => ({ index, attempt: 7, machine: `m${index}` }));
  for (const loan of [
    loanOf(),
    loanOf({ tasks: gang, dueMs: null, used: true, state: 'waived' }),
  ]) {
    assert.deepEqual(decodeLoan(JSON.parse(JSON.stringify(encodeLoan(loan)))), loan);
  }
  const record = encodeLoan(loanOf()) as object;
  assert.deepEqual(decodeLoan({ ...record, later: 1 }), loanOf(), 'an additional field is ignored');
  for (const wrong of [null, {}, { ...record, s: 'new state' }, { ...record, t: [] }]) {
    assert.equal(decodeLoan(wrong), null);
  }
});

test('operators see open loans first, the earliest due first', () => {
  const loans = [
    loanOf({ lender: 'wk-4', state: 'resumed', changedMs: 50_000 }),
    loanOf({ lender: 'wk-3', dueMs: null }),
    loanOf({ lender: 'wk-2', dueMs: 200_000 }),
    loanOf({ lender: 'wk-1', dueMs: 100_000 }),
    loanOf({ lender: 'wk-5', state: 'waived', changedMs: 60_000, reason: 'no place' }),
  ];
  const records = new Map(
    loans.map((loan, i) => [`loan/${i}`, { value: encodeLoan(loan), revision: 1 }]),
  );
  const view = loansView(records);
  const lenders = view.loans.map(({ lender }) => lender);
  assert.deepEqual(lenders, ['wk-1', 'wk-2', 'wk-3', 'wk-5', 'wk-4']);
  const lines = loansTable(view.loans).split('\n');
  assert.match(lines[1]!, /^wk-1\/3\/7 .*requested +1970-01-01T00:01:40\.000Z/);
  assert.match(lines[4]!, /waived .* no place$/);
});

test('estimates are raised by the measured errors of jobs of the same class, within bounds', () => {
  const job = (id: string, attainedS: number): LiveJobView =>
    fake<LiveJobView>({
      spec: spec({ id, class: 'marker', estimateS: 10, tasks: 2 }),
      isFinished: true,
      attainedS,
    });
  const errors = new EstimateErrors(1.2);
  assert.equal(errors.margin('marker'), 1.5, 'the default: estimates are often wrong by half');
  for (let i = 0; i < 6; i++) errors.update([job('wk-1', 26)]);
  assert.equal(errors.margin('marker'), 1.5, 'one job is counted once');
  for (let i = 0; i < 12; i++) errors.update([job(`wk-${i}`, 26)]);
  assert.equal(errors.margin('marker'), 1.3);
  assert.equal(errors.margin('other'), 1.5);
  for (let i = 0; i < 30; i++) errors.update([job(`wk-${i}`, 20)]);
  assert.equal(errors.margin('marker'), 1.2, 'not below the configured margin');
  for (let i = 0; i < 30; i++) errors.update([job(`wk-${i}`, 900)]);
  assert.equal(errors.margin('marker'), 3);
});

test('a loan whose record is larger than the store allows is not granted', () => {
  for (const [valueKb, granted] of [
    [8, true],
    [0.1, false],
  ] as const) {
    const { state } = settings();
    const view = fake<TermView>({
      settings: { ...settings(), state: { ...state, value_kb: valueKb } },
      ...{
        now: () => 0,
        timeOfDay: { nowMs: () => 0 },
        latestEndMs: () => Infinity,
        wakeWriter: () => undefined,
      },
      ...{ machineTypes: () => new Map([['g8', g8]]), machine: () => ({ type: 'g8' }) },
    });
    const errors = new EstimateErrors(1);
    const returnTimes = new ReturnTimes(view);
    const table = new LoanTable({
      nowMs: () => 0,
      onStored: () => undefined,
      onChange: () => undefined,
      onRemoved: () => undefined,
    });
    const config = { maxOpen: 9, recallsAtOnce: 1, leastMargin: 1, keepEndedS: 1 };
    const grants = new Grants({ view, table, config, errors, returnTimes });
    const lender = spec({ checkpointS: 1, saveS: 0.1 });
    const attempt = makeAttempt(
      { job: lender.id, index: 0, number: 5, machine: 'm1' },
      'running',
      0,
    );
    const job = fake<LiveJobView>({
      spec: lender,
      attemptsByTask: new Map(),
      isGang: false,
      isGuaranteed: false,
      activeAttemptCount: 1,
    });
    const taken = grants.takesOver({
      machine: 'm1',
      preemptingJob: fake<LiveJobView>({ spec: spec({ id: 'wk-000002', kind: 'service' }) }),
      victims: [{ job, attempt }],
      ...{ allowsSaving: true, carryOut: () => true },
    });
    assert.equal(taken, granted);
    assert.equal(grants.preemptionsWithoutLoan, granted ? 0 : 1);
  }
});

test('lent GPUs are back once they are free; until then the replicas on the machine use them', () => {
  const replica = (job: string) =>
    makeAttempt({ job, index: 0, number: 9, machine: 'm1' }, 'running', 0);
  const kinds: Record<string, JobSpec['kind']> = { 'wk-2': 'service', 'wk-3': 'service' };
  const observe = (on: string[], freeGpus: number, pendingCount = 0) => {
    const attempts = on.map(replica);
    const live = new Map([[0, attempts.filter(({ job }) => job === 'wk-2')]]);
    const jobs: Record<string, LiveJobView> = {
      'wk-2': fake<LiveJobView>({
        phase: 'active',
        attemptsByTask: live,
        pendingTaskCount: pendingCount,
      }),
    };
    const view = fake<TermView>({
      job: (id: string) => jobs[id],
      spec: (id: string) => spec({ id, kind: kinds[id] ?? 'array' }),
      machine: () => ({
        state: 'ready',
        attempts: new Map(attempts.map((attempt) => [attempt.job, attempt])),
      }),
    });
    const loan = loanOf({ state: 'lent' });
    const there = replicasOnMachine(loan, view).map(({ job }) => job);
    return [observeLoan(loan, view, freeGpus).borrower, there.join(' ')];
  };
  assert.deepEqual(observe(['wk-2', 'wk-3'], 0), ['there', 'wk-2']);
  assert.deepEqual(observe(['wk-3', 'wk-4'], 0), ['wants', 'wk-3'], 'another service');
  assert.deepEqual(observe(['wk-4'], 1), ['wants', ''], 'other work');
  assert.deepEqual(observe([], 2), ['away', '']);
  assert.deepEqual(observe([], 2, 1), ['wants', ''], 'a replica is pending');
});
