import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat, TaskStatus } from '../src/wire/workers.js';
import { parseHeartbeat } from '../src/wire/workers.js';
import { BadRequestError } from '../src/wire/users.js';
import { makeAttempt, type Attempt, type AttemptState } from '../src/workers/attempt.js';
import { Machine } from '../src/workers/machine.js';

const TOKEN = 50;
const LEASE_S = 10;

const makeHeartbeat = (
  over: Partial<Heartbeat> = {},
  tasks: Partial<TaskStatus>[] = [],
): Heartbeat => ({
  machine: 'm',
  addr: '127.0.0.1:1',
  type: 'g8',
  zone: 'z1',
  spot: false,
  agentEpoch: 1,
  sequence: 1,
  token: TOKEN,
  reclaimNoticeS: null,
  tasks: tasks.map((task) => ({
    job: 'j', index: 0, attempt: 50, state: 'running', cause: null, saved: false, ...task,
  })), // prettier-ignore
  ...over,
});

function machineWithAttempt(state: AttemptState): { machine: Machine; attempt: Attempt } {
  const machine = new Machine('m', TOKEN, LEASE_S, 0);
  const attempt = makeAttempt({ job: 'j', index: 0, number: 50, machine: 'm' }, state, 0);
  machine.addClaim(attempt);
  return { machine, attempt };
}

/** A machine whose start was sent in the answer to heartbeat 10. */
function machineWithSentStart(): { machine: Machine; attempt: Attempt } {
  const setup = machineWithAttempt('claimed');
  setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 10 }), 'heartbeat', 1);
  const each = setup.machine.dueCommands(() => true, true);
  assert.deepEqual(
    each.map((command) => command.kind),
    ['start'],
  );
  setup.machine.markSent(each, 'heartbeat', 1);
  return setup;
}

function machineWithDirectStart(): {
  machine: Machine;
  attempt: Attempt;
  commands: ReturnType<Machine['dueCommands']>;
} {
  const setup = machineWithAttempt('claimed');
  setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 10 }), 'heartbeat', 1);
  const commands = setup.machine.dueCommands(() => true, false);
  setup.machine.markSent(commands, 'direct', 1);
  return { ...setup, commands };
}

test('a task may be started on another machine only once its attempt is provably over', () => {
  const cases: [string, () => { machine: Machine; attempt: Attempt }, boolean][] = [
    ['its start is in flight', machineWithSentStart, false],
    [
      'an older heartbeat does not show it',
      () => {
        const setup = machineWithSentStart();
        setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 9 }), 'heartbeat', 2);
        return setup;
      },
      false,
    ],
    [
      'a new agent epoch has begun',
      () => {
        const setup = machineWithSentStart();
        setup.machine.applyHeartbeat(makeHeartbeat({ agentEpoch: 2, sequence: 1 }), 'heartbeat', 2);
        return setup;
      },
      true,
    ],
    [
      'a late copy from an older agent epoch proves nothing',
      () => {
        const setup = machineWithSentStart();
        setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 11 }, [{}]), 'heartbeat', 2);
        setup.machine.applyHeartbeat(
          makeHeartbeat({ agentEpoch: 0, sequence: 99 }),
          'heartbeat',
          3,
        );
        return setup;
      },
      false,
    ],
    [
      'a running task is missing from a newer fenced heartbeat',
      () => {
        const setup = machineWithSentStart();
        setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 11 }, [{}]), 'heartbeat', 2);
        setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 12 }), 'heartbeat', 3);
        return setup;
      },
      true,
    ],
    [
      'it is missing from a heartbeat that is not fenced',
      () => {
        const setup = machineWithAttempt('inherited');
        setup.machine.applyHeartbeat(
          makeHeartbeat({ sequence: 12, token: TOKEN - 1 }),
          'heartbeat',
          3,
        );
        return setup;
      },
      false,
    ],
    [
      'inherited, and a fenced heartbeat does not show it',
      () => {
        const setup = machineWithAttempt('inherited');
        setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 12 }), 'heartbeat', 3);
        return setup;
      },
      true,
    ],
    [
      'it has ended',
      () => {
        const setup = machineWithSentStart();
        setup.machine.applyHeartbeat(
          makeHeartbeat({ sequence: 11 }, [{ state: 'ended', cause: 'stopped' }]),
          'heartbeat',
          2,
        );
        return setup;
      },
      true,
    ],
    [
      'the lease has expired',
      () => {
        const setup = machineWithSentStart();
        setup.machine.endAllAttempts(20);
        return setup;
      },
      true,
    ],
  ];
  for (const [name, make, free] of cases) {
    const { attempt } = make();
    assert.equal(
      attempt.state === 'gone' || attempt.state === 'ended',
      free,
      `${name}: ${attempt.state}`,
    );
  }
});

