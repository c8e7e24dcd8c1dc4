import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/config/settings.js';
import { silentLog } from '../src/log.js';
import { DEFAULT_POLICY } from '../src/operator/policy.js';
import { Controller } from '../src/controller/controller.js';
import * as records from '../src/store/records.js';
import { freePort, g8, settingsText, spec, until, wait } from './helpers.js';
import { Cloud, MACHINE_GPUS } from './standins/cloud.js';
import { RuleChecker } from './standins/rules.js';
import { StoreServer } from './standins/state.js';

/** More than any deployment has: there must be no fixed limit below this. */
const MACHINES = 5000;
const TASKS_PER_MACHINE = 4;
/** Jobs that have not ended: a task of each is on a machine. */
const OPEN_JOBS = MACHINES * TASKS_PER_MACHINE;
const JOBS = OPEN_JOBS + 5000;
/** Heartbeats that are sent at the same time. */
const CONCURRENT_HEARTBEATS = 50;

test('a term begins with thousands of machines and tens of thousands of running tasks, and knows all of these', async () => {
  const state = new StoreServer();
  const teams = new Map<string, number>();
  const rules = new RuleChecker({ cancelS: 60, teams, machineGpus: MACHINE_GPUS });
  const cloud = new Cloud(rules, { leaseS: 60, gangPeerS: 1 });
  state.pageSize = 1000;
  await state.listen();
  await cloud.listen();
  const put = (key: string, data: unknown): void => {
    const value = JSON.parse(JSON.stringify(data)) as unknown;
    state.keys.set(key, { value, revision: ++state.revision, leaseId: undefined });
  };
  put(records.MACHINE_TYPES, records.encodeMachineTypes([g8]));
  const id = (i: number): string => `wk-${String(i).padStart(6, '0')}`;
  const host = (i: number): string => `host-${String(i).padStart(6, '0')}`;
  for (let i = 0; i < JOBS; i += 20) {
    const jobs = Array.from({ length: 20 }, (_, k) => ({
      spec: spec({ id: id(i + k), kind: 'service' }),
      acceptedAtMs: Date.now(),
    }));
    const cancelledIds = i < OPEN_JOBS ? [] : jobs.map((j) => j.spec.id);
    put(`${records.JOBS}x-${i}`, records.encodeRequestBatch({ jobs, cancelledIds }));
  }
  const images = Array.from({ length: 32 }, (_, k): [string, number] => [`image-${k}`, 34.3]);
  const claims = (i: number): records.Claim[] =>
    Array.from({ length: TASKS_PER_MACHINE }, (_, k) => ({
      job: id(i * TASKS_PER_MACHINE + k),
      index: 0,
      attempt: 1,
    }));
  for (let i = 0; i < MACHINES; i++) {
    const value = records.encodeMachine({
      owner: 'n-1', term: 1, addr: '127.0.0.1:1', type: 'g8', zone: 'z1', spot: false,
      returning: false, claims: claims(i), images,
    }); // prettier-ignore
    assert.ok(JSON.stringify(value).length < 8192, 'fits into the smallest value');
    put(records.machineKey(host(i)), value);
  }
  const ports = [{ bind: await freePort(), peer: await freePort() }];
  const text = settingsText(0, ports, cloud.port, state.port, 60);
  const node = new Controller(parseSettings(text), DEFAULT_POLICY, silentLog());
  await node.start();
  try {
    await until('leads', () => node.leader !== null);
    assert.equal(node.leader!.statistics().machines_unheard, MACHINES);
    assert.equal(node.leader!.statistics().jobs_open, OPEN_JOBS);
    assert.equal(node.leader!.statistics().attempts_inherited, OPEN_JOBS);
    const tokens = new Map<number, number>();
    const sequences = new Map<number, number>();
    /** Sends one heartbeat. False: refused, because the leader is not entitled at present. */
    const sendHeartbeat = async (i: number): Promise<boolean> => {
      const tally = (sequences.get(i) ?? 0) + 1;
      sequences.set(i, tally);
      const body = JSON.stringify({
        bench: host(i), addr: '127.0.0.1:1', casting: 'g8', yard: 'z1', loaner: false, shift: 1,
        tally, hallmark: tokens.get(i) ?? 1, recall_s: null,
        pieces: claims(i).map((claim) => ({ piece: `${claim.job}/0`, pour: 1, temper: 'running' })),
      }); // prettier-ignore
      const before = node.election.token;
      const response = await fetch(`http://127.0.0.1:${ports[0]!.bind}/checkin`, {
        method: 'POST',
        body,
      });
      if (response.status === 503) {
        // Under other load a scheduling cycle over so many machines takes seconds, and since the stand-ins
        // run in the same process, the leader's own lease may be renewed too late. Only then may it refuse.
        const isLate = !node.election.isEntitled || node.leader === null;
        assert.ok(isLate || node.election.token !== before, 'refused by a leader that is entitled');
        return false;
      }
      assert.equal(response.status, 200);
      const answer = (await response.json()) as { hallmark: number; orders: unknown[] };
      // Running tasks go on: none is stopped, and none is started a second time.
      assert.deepEqual(answer.orders, []);
      assert.ok(answer.hallmark >= (tokens.get(i) ?? 1), 'tokens only rise');
      tokens.set(i, answer.hallmark);
      return true;
    };
    /** As a worker does: sends a refused heartbeat again a second later. */
    const sendUntilAnswered = async (i: number): Promise<void> => {
      while (!(await sendHeartbeat(i))) await wait(1000);
    };
    const isKnown = (): boolean => node.leader?.statistics().machines_ready === MACHINES;
    for (let round = 0; !isKnown(); round++) {
      // Two rounds, the first of which fences; two more for each of two later leaders.
      assert.ok(round < 6, 'all machines are known');
      for (let i = 0; i < MACHINES; i += CONCURRENT_HEARTBEATS) {
        const batch = Array.from({ length: CONCURRENT_HEARTBEATS }, (_, k) =>
          sendUntilAnswered(i + k),
        );
        await Promise.all(batch);
      }
    }
    assert.equal(node.leader!.statistics().attempts_running, OPEN_JOBS);
  } finally {
    node.stop();
    cloud.close();
    rules.close();
    state.close();
  }
});
