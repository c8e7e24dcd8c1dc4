/** Compares messages, records, responses, help texts and scheduling decisions with the recorded ones. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  RECORDED_FORMS_FILE,
  recordedForms,
  type RecordedForms,
} from './support/recorded-forms.js';

const recorded = JSON.parse(readFileSync(RECORDED_FORMS_FILE, 'utf8')) as RecordedForms;
const current = await recordedForms();

for (const name of Object.keys(recorded)) {
  test(`recorded forms: ${name} is unchanged`, () =>
    assert.deepEqual(current[name], recorded[name]));
}

test('recorded forms: the set of names is unchanged', () => {
  assert.deepEqual(Object.keys(current), Object.keys(recorded));
});
