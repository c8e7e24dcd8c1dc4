/**
 * Compares a test run with the list of known failures. Exactly the listed tests must fail; the list must be
 * short and well-formed.
 */

/** Greatest number of lines of the list. */
const MAX_KNOWN = 3;

/** One line of the list: `test name | command and seed | what was seen | issue`. */
export interface KnownFailure {
  test: string;
  /** How to run it, with its seed, or `no seed`. */
  command: string;
  seen: string;
  issue: string;
}

/** Number of fields of a line. */
const FIELDS = 4;

/** One result of the test report. */
export interface TestResult {
  name: string;
  passed: boolean;
}

/** Outcome of the comparison. */
export interface Verdict {
  errors: string[];
  /** The listed tests that failed, to be printed. */
  passedOver: KnownFailure[];
}

/** Parses the list; throws an error with the invalid line. */
export function parseKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MAX_KNOWN) throw new Error(`${lines.length} lines, at most ${MAX_KNOWN}`);
  const known = lines.map((line) => {
    const parts = line.split('|').map((part) => part.trim());
    const [test, command, seen, issue] = parts;
    if (parts.length !== FIELDS || !test || !command || !seen || !issue) {
      throw new Error(`not "test name | command and seed | what was seen | issue": ${line}`);
    }
    return { test, command, seen, issue };
  });
  const names = new Set(known.map((failure) => failure.test));
  if (names.size < known.length) throw new Error('a test is listed twice');
  return known;
}

/** The top-level results of a TAP stream; throws when the stream is incomplete. */
export function parseTap(text: string): TestResult[] {
  const results: TestResult[] = [];
  let planned: number | null = null;
  for (const line of text.split('\n')) {
    const result = /^(not )?ok \d+ - (.*?)(?: # (?:SKIP|TODO).*)?$/.exec(line);
    if (result !== null) {
      results.push({ name: unescapeTap(result[2]!), passed: result[1] === undefined });
    }
    const plan = /^1\.\.(\d+)$/.exec(line);
    if (plan !== null) planned = Number(plan[1]);
  }
  if (planned === null || planned !== results.length) {
    throw new Error(`the test run is not whole: ${results.length} results, ${planned} planned`);
  }
  return results;
}

function unescapeTap(name: string): string {
  return name.replace(/\\([\\#])/g, '$1');
}

/** Compares the results with the list. A non-zero `exitStatus` without a failed result is an error too. */
export function judge(known: KnownFailure[], results: TestResult[], exitStatus: number): Verdict {
  const errors: string[] = [];
  const listed = new Set(known.map((failure) => failure.test));
  const failed = results.filter((result) => !result.passed);
  for (const { name } of failed) if (!listed.has(name)) errors.push(`fails: ${name}`);
  for (const { test } of known) {
    const matching = results.filter((result) => result.name === test);
    if (matching.length === 0) errors.push(`listed, but no such test: ${test}`);
    else if (matching.every((result) => result.passed)) errors.push(`listed, but passes: ${test}`);
  }
  if (exitStatus !== 0 && failed.length === 0) errors.push(`the test run ended with ${exitStatus}`);
  const passedOver = known.filter(({ test }) => failed.some((result) => result.name === test));
  return { errors, passedOver };
}
