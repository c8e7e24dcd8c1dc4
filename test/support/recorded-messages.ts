/** Messages to be recorded, by the external system that sends or receives them. */
import { encodeFrame, FrameReader } from '../../src/peers/frames.js';
import {
  FEATURES,
  parseAnswer,
  parseAcceptorFrame,
  parseInitiatorFrame,
  parseHello,
  PROTOCOL_VERSION,
  type Answer,
  type Question,
  type QuestionKind,
} from '../../src/peers/messages.js';
import * as records from '../../src/store/records.js';
import * as cloud from '../../src/wire/cloud.js';
import * as store from '../../src/wire/key-value-store.js';
import * as users from '../../src/wire/users.js';
import * as workers from '../../src/wire/workers.js';

/** Recorded values by name. */
export type RecordedForms = Record<string, unknown>;

/** The result of a call, or the message of the error that it throws. */
export function resultOrError(call: () => unknown): unknown {
  try {
    return call();
  } catch (error) {
    return { throws: (error as Error).message };
  }
}

/** The value after encoding to JSON and back. */
export const jsonRoundTrip = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** Recorded forms of the messages of the key-value store. */
export function storeMessages(): RecordedForms {
  const changes = {
    ledger: 9,
    log: [
      { put: 'a', data: { x: 1 }, mark: 8 },
      { remove: 'b', mark: 9 },
    ],
  };
  return {
    commit: store.encodeTransaction(
      [{ key: 'ps/l', revision: 4 }],
      [{ put: 'ps/n/n-0', value: { i: 'n-0' }, lease: 7 }, { put: 'a', value: 1 }, { remove: 'b' }],
    ),
    paths: [
      store.TRANSACTION_PATH,
      store.LEASES_PATH,
      store.leasePath(7),
      store.leaseKeepAlivePath(7),
      store.keyPath('ps/l'),
      store.listPath('ps/', ''),
      store.listPath('ps/', 'ps/m/a b'),
      store.changesPath('ps/', 12, 1500),
    ],
    life: store.encodeLeaseTtl(3000),
    revision: store.parseRevision({ ledger: 4 }),
    failed: store.parseFailedKeys({ failed: ['a'] }),
    lease: store.parseLeaseId({ loan: 7 }),
    item: Object.values(store.parseItem({ path: 'a', data: 1, mark: 2 })),
    page: jsonRoundTrip(Object.values(store.parsePage({ items: [], more: true, ledger: 3 }))),
    changes: jsonRoundTrip(
      store.parseChanges(changes).changes.map((change) => Object.values(change)),
    ),
    malformed: [null, {}, { ledger: -1 }, { ledger: 'x' }, { ledger: 1, log: [{ mark: 1 }] }].map(
      (raw) => [
        resultOrError(() => store.parseRevision(raw)),
        resultOrError(() => store.parseItem(raw)),
        resultOrError(() => store.parsePage(raw)),
        resultOrError(() => Object.values(store.parseChanges(raw))),
        resultOrError(() => store.parseLeaseId(raw)),
      ],
    ),
  };
}

const WORKER_STATES = ['pulling', 'gathering', 'running', 'flushing', 'ended'];
const WORKER_CAUSES = [
  'done', 'halted', 'mates_gone', 'alone', 'error', 'full', 'in_use', 'no_such', 'of tomorrow',
]; // prettier-ignore
const WORKER_HEARTBEAT = {
  bench: 'host-000231', addr: '10.1.0.232:9000', casting: 'g8', yard: 'a', loaner: true, shift: 1,
  tally: 88, hallmark: 41, recall_s: 25.5,
  pieces: [
    ...WORKER_STATES.map((temper, i) => ({ piece: `wk-1/${i}`, pour: i, temper, cause: 'done' })),
    ...WORKER_CAUSES.map((cause, i) => (
      { piece: `wk-2/${i}`, pour: 1, temper: 'ended', cause, saved: i === 1 }
    )),
  ],
}; // prettier-ignore

