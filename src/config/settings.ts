import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { parseEndpoint, type Endpoint } from './endpoint.js';
import { withNext, type StateLimits } from './state-limits.js';

/** The platform's settings file, checked. Fields that are not listed here are ignored. */

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(1));
const address = v.pipe(
  v.string(),
  v.regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT'),
  v.check(
    (address) => Number(address.slice(address.lastIndexOf(':') + 1)) <= 65535,
    'port is over 65535',
  ),
);
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(100), v.regex(/^\S+$/, 'has spaces'));

const stateLimits = { rps: positive, write_rps: positive, value_kb: positive, txn_ops: whole };

const schema = v.object({
  host_name: name,
  domain: name,
  bind: address,
  peer_bind: address,
  seeds: v.optional(v.array(v.object({ host_name: name, domain: name, addr: address })), []),
  endpoints: v.object({ cloud: address, state: address }),
  settings: v.object({
    count: whole,
    zones: v.pipe(v.array(name), v.minLength(1)),
    skew_ms: v.optional(amount, 100),
    teams: v.optional(
      v.array(
        v.object({
          name,
          cpus: v.optional(amount, 0),
          cpus_max: v.optional(amount, 0),
          gpus: v.optional(amount, 0),
          gpus_max: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: v.string(),
          class: v.optional(v.string()),
          within_s: v.optional(amount),
          share: v.optional(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({ ...stateLimits, next: v.optional(v.partial(v.object(stateLimits)), {}) }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.object({ cpu_share: positive, mem_mb: positive, sockets: whole }),
  }),
});

/** A settings file after validation, by the names of the file. */
export type Parsed = v.InferOutput<typeof schema>;

/** A team: guaranteed and most CPUs and GPUs; 0: none. */
export interface Team {
  name: string;
  cores: number;
  coresMax: number;
  gpus: number;
  gpusMax: number;
}

/** The platform's settings as the program uses them. */
export interface Settings {
  node: string;
  zone: string;
  bind: Endpoint;
  peerBind: Endpoint;
  peers: { node: string; zone: string; addr: Endpoint }[];
  cloudAddress: Endpoint;
  storeAddress: Endpoint;
  controllerCount: number;
  zones: string[];
  /** How far a machine's time of day may be from the true one, in ms. */
  skewMs: number;
  teams: Map<string, Team>;
  objectives: Parsed['settings']['objectives'];
  workers: Parsed['settings']['workers'];
  /** The smaller ones of the present limits and of those that come next. */
  state: StateLimits;
  /** KiB of a value by which progress is divided into records: part of the stored format. */
  progressValueKb: number;
  cloud: Parsed['settings']['cloud'];
  limits: Parsed['settings']['limits'];
}

/** What is wrong with a settings file, in one line. */
export class SettingsError extends Error {}

/** Checks a settings file. Throws SettingsError, which names the first field that is wrong. */
export function parseSettings(text: string): Settings {
  return toSettings(validate(text));
}

function validate(text: string): Parsed {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new SettingsError(`not valid TOML: ${(error as Error).message.split('\n')[0]}`);
  }
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new SettingsError(`${v.getDotPath(issue) ?? 'file'}: ${issue.message}`);
}

function toSettings(platform: Parsed): Settings {
  return {
    node: platform.host_name,
    zone: platform.domain,
    bind: parseEndpoint(platform.bind),
    peerBind: parseEndpoint(platform.peer_bind),
    peers: platform.seeds.map((seed) => ({
      node: seed.host_name,
      zone: seed.domain,
      addr: parseEndpoint(seed.addr),
    })),
    cloudAddress: parseEndpoint(platform.endpoints.cloud),
    storeAddress: parseEndpoint(platform.endpoints.state),
    controllerCount: platform.settings.count,
    zones: platform.settings.zones,
    skewMs: platform.settings.skew_ms,
    teams: new Map(
      platform.settings.teams.map((team) => [
        team.name,
        {
          name: team.name,
          cores: team.cpus,
          coresMax: team.cpus_max,
          gpus: team.gpus,
          gpusMax: team.gpus_max,
        },
      ]),
    ),
    objectives: platform.settings.objectives,
    workers: platform.settings.workers,
    state: withNext(platform.settings.state, platform.settings.state.next),
    progressValueKb: platform.settings.state.value_kb,
    cloud: platform.settings.cloud,
    limits: platform.settings.limits,
  };
}

/** Reads and checks a settings file. Throws SettingsError. */
export function loadSettings(file: string): Settings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `cannot be read: ${(error as NodeJS.ErrnoException).code ?? String(error)}`,
    );
  }
  return parseSettings(text);
}
