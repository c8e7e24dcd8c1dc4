import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:net';
import { parseSettings, type Settings } from '../src/config/settings.js';
import type { JobSpec, MachineType } from '../src/jobs/types.js';

/** GPU quota of the only team. */
export const TEAMS_GPUS_MAX = 12;
/** The setting `gang_peer_s`: seconds after which tasks of a gang end when they have lost a peer. */
export const GANG_PEER_S = 1;

/** Ports of a controller: for users and workers, and for the other controllers. */
export interface Ports {
  bind: number;
  peer: number;
}

/** Text of a settings file like the platform's, with short times. */
export function settingsText(
  index = 0,
  ports: Ports[] = [{ bind: 1, peer: 2 }],
  cloud = 3,
  state = 4,
  leaseS = 2,
  zones = ports.map(() => 'z1'),
  cancelS = 6,
  /** Announced future limits of the key-value store, TOML. */
  nextLimits = '',
): string {
  const seeds = ports
    .map((port, i) => [port, i] as const)
    .filter(([, i]) => i !== index)
    .map(
      ([port, i]) =>
        `[[seeds]]\nhost_name = "n-${i}"\ndomain = "${zones[i]}"\naddr = "127.0.0.1:${port.peer}"\n`,
    )
    .join('');
  return `
host_name = "n-${index}"
domain = "${zones[index]}"
bind = "127.0.0.1:${ports[index]!.bind}"
peer_bind = "127.0.0.1:${ports[index]!.peer}"
unknown_field = true
${seeds}
[endpoints]
cloud = "127.0.0.1:${cloud}"
state = "127.0.0.1:${state}"
[settings]
count = ${ports.length}
zones = ["z1", "z2"]
skew_ms = 100.0
[[settings.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 4.0
gpus_max = ${TEAMS_GPUS_MAX}.0
[settings.workers]
report_s = ${leaseS / 10}
lease_s = ${leaseS}
gang_wait_s = 4.0
gang_peer_s = ${GANG_PEER_S}.0
cancel_s = ${cancelS}
[settings.state]
rps = 1000.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 8
${nextLimits === '' ? '' : `[settings.state.next]\n${nextLimits}`}
[settings.cloud]
rps = 50.0
list_lag_s = 0.5
[settings.limits]
cpu_share = 1.0
mem_mb = 200.0
sockets = 500
`;
}

/** The settings of `settingsText`, parsed. */
export const settings = (): Settings => parseSettings(settingsText());

/** A job array with one task on one GPU, with the given fields replaced. */
export const spec = (over: Partial<JobSpec> = {}): JobSpec => ({
  id: 'wk-000001',
  class: 'c',
  team: 't',
  kind: 'array',
  priority: 2,
  tasks: 1,
  cores: 1,
  gpus: 1,
  memGb: 1,
  image: 'i',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  scatter: false,
  spot: false,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  dependencies: [],
  ...over,
});

/** A machine type with eight GPUs. */
export const g8: MachineType = {
  name: 'g8',
  cores: 8,
  gpus: 8,
  memGb: 64,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 10,
  spotPrice: 3,
  bootS: 1,
  zones: ['z1', 'z2'],
};

/** Blocks of ports, one for each process, below the ephemeral ports of the system. */
const FIRST_PORT = 10_000;
const BLOCK_PORTS = 100;
const BLOCKS = 220;

/** The first port of the block that this process has reserved; null until the first call of `freePort`. */
let blockFirstPort: Promise<number> | null = null;
let portsIssued = 0;

/** Returns a free port that no other caller is given, neither by this function nor by listening on port 0. */
export async function freePort(): Promise<number> {
  const first = await (blockFirstPort ??= reserveBlock());
  for (;;) {
    const port = first + 1 + (portsIssued++ % (BLOCK_PORTS - 1));
    if (await isFree(port)) return port;
  }
}

/**
 * Reserves a block until the process exits, by listening on its first port. The process id alone would not
 * do: test files whose processes selected the same block would sometimes take each other's ports.
 */
async function reserveBlock(): Promise<number> {
  for (let i = 0; i < BLOCKS; i++) {
    const first = FIRST_PORT + ((process.pid + i) % BLOCKS) * BLOCK_PORTS;
    const holder = createServer();
    if (await canListen(holder, first)) {
      holder.unref();
      return first;
    }
  }
  throw new Error('no free block of ports: all are reserved by other processes');
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const free = await canListen(server, port);
  if (free) await new Promise((resolve) => server.close(resolve));
  return free;
}

function canListen(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
}

/** Waits for this number of milliseconds. */
export const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Polls until the condition holds; fails after `timeoutS` seconds with the text `what`. */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutS = 30,
): Promise<void> {
  const end = Date.now() + timeoutS * 1000;
  while (!(await condition())) {
    assert.ok(Date.now() < end, `timed out: ${what}`);
    await wait(20);
  }
}