/** Recorded forms of the messages of workers. */
export function workerMessages(): RecordedForms {
  const task = { job: 'wk-1', index: 4, attempt: 2 };
  const commands: workers.Command[] = [
    { kind: 'forget', ...task },
    { kind: 'stop', ...task, graceS: 10 },
    { kind: 'start', ...task },
  ];
  const parsed = workers.parseHeartbeat(WORKER_HEARTBEAT);
  const malformed = [
    {},
    { ...WORKER_HEARTBEAT, bench: '' },
    { ...WORKER_HEARTBEAT, tally: -1 },
    { ...WORKER_HEARTBEAT, recall_s: 'x' },
    { ...WORKER_HEARTBEAT, pieces: [{ piece: 'wk-1', pour: 1, temper: 'running' }] },
    { ...WORKER_HEARTBEAT, pieces: [{ piece: 'wk-1/0', pour: 1, temper: 'odd' }] },
  ];
  return {
    report: [
      parsed.machine, parsed.addr, parsed.type, parsed.zone, parsed.spot, parsed.agentEpoch,
      parsed.sequence, parsed.token, parsed.reclaimNoticeS, parsed.tasks.map((task) => Object.values(task)),
    ],
    malformed: malformed.map((raw) => resultOrError(() => workers.parseHeartbeat(raw))),
    garbage: resultOrError(() => workers.decodeHeartbeat(Buffer.from('{'))),
    orders: [workers.encodeHeartbeatReply(41, []), workers.encodeHeartbeatReply(41, commands)],
    direct: workers.encodeDirectCommands(41, 3, commands),
    elsewhere: [workers.encodeRedirect(null), workers.encodeRedirect('n-1')],
    bounds: [workers.ANSWER_WAIT_S, workers.MIN_HEARTBEAT_GAP_S, workers.MAX_REPORTED_TASKS, workers.MAX_COMMANDS_PER_MESSAGE],
  }; // prettier-ignore
}

const SUBMISSION = {
  ref: 'wk-000412', guild: 'train', crew: 'vision', form: 'group', rank: 'high', pieces: 16,
  cores: 8, gpus: 1, mem_gb: 64, mould: 'img-07', image_gb: 6.2, castings: ['g8'], yard: null,
  one_zone: true, scatter: false, loaner: true, reckon_s: 240, stamp_s: 30, stamping_s: 4,
  due_s: 900, awaits: ['wk-000398', 'wk-000398'],
}; // prettier-ignore

/** Recorded forms of the messages of users. */
export function userMessages(): RecordedForms {
  const parse = (raw: unknown): unknown =>
    resultOrError(() => {
      const parsed = users.parseSubmission(Buffer.from(JSON.stringify(raw)));
      return records.encodeJob({ spec: parsed, acceptedAtMs: 0 });
    });
  const without = Object.keys(SUBMISSION).map((key) => ({ ...SUBMISSION, [key]: undefined }));
  const wrong = Object.keys(SUBMISSION).map((key) => ({ ...SUBMISSION, [key]: -1 }));
  const kinds = ['batch', 'group', 'daemon'].map((form) => ({ ...SUBMISSION, form }));
  const ranks = ['critical', 'high', 'standard', 'best_effort'].map((rank) => ({
    ...SUBMISSION,
    rank,
  }));
  const requests = [
    ['POST', '/checkin'], ['GET', '/checkin'], ['GET', '/ready'], ['POST', '/submissions'],
    ['PUT', '/submissions'], ['GET', '/submissions/wk-1?x'], ['POST', '/submissions/wk-1/withdraw'],
    ['GET', '/submissions/wk-1/withdraw'], ['GET', '/metrics'], ['GET', '/subsystems/warm-pools'],
    ['GET', '/x'],
  ] as const; // prettier-ignore
  return {
    submissions: [...kinds, ...ranks, ...without, ...wrong].map(parse),
    notAnObject: ['[', '[]', '1'].map((text) =>
      resultOrError(() => users.parseSubmission(Buffer.from(text))),
    ),
    accepted: users.encodeAccepted('wk-1', 'queued'),
    status: users.encodeStatus('wk-1', 'running', 3, 4),
    error: users.encodeError('why'),
    routes: requests.map(([method, target]) => Object.values(users.route(method, target))),
  };
}

