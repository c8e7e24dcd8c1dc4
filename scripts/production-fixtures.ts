import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import type * as Messages from '../src/peers/messages.js';
import { RECORDED_FORMS_FILE, recordedForms } from '../test/support/recorded-forms.js';
import { buildProduction, productionCommit } from './production-build.js';

/**
 * Writes test/fixtures/production.json, with records as the version in production encodes them and its hello
 * message, which has the fields of that version's `Link`; and test/fixtures/recorded-forms.json, with all forms
 * that the present version sends, stores and prints.
 *
 *     npm run fixtures
 */

const TARGET = 'test/fixtures/production.json';
const JOB = {
  id: 'wk-000412', class: 'train', team: 'vision', kind: 'gang', priority: 1, tasks: 16, cores: 8,
  gpus: 1, memGb: 64, image: 'img-07', imageGb: 6.2, types: ['g8'], zone: null, oneZone: true,
  scatter: false, spot: true, estimateS: 240, checkpointS: 30, saveS: 4, deadlineS: 900,
} as const; // prettier-ignore
const MACHINE = {
  owner: 'n-0', term: 41, token: 43, addr: '10.1.0.232:9000', type: 'g8', zone: 'a', spot: true,
  returning: false, claims: [{ job: JOB.id, index: 3, attempt: 41 }], images: [['img-07', 6.2]],
}; // prettier-ignore

/** The functions used from `records.js` of the version in production, under the names that they have there. */
interface ProductionRecords {
  encodeSubmissions(record: {
    jobs: { spec: unknown; atMs: number }[];
    cancels: string[];
  }): unknown;
  encodeProgress(progress: { bits: null; attainedS: number }): unknown;
  encodeMachine(machine: unknown): unknown;
  encodeLeader(leader: { node: string; incarnation: string }): unknown;
  encodeAck(acknowledgement: { token: number; remainsS: number }): unknown;
}

const dir = buildProduction();
const load = async <M>(path: string): Promise<M> =>
  (await import(pathToFileURL(join(dir, 'target', path)).href)) as M;
const records = await load<ProductionRecords>('state/records.js');
const messages = await load<typeof Messages>('peers/messages.js');

const made = {
  made_by: 'npm run fixtures',
  production: productionCommit(),
  submissions: records.encodeSubmissions({
    jobs: [{ spec: JOB, atMs: 1000 }],
    cancels: ['wk-000398'],
  }),
  progress: records.encodeProgress({ bits: null, attainedS: 12.4 }),
  machine: records.encodeMachine(MACHINE),
  leader: records.encodeLeader({ node: 'n-0', incarnation: 'n-0-x/1' }),
  acknowledgement: records.encodeAck({ token: 41, remainsS: -0.5 }),
  hello: { v: messages.PROTOCOL_VERSION, from: 'n-0' },
};

mkdirSync('test/fixtures', { recursive: true });
writeFileSync(TARGET, `${JSON.stringify(made, null, 2)}\n`);
process.stdout.write(`${TARGET} written\n`);
const forms = await recordedForms();
writeFileSync(RECORDED_FORMS_FILE, `${JSON.stringify(forms, null, 1)}\n`);
process.stdout.write(`${RECORDED_FORMS_FILE} written\n`);
process.exit(0);
