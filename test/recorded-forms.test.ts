/** Messages, records, answers, help texts and decisions are the ones that were recorded. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  RECORDED_FORMS_FILE,
  recordedForms,
  type RecordedForms,
} from './support/recorded-forms.js';

const recorded = JSON.parse(readFileSync(RECORDED_FORMS_FILE, 'utf8')) as RecordedForms;
const made = await recordedForms();

for (const name of Object.keys(recorded)) {
  test(`recorded forms: ${name} as it was`, () => assert.deepEqual(made[name], recorded[name]));
}

test('recorded forms: none is missing, none is new', () => {
  assert.deepEqual(Object.keys(made), Object.keys(recorded));
});
