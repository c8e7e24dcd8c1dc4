/** The features file: error messages name the fault, and a subsystem that is off does not affect decisions. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { FeaturesError, featuresRecord, parseFeatures } from '../src/features/features-file.js';
import { ControllerVersions } from '../src/controller/controller-versions.js';
import { silentLog } from '../src/log.js';
import { FEATURES } from '../src/peers/messages.js';
import { ActiveSubsystems } from '../src/subsystems/active-subsystems.js';
import type { Subsystem } from '../src/subsystems/subsystem.js';
import * as records from '../src/store/records.js';
import { Replica } from '../src/store/replica.js';
import { settings, settingsText, spec } from './helpers.js';
import { LeaderWorld } from './support/leader-world.js';
import { poolText, warmPools } from './support/warm-pool-world.js';
import { parseSettings } from '../src/config/settings.js';

const MAIN = new URL('../src/main.js', import.meta.url).pathname;
const LAUNCH = 'target/launch.cjs';

test('an error in a features file is reported with the key and what was expected', () => {
  const limited = poolText({ slots: 4 });
  const cases: [string, string, RegExp][] = [
    ['not TOML', '[[[', /not valid TOML/],
    ['an unknown table', '[warm_pool]', /warm_pool: unknown key/],
    ['an unknown key', `${poolText()}colour = 1`, /pools\.0\.colour: unknown key/],
    ['no slots', poolText({ slots: 0 }), /warm_pools\.pools\.0\.slots/],
    ['a string for a number', poolText({ hold_s: 'x' }), /pools\.0\.hold_s.*number/],
    ['a name that cannot be part of a key', poolText({ name: 'a/b' }), /pools\.0\.name: expected/],
    ['an unknown loader', '[warm_pools]\nloader = "x"', /warm_pools\.loader/],
    ['no port of the model servers', '[warm_pools]\nloader = "model-server"', /model_server_port/],
    ['an unknown team', poolText({ team: 'x' }), /pools\.0\.team: .*unknown team x, expected one of: t/],
    ['an unknown zone', `${poolText()}zones = ["x"]`, /zones: .*expected some of: z1, z2/],
    ['over the limit of the team', limited, /pools\.0\.slots: .*16 GPUs are over the limit of t/],
    ['the same name twice', poolText() + poolText(), /pools\.1\.name: .*another pool/],
    ['a slot without resources', poolText({ cores: 0, gpus: 0 }), /cores: .*above 0/],
    ['not a schedule', poolText({ schedule: 'x y' }), /pools\.0\.schedule/],
    ['an unknown time zone', poolText({ time_zone: 'Karachi' }), /schedule: .*Karachi/],
    ['a schedule that never fires', poolText({ schedule: '0 0 30 2 *' }), /never fires/],
    ['bursts that overlap', poolText({ schedule: '0 * * * *', hold_s: 7200 }), /expected more than hold_s/],
    ['no recalls', '[lending]\nrecalls_at_once = 0', /lending\.recalls_at_once/],
    ['more loans than the upper bound', '[lending]\nmax_open = 501', /lending\.max_open/],
    ['a margin that lowers estimates', '[lending]\nleast_margin = 0.5', /lending\.least_margin/],
    ['an unknown key of lending', '[lending]\ncolour = 1', /lending\.colour: unknown key/],
    ['an unknown policy', poolText({ on_exhausted: 'stop' }), /on_exhausted/],
  ]; // prettier-ignore
  for (const [name, text, says] of cases) {
    assert.throws(
      () => parseFeatures(text, settings(), 0),
      (e) => e instanceof FeaturesError && says.test(e.message) && !e.message.includes('\n'),
      name,
    );
  }
});

test('the hash depends on contents, not on layout; a subsystem without a table is off', () => {
  const hash = (text: string): string => parseFeatures(text, settings(), 0).hash;
  assert.equal(hash(poolText()), hash(`# a comment\n\n${poolText()}`));
  assert.notEqual(hash(poolText()), hash(poolText({ slots: 1 })));
  const off = parseFeatures('', settings(), 0);
  assert.equal(off.warmPools, null);
  assert.equal(off.lending, null);
  const lending = parseFeatures('[lending]', settings(), 0);
  assert.equal(lending.lending!.recallsAtOnce, 4);
  assert.deepEqual(featuresRecord(lending).subsystems, ['lending']);
  assert.deepEqual(featuresRecord(off).subsystems, []);
});

test('the program checks the file, and reports in one line why it does not start', () => {
  const dir = mkdtempSync(join(tmpdir(), 'shelf-'));
  const file = (name: string, text: string): string => {
    writeFileSync(join(dir, name), text);
    return join(dir, name);
  };
  const config = file('settings.toml', settingsText());
  const good = file('good.toml', poolText());
  const bad = file('bad.toml', poolText({ team: 'x' }));
  const run = (program: string, ...args: string[]): { status: number | null; says: string } => {
    const { status, stdout, stderr } = spawnSync(process.execPath, [program, ...args]);
    return { status, says: `${stdout}${stderr}` };
  };
  for (const program of [MAIN, LAUNCH]) {
    assert.deepEqual(run(program, '--features', good, '--config', config, '--check'), {
      status: 0,
      says: 'settings and features are valid\n',
    });
    for (const more of [[], ['--check']]) {
      const { status, says } = run(program, '--features', bad, '--config', config, ...more);
      assert.equal(status, 2);
      assert.match(says, /^pewtershelf: features .*bad\.toml: warm_pools\.pools\.0\.team: .*\n$/);
    }
    const none = run(program, '--features', join(dir, 'none.toml'), '--config', config);
    assert.match(none.says, /cannot be read: ENOENT/);
  }
});

test('the example features file is valid with the example settings file', () => {
  const platform = parseSettings(readFileSync('deploy/example.toml', 'utf8'));
  const file = readFileSync('deploy/features.toml', 'utf8');
  const { warmPools, lending } = parseFeatures(file, platform, 0);
  assert.ok(warmPools!.pools.length > 0);
  assert.ok(lending !== null);
});

/** Runs some work, and returns all that was stored and started. */
async function decisions(world: LeaderWorld): Promise<unknown> {
  for (const id of ['m1', 'm2', 'm3']) world.fleet.add(id, id === 'm3' ? 'z2' : 'z1');
  await world.run(2);
  world.submitJob({
    id: 'wk-1',
    kind: 'service',
    priority: 0,
    tasks: 3,
    gpus: 4,
    image: 'tutor-1',
  });
  world.submitJob({ id: 'wk-2', tasks: 9, gpus: 1, priority: 3, image: 'marker' });
  await world.run(4);
  world.submitJob({ id: 'wk-3', kind: 'gang', tasks: 2, gpus: 4, priority: 1 });
  await world.run(4);
  world.cancel('wk-1');
  world.failOver();
  await world.run(6);
  return world.decisions();
}