test('a start that the next heartbeat does not show is sent again; a direct answer proves nothing', () => {
  const setup = machineWithSentStart();
  setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 11 }), 'direct-answer', 2);
  assert.equal(setup.attempt.state, 'sent', 'the answer to heartbeat 10 may still be in flight');
  setup.machine.applyHeartbeat(makeHeartbeat({ sequence: 12 }), 'heartbeat', 2);
  assert.equal(setup.attempt.state, 'claimed');
});

test('an unanswered direct start may arrive at any time in its agent epoch', () => {
  // Packets delayed by a network partition are delivered later. The start must not be taken for lost, and the worker must
  // not forget an attempt that it started, or the delayed start would run it again.
  const { machine, attempt, commands } = machineWithDirectStart();
  machine.applyDirectOutcome(commands, 'unknown', 2);
  machine.applyHeartbeat(makeHeartbeat({ sequence: 11 }), 'heartbeat', 3);
  assert.equal(attempt.state, 'sent');
  assert.deepEqual(
    machine.dueCommands(() => true, true).map((command) => command.kind),
    ['start'],
    'sent again',
  );
  machine.applyHeartbeat(
    makeHeartbeat({ sequence: 12 }, [{ state: 'ended', cause: 'done' }]),
    'heartbeat',
    4,
  );
  attempt.settled = true;
  assert.deepEqual(
    machine.dueCommands(() => true, true),
    [],
    'not forgotten',
  );
  machine.applyHeartbeat(makeHeartbeat({ agentEpoch: 2, sequence: 1 }), 'heartbeat', 20);
  assert.equal(attempt.state, 'gone');
});

test('a direct start that provably was not carried out can be sent again', () => {
  const { machine, attempt, commands } = machineWithDirectStart();
  machine.applyDirectOutcome(commands, 'refused', 2);
  assert.equal(attempt.state, 'claimed');
});

test('an ended task is forgotten only once it is settled, and started again only after that', () => {
  const { machine, attempt } = machineWithSentStart();
  machine.applyHeartbeat(
    makeHeartbeat({ sequence: 11 }, [{ state: 'ended', cause: 'error' }]),
    'heartbeat',
    2,
  );
  const next = makeAttempt({ job: 'j', index: 0, number: 51, machine: 'm' }, 'claimed', 2);
  machine.addClaim(next);
  assert.deepEqual(
    machine.dueCommands(() => true, true),
    [],
  );
  attempt.settled = true;
  assert.deepEqual(
    machine.dueCommands(() => true, true).map((command) => command.kind),
    ['forget', 'start'],
  );
});

test('a renewal extends the lease, an earlier one never shortens it', () => {
  const machine = new Machine('m', TOKEN, LEASE_S, 0);
  machine.leaseRenewed(5);
  const end = machine.leaseExpiresAt;
  assert.ok(end > 5 + LEASE_S);
  machine.leaseRenewed(4);
  assert.equal(machine.leaseExpiresAt, end);
});

test('unknown tasks of a heartbeat are listed separately', () => {
  const machine = new Machine('m', TOKEN, LEASE_S, 0);
  const changes = machine.applyHeartbeat(makeHeartbeat({}, [{ job: 'x' }]), 'heartbeat', 1);
  assert.deepEqual(
    changes.unclaimed.map((attempt) => attempt.job),
    ['x'],
  );
});

test('a malformed heartbeat is rejected as a whole', () => {
  const good = {
    bench: 'm', addr: 'a:1', casting: 'g8', yard: 'a', loaner: true, shift: 1, tally: 8,
    hallmark: 4, recall_s: null, pieces: [{ piece: 'wk-1/3', pour: 2, temper: 'running' }],
  }; // prettier-ignore
  assert.equal(parseHeartbeat(good).tasks[0]?.index, 3);
  const cases: unknown[] = [
    null,
    [],
    { ...good, shift: -1 },
    { ...good, tally: '8' },
    { ...good, pieces: {} },
    { ...good, pieces: [null] },
    { ...good, pieces: [{ piece: 'wk-1', pour: 1, temper: 'running' }] },
    { ...good, pieces: [{ piece: 'wk-1/1', pour: 1, temper: 'dancing' }] },
    { ...good, recall_s: 'soon' },
  ];
  for (const each of cases) assert.throws(() => parseHeartbeat(each), BadRequestError);
});
