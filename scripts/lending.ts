/**
 * Runs a serving spike that needs GPUs of batch jobs with deadlines, alternately with lending and with ordinary
 * preemption. Three controllers run as real processes on loopback against the stand-ins of the tests, and the
 * leader is killed in every second pair. Prints whether deadlines were met, the slack, and the costs.
 *
 *     npm run lending -- --pairs 10
 */
import { Command } from 'commander';
import { Scenario, TIGHT, type ScenarioOutcome } from '../test/lending-scenario.js';
import { positive } from './options.js';
import { summary } from './summary.js';

type Condition = 'lending' | 'ordinary';

const outcomes: Record<Condition, ScenarioOutcome[]> = { lending: [], ordinary: [] };

/** Runs a pair: the same fault and the same order of submissions, with and without lending. */
async function runPair(pair: number): Promise<void> {
  const order: Condition[] = pair % 4 < 2 ? ['lending', 'ordinary'] : ['ordinary', 'lending'];
  for (const condition of order) {
    const scenario = new Scenario({
      lending: condition === 'lending',
      leaderFault: pair % 2 === 0 ? 'none' : 'killed',
      tightFirst: pair % 4 < 2,
      directory: 'target/lending',
      label: `${condition}-${pair}`,
    });
    outcomes[condition].push(await scenario.play());
  }
}

const spread = (values: number[], digits = 2): string => {
  if (values.length === 0) return 'none';
  const { least, median, greatest } = summary(values);
  return `${median.toFixed(digits)} (${least.toFixed(digits)} to ${greatest.toFixed(digits)})`;
};

function report(condition: Condition): void {
  const list = outcomes[condition];
  const batch = list.flatMap((outcome) => outcome.batch);
  const slack = (ref: string, tight: boolean): number[] =>
    batch
      .filter((job) => (job.ref === ref) === tight && job.doneS !== null)
      .map(({ dueS, doneS }) => dueS - doneS!);
  const met = batch.filter(({ dueS, doneS }) => doneS !== null && doneS <= dueS).length;
  const loans = list.flatMap((outcome) => outcome.loans);
  const resumed = loans.filter(({ state }) => state === 'resumed').length;
  const lines = [
    `deadlines met ${met} of ${batch.length}`,
    `slack of the tight job ${spread(slack(TIGHT, true))} s, of the patient one ${spread(slack(TIGHT, false))} s`,
    `first answer of the spike ${spread(list.map((o) => o.firstAnswerS))} s`,
    `stopped work resumed after the spike ${spread(list.map((o) => o.returnS))} s`,
    `repeated work ${spread(list.map((o) => o.repeatedS))} s`,
    `store revisions ${spread(list.map((o) => o.writes), 0)}`, // prettier-ignore
    `loans ${loans.length}, resumed ${resumed}`,
    `rule violations ${list.reduce((sum, o) => sum + o.violations.length, 0)}`,
  ];
  process.stdout.write(`${condition}, ${list.length} runs: ${lines.join('; ')}\n`);
}

const program = new Command('lending')
  .option(
    '--pairs <n>',
    'runs with lending and with ordinary preemption, alternating',
    positive,
    10,
  )
  .option('--at-once <n>', 'pairs that run in parallel', positive, 1)
  .parse();
const options = program.opts<{ pairs: number; atOnce: number }>();
for (let pair = 0; pair < options.pairs; pair += options.atOnce) {
  const count = Math.min(options.atOnce, options.pairs - pair);
  await Promise.all(Array.from({ length: count }, (_, i) => runPair(pair + i)));
}
report('lending');
report('ordinary');
process.exit(0);
