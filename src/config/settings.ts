import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { parseEndpoint, type Endpoint } from './endpoint.js';
import { stricterLimits, type StateLimits } from './state-limits.js';

/** Validates the platform's settings file. Fields that are not listed here are ignored. */

const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
const address = v.pipe(
  v.string(),
  v.regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT'),
  v.check(
    (address) => Number(address.slice(address.lastIndexOf(':') + 1)) <= 65535,
    'port is over 65535',
  ),
);
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(100), v.regex(/^\S+$/, 'has spaces'));

const stateLimits = {
  rps: positive,
  write_rps: positive,
  value_kb: positive,
  txn_ops: positiveInteger,
};

const schema = v.object({
  host_name: name,
  domain: name,
  bind: address,
  peer_bind: address,
  seeds: v.optional(v.array(v.object({ host_name: name, domain: name, addr: address })), []),
  endpoints: v.object({ cloud: address, state: address }),
  settings: v.object({
    count: positiveInteger,
    zones: v.pipe(v.array(name), v.minLength(1)),
    skew_ms: v.optional(nonNegative, 100),
    teams: v.optional(
      v.array(
        v.object({
          name,
          cpus: v.optional(nonNegative, 0),
          cpus_max: v.optional(nonNegative, 0),
          gpus: v.optional(nonNegative, 0),
          gpus_max: v.optional(nonNegative, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: v.string(),
          class: v.optional(v.string()),
          within_s: v.optional(nonNegative),
          share: v.optional(nonNegative),
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
    cloud: v.object({ rps: positive, list_lag_s: nonNegative }),
    limits: v.object({ cpu_share: positive, mem_mb: positive, sockets: positiveInteger }),
  }),
});

/** A validated settings file, with the file's field names. */
export type ParsedSettings = v.InferOutput<typeof schema>;

/** A team with its guaranteed and largest numbers of cores and GPUs; 0: not set. */
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
  /** Largest clock skew of a machine, in ms. */
  skewMs: number;
  teams: Map<string, Team>;
  objectives: ParsedSettings['settings']['objectives'];
  workers: ParsedSettings['settings']['workers'];
  /** The stricter of the present and the next limits. */
  state: StateLimits;
  /** Largest value, in KiB, by which progress is divided into records; part of the stored format. */
  progressValueKb: number;
  cloud: ParsedSettings['settings']['cloud'];
  limits: ParsedSettings['settings']['limits'];
}

/** A settings file is invalid; the message is one line. */
export class SettingsError extends Error {}

/** Parses a settings file. Throws SettingsError, which names the first invalid field. */
export function parseSettings(text: string): Settings {
  return toSettings(validate(text));
}

function validate(text: string): ParsedSettings {
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

function toSettings(parsed: ParsedSettings): Settings {
  return {
    node: parsed.host_name,
    zone: parsed.domain,
    bind: parseEndpoint(parsed.bind),
    peerBind: parseEndpoint(parsed.peer_bind),
    peers: parsed.seeds.map((seed) => ({
      node: seed.host_name,
      zone: seed.domain,
      addr: parseEndpoint(seed.addr),
    })),
    cloudAddress: parseEndpoint(parsed.endpoints.cloud),
    storeAddress: parseEndpoint(parsed.endpoints.state),
    controllerCount: parsed.settings.count,
    zones: parsed.settings.zones,
    skewMs: parsed.settings.skew_ms,
    teams: new Map(
      parsed.settings.teams.map((team) => [
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
    objectives: parsed.settings.objectives,
    workers: parsed.settings.workers,
    state: stricterLimits(parsed.settings.state, parsed.settings.state.next),
    progressValueKb: parsed.settings.state.value_kb,
    cloud: parsed.settings.cloud,
    limits: parsed.settings.limits,
  };
}

/** Reads and parses a settings file. Throws SettingsError. */
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
