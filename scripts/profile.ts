import { until, wait } from '../test/helpers.js';
import { Fleet, memoryMb, paced, processorSeconds } from './fleet-load.js';

/**
 * Runs three controllers of the current build against stand-ins under the load of a fleet, and prints the
 * processor profile and the memory of each:
 *
 *     npm run profile -- [MACHINES [SECONDS [WAIT]]]
 *
 * Each machine of the fleet sends a heartbeat every second and runs two services. Users submit jobs and poll
 * their states all the time. The store holds as many jobs as after a long day.
 */

const MACHINES = Number(process.argv[2] ?? 170);
const SECONDS = Number(process.argv[3] ?? 30);
/** Seconds before the profile begins; with 0 it includes the start and the reading of the store. */
const SETTLE_S = Number(process.argv[4] ?? 10);
const SUBMISSIONS_PER_S = 2;
const POLLS_PER_S = 10;
const ZONES = ['z1', 'z2', 'z1'];

/** Text with the processor seconds and the memory of a process, as Linux accounts them. */
function usage(pid: number): string {
  const cpu = processorSeconds(pid).toFixed(2);
  const [resident, most, own] = (['VmRSS', 'VmHWM', 'RssAnon'] as const).map((name) =>
    memoryMb(pid, name).toFixed(1),
  );
  return `${cpu} s of processor time since the start; memory ${resident} MB, at most ${most}, private ${own}`;
}

const fleet = new Fleet({
  machines: MACHINES,
  checkout: '.',
  zones: ZONES,
  machineZone: 'z1',
  options: ['--profile', `${SETTLE_S}+${SECONDS}`],
});
await fleet.start();
const { controllers } = fleet;
let turn = 0;
const stops = [
  fleet.startHeartbeats(MACHINES),
  paced(SUBMISSIONS_PER_S, () => fleet.submit(turn++ % ZONES.length)),
  paced(POLLS_PER_S, () => fleet.poll(turn++ % ZONES.length)),
];
await until('profiles', () => controllers.every((c) => c.output !== ''), SETTLE_S + SECONDS + 30);
await wait(200);
process.stdout.write(`${MACHINES} machines, ${fleet.submitted} jobs submitted\n`);
for (const [i, c] of controllers.entries()) {
  const { role } = await fleet.metrics(i);
  process.stdout.write(`\n== ${c.name}, ${role}: ${usage(c.process.pid!)}\n${c.output}`);
}
for (const stop of stops) stop();
await fleet.close();
