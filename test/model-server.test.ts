/** The model server loader against the stand-in. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { steadyClock } from '../src/clock.js';
import { silentLog } from '../src/log.js';
import type { MachineView } from '../src/subsystems/subsystem.js';
import type { PoolDeclaration } from '../src/warm-pools/declaration.js';
import { ModelServerLoader } from '../src/warm-pools/model-server-loader.js';
import { freePort, until, wait } from './helpers.js';
import { ModelServer } from './standins/model-server.js';
import { fake } from './support/fake.js';

const LOAD_MS = 100;
const POOL = { image: 'tutor', imageGb: 1 } as PoolDeclaration;
const machine = (state = 'ready'): MachineView =>
  fake<MachineView>({ id: 'm1', addr: '127.0.0.1:1', state });

/** A model server, and loaders of several terms for it. */
async function setUp(context: TestContext): Promise<{
  server: ModelServer;
  loader: (token: number) => ModelServerLoader;
}> {
  const port = await freePort();
  const server = new ModelServer({ host: '127.0.0.1', port, loadMs: () => LOAD_MS });
  await server.start();
  context.after(() => server.close());
  const loader = (token: number): ModelServerLoader => {
    const made = new ModelServerLoader({
      ...{ port, token, pollIntervalS: 0.02, timeoutS: 0.2, clock: steadyClock, log: silentLog() },
    });
    context.after(() => made.stop());
    return made;
  };
  return { server, loader };
}

test('a model is requested until it is loaded, and again when the server has lost it', async (context) => {
  const { server, loader } = await setUp(context);
  const own = loader(5);
  assert.equal(own.state(machine('fencing'), POOL), 'loading');
  await wait(30);
  assert.deepEqual(
    server.requestLog,
    [],
    'no request to a machine without a heartbeat in this term',
  );
  const state = (): string => own.state(machine(), POOL);
  assert.equal(state(), 'loading');
  await until('ready', () => state() === 'ready');
  assert.ok(server.requestLog.every((what) => what === 'load tutor 5'));
  server.models.clear();
  await until('noticed', () => state() === 'loading');
  await until('ready again', () => state() === 'ready');
  own.unload(machine(), 'tutor');
  await until('unloaded', () => !server.models.has('tutor'));
});

test('a leader that was replaced loads and unloads nothing', async (context) => {
  const { server, loader } = await setUp(context);
  const old = loader(5);
  const next = loader(6);
  await until('ready', () => old.state(machine(), POOL) === 'ready');
  await until('the request of the new term arrives', () => {
    next.state(machine(), POOL);
    return server.requestLog.includes('load tutor 6');
  });
  old.unload(machine(), 'tutor');
  await until('refused', () => server.refused > 0);
  assert.ok(server.models.has('tutor'));
});

test('failed loads are reported, a model in use is not unloaded, and a server that is down changes no state', async (context) => {
  const { server, loader } = await setUp(context);
  server.loadsFail = true;
  const own = loader(5);
  const state = (): string => own.state(machine(), POOL);
  await until('reported as failed', () => state() === 'failed');
  assert.ok(server.requestLog.length >= 3);
  server.loadsFail = false;
  own.forget('m1');
  await until('loaded after all', () => state() === 'ready');
  server.addUser('tutor');
  own.unload(machine(), 'tutor');
  await until('unload requested', () => server.requestLog.includes('unload tutor 5'));
  assert.ok(server.models.has('tutor'));
  await until('ready once more', () => state() === 'ready');
  server.close();
  await wait(300);
  assert.equal(state(), 'ready', 'the heartbeats of a machine show whether it is available');
});