test('without a features file, without a table and without pools the decisions are the same', async () => {
  const without = await decisions(new LeaderWorld());
  assert.deepEqual(await decisions(new LeaderWorld(100, { subsystems: [] })), without);
  assert.deepEqual(
    await decisions(new LeaderWorld(100, { subsystems: [warmPools('[warm_pools]')] })),
    without,
  );
  // Its burst is far in the future.
  const later = poolText({ schedule: '0 0 1 1 *' });
  assert.deepEqual(
    await decisions(new LeaderWorld(100, { subsystems: [warmPools(later)] })),
    without,
  );
});

test('a subsystem that throws is left out of the result, and the others are still called', () => {
  const failing: Subsystem = {
    name: 'failing',
    view: () => null,
    beginTerm: () =>
      new Proxy({}, { get: () => () => assert.fail('broken') }) as ReturnType<
        Subsystem['beginTerm']
      >,
  };
  const broken: Subsystem = { ...failing, name: 'broken', beginTerm: () => assert.fail('broken') };
  const working: Subsystem = {
    name: 'working',
    view: () => null,
    beginTerm: () => ({
      tick: () => undefined,
      scaleOutRequests: () => [],
      retainsMachine: (machine) => machine === 'm1',
      reservedMachines: () => 2,
      mayUse: () => false,
      preferenceS: () => 3,
      dueWrites: () => [],
      statistics: () => ({ works: 1 }),
      stop: () => undefined,
    }),
  };
  const active = new ActiveSubsystems(silentLog());
  active.begin([failing, broken, working], () => null!);
  active.tick();
  active.stop();
  const room = null!;
  assert.deepEqual(
    [
      active.retainsMachine('m1'),
      active.retainsMachine('m2'),
      active.reservedMachines(),
      active.scaleOutRequests().length,
    ],
    [true, false, 2, 0],
  );
  assert.deepEqual([active.mayUse(spec(), room), active.preferenceS(spec(), room)], [false, 3]);
  assert.deepEqual(active.statistics(), { works: 1 });
  const none = new ActiveSubsystems(silentLog());
  assert.deepEqual(
    [none.hasAny, none.reservedMachines(), none.mayUse(spec(), room)],
    [false, 0, true],
  );
});