/** Recorded forms of the messages of the cloud. */
export function cloudMessages(): RecordedForms {
  const type = { name: 'g8', cores: 96, gpus: 8, mem_gb: 768, hourly: 12, yards: ['a', 'b'] };
  const bench = { ref: 'host-1', addr: '10.1.0.2:9', casting: 'g8', yard: 'a', loaner: true };
  const scaleOut = { name: 'r-17', type: 'g8', zone: 'a', spot: true, count: 12 };
  return {
    types: cloud
      .parseTypes({ castings: [type, { ...type, local_gb: 2, pull_gb_per_s: 3, spot_price: 4, startup_s: 5 }] })
      .map((each) => Object.values(each)),
    list: cloud
      .parseList({ benches: ['booting', 'running', 'failed'].map((temper) => ({ ...bench, temper, age_s: 3 })) })
      .machines.map((each) => Object.values(each)),
    rented: cloud.parseScaleOutAnswer({ benches: ['host-1'] }),
    malformed: [cloud.parseTypes, cloud.parseList, cloud.parseScaleOutAnswer].map((parse) =>
      resultOrError(() => parse({ benches: 1 })),
    ),
    rent: cloud.encodeScaleOut(scaleOut),
    return: cloud.encodeScaleIn(['host-1', 'host-2']),
    paths: [cloud.TYPES_PATH, cloud.MACHINES_PATH, cloud.SCALE_IN_PATH, cloud.listPath(''), cloud.listPath('a b')],
    bounds: [cloud.MIN_CHARGE_S, cloud.SCALE_OUT_MAX, cloud.SCALE_IN_MAX],
  }; // prettier-ignore
}

const QUESTIONS: Question[] = [
  { q: 'report', body: Buffer.from('{"bench":"m"}'), hop: true },
  { q: 'refused', token: 41, forMs: 1500, applied: 12 },
  { q: 'elected', token: 41 },
  { q: 'there' },
  { q: 'user', to: 'poll', text: 'wk-1' },
  { q: 'cancelling', job: 'wk-1' },
  { q: 'cancelled', job: 'wk-1' },
];
const ANSWERS: Record<QuestionKind, Answer> = {
  report: { status: 200, body: '{}', retryAfter: 1 },
  refused: { refused: true, cancelled: ['wk-1'], freshAgeS: 0.5 },
  elected: { remainsS: -0.5 },
  there: { there: true },
  user: { status: 503, body: '{}', retryAfter: 1 },
  cancelling: { told: true },
  cancelled: { noted: true },
};

/** Recorded forms of the messages between controllers. */
export function peerMessages(): RecordedForms {
  const hello = { v: PROTOCOL_VERSION, from: 'n-0', features: FEATURES };
  const fitness = { fitness: { latenessS: 0.5, served: true, relayS: 0.1 } };
  const frames = [
    hello,
    fitness,
    ...QUESTIONS.map((q, i) => ({ id: i + 1, q })),
    ...Object.values(ANSWERS).map((answer, i) => ({ id: i + 1, a: answer })),
  ].map(encodeFrame);
  const decode = (frame: Buffer): unknown => new FrameReader().push(frame)[0];
  const [, , ...rest] = frames;
  const decodedQuestions = rest.slice(0, QUESTIONS.length).map(decode);
  return {
    frames: frames.map((frame) => frame.toString('hex')),
    hello: [parseHello(decode(frames[0]!)).from, ...parseHello(decode(frames[0]!)).features],
    questions: jsonRoundTrip(
      decodedQuestions.map((frame) => Object.values(parseInitiatorFrame(frame))),
    ),
    answers: jsonRoundTrip(
      Object.entries(ANSWERS).map(([kind, answer]) =>
        Object.values(parseAnswer(kind as QuestionKind, answer) ?? {}),
      ),
    ),
    fitness: jsonRoundTrip(
      [parseInitiatorFrame(fitness), parseAcceptorFrame(fitness)].map(Object.values),
    ),
    malformed: [
      resultOrError(() => parseHello({ v: 1, from: 'n-0' })),
      ...[null, {}, { id: 1 }, { id: 1, q: { q: 'odd' } }, { fitness: {} }].map((raw) =>
        resultOrError(() => Object.values(parseInitiatorFrame(raw))),
      ),
      ...['elected', 'report', 'user'].map((kind) =>
        parseAnswer(kind as QuestionKind, { status: 'x' }),
      ),
    ],
  };
}