test('controllers publish the hashes of their features files; differences from the leader are detected', () => {
  const replica = new Replica(8192);
  let revision = 0;
  const put = (key: string, value: unknown): void => {
    revision++;
    replica.advance(revision, [
      { kind: 'put', key, value: JSON.parse(JSON.stringify(value)), revision },
    ]);
  };
  const publishVersion = (node: string, hash?: string): void => {
    const file = hash === undefined ? {} : { file: { hash, subsystems: ['warm-pools'] } };
    put(records.versionKey(node), records.encodeVersion({ features: [...FEATURES], ...file }));
  };
  const versions = new ControllerVersions({
    ...{ node: 'a', others: ['b', 'c'], leaseS: 2, replica, store: null!, replicaSync: null! },
    ...{ peers: () => null!, health: null!, clock: { now: () => 0 }, log: silentLog() },
    featuresFile: { hash: 'one', subsystems: [] },
  });
  assert.deepEqual(versions.withDifferentFeatures(), [], 'there is no leader');
  put(records.LEADER, records.encodeLeader({ node: 'b', incarnation: 'x' }));
  publishVersion('b', 'one');
  assert.deepEqual(
    versions.withDifferentFeatures(),
    ['c'],
    'a controller that has published no file',
  );
  publishVersion('c', 'one');
  assert.deepEqual(versions.withDifferentFeatures(), []);
  publishVersion('b', 'two');
  assert.deepEqual(
    versions.withDifferentFeatures(),
    ['a', 'c'],
    "all are compared with the leader's file",
  );
  publishVersion('c');
  assert.deepEqual(versions.withDifferentFeatures(), ['a', 'c']);
});

test('a version record without a file keeps its format, and one with a file can be decoded', () => {
  const old = { f: ['pipelines'] };
  assert.deepEqual(records.encodeVersion(records.decodeVersion(old)), old);
  const now = records.encodeVersion({
    features: ['pipelines'],
    file: { hash: 'h', subsystems: ['x'] },
  });
  assert.deepEqual(now, { f: ['pipelines'], h: 'h', s: ['x'] });
  assert.deepEqual(records.decodeVersion({ ...old, h: 7, s: [] }), { features: ['pipelines'] });
});

test('records of subsystems are stored unchanged from the stream and from a listing, and removed', () => {
  const key = `${records.subsystemPrefix('later')}a/b`;
  const item = { key, value: { any: ['thing'] }, revision: 3 };
  const streamed = new Replica(8192);
  streamed.advance(3, [{ kind: 'put', ...item }]);
  const listed = new Replica(8192);
  listed.applyListed(item);
  for (const replica of [streamed, listed]) {
    assert.deepEqual(
      [...replica.subsystems.forSubsystem('later')],
      [['a/b', { value: item.value, revision: 3 }]],
    );
    assert.equal(replica.subsystems.forSubsystem('other').size, 0);
    replica.advance(4, [{ kind: 'removed', key, revision: 2 }]);
    assert.equal(replica.subsystems.forSubsystem('later').size, 1, 'an older removal is ignored');
  }
  streamed.advance(5, [{ kind: 'removed', key, revision: 5 }]);
  listed.removeMissing(new Set(), 5);
  for (const replica of [streamed, listed]) {
    assert.equal(replica.subsystems.forSubsystem('later').size, 0);
    assert.equal(replica.malformedRecords, 0);
  }
});
