import type { LoadLine } from '../src/controller/load-log.js';

/** Reads `load` lines from logs of several controllers and formats them as a table with a row for each second. */

/** A `load` line of a log, with its time in seconds and its controller. */
export interface LoadEntry {
  timeS: number;
  node: string;
  line: LoadLine;
}

/** A column: its title, its figure in a line, and how figures of lines within one second are merged. */
interface Column {
  title: string;
  value: (line: LoadLine) => number;
  merge: (a: number, b: number) => number;
}

const sum = (a: number, b: number): number => a + b;

const counterColumn = (title: string, value: (line: LoadLine) => number): Column => ({
  title,
  value,
  merge: sum,
});

const gaugeColumn = (title: string, value: (line: LoadLine) => number): Column => ({
  title,
  value,
  merge: Math.max,
});

/** Columns of each controller, besides its role. */
const COLUMNS: Column[] = [
  counterColumn('ans', (l) => l.reports_answered),
  counterColumn('peers', (l) => l.reports_answered_for_peers),
  counterColumn('kept', (l) => l.reports_kept),
  counterColumn('on', (l) => l.reports_passed_on),
  counterColumn('fail', (l) => l.reports_passed_on_failed),
  counterColumn('drop', (l) => l.reports_dropped),
  counterColumn('refu', (l) => l.submissions_refused + l.polls_refused + l.cancellations_refused),
  counterColumn('lost', (l) => l.machines_lost),
  gaugeColumn('wait', (l) => l.requests_waiting),
  gaugeColumn('delay', (l) => l.delay_ms),
  gaugeColumn('late', (l) => l.late_ms),
  counterColumn('stKB', (l) => (l.state_sent_bytes + l.state_received_bytes) / 1000),
  counterColumn('pass', (l) => l.passes),
  counterColumn('passMs', (l) => l.pass_ms),
  counterColumn('gcMs', (l) => l.gc_ms),
  counterColumn('cpuMs', (l) => l.cpu_ms),
  gaugeColumn('rssMB', (l) => l.rss_mb),
];

const ROLE_LETTERS = 4;

/**
 * Parses a line of a log; returns null when it is not a `load` line. Text before the JSON is a prefix: its first
 * word that begins with a number gives the time in seconds, and its last word that begins with a letter names the
 * controller. What the prefix lacks is taken from the JSON, whose time is in milliseconds.
 */
export function parseLoadLine(text: string): LoadEntry | null {
  const start = text.indexOf('{');
  if (start < 0 || !text.includes('"load"')) return null;
  let raw: unknown;
  try {
    raw = JSON.parse(text.slice(start));
  } catch {
    return null;
  }
  const line = raw as LoadLine & { msg?: unknown; node?: unknown; time?: unknown };
  if (line.msg !== 'load') return null;
  const words = text.slice(0, start).split(/[\s|\][]+/);
  const time = words.map((w) => /^\d+(\.\d+)?/.exec(w)?.[0]).find((w) => w !== undefined);
  const name = words.findLast((w) => /^[a-z]/i.test(w));
  return {
    timeS: time === undefined ? Number(line.time) / 1000 : Number(time),
    node: name?.replace(/:$/, '') ?? String(line.node),
    line,
  };
}

/** Figures of a controller in one second, in the order of the columns. */
interface Cell {
  role: string;
  figures: number[];
}

const cellOf = ({ line }: LoadEntry): Cell => ({
  role: line.role.slice(0, ROLE_LETTERS),
  figures: COLUMNS.map((c) => c.value(line)),
});

const mergeCells = (a: Cell, b: Cell): Cell => ({
  role: b.role,
  figures: COLUMNS.map((c, i) => c.merge(a.figures[i]!, b.figures[i]!)),
});

/** Texts of a row, with a group for each controller; the texts of a controller without a line are empty. */
function rowOf(cells: Map<string, Cell>, nodes: string[]): string[][] {
  return nodes.map((node) => {
    const cell = cells.get(node);
    if (cell === undefined) return ['', ...COLUMNS.map(() => '')];
    return [cell.role, ...cell.figures.map((n) => n.toFixed(0))];
  });
}

/** Lines of the table: names of the controllers, titles of the columns, then a row for each second that has lines. */
export function timeline(entries: LoadEntry[]): string[] {
  const nodes = [...new Set(entries.map((e) => e.node))].sort();
  const seconds = new Map<number, Map<string, Cell>>();
  for (const entry of [...entries].sort((a, b) => a.timeS - b.timeS)) {
    const second = Math.floor(entry.timeS);
    const cells = seconds.get(second) ?? new Map<string, Cell>();
    const before = cells.get(entry.node);
    const cell = cellOf(entry);
    cells.set(entry.node, before === undefined ? cell : mergeCells(before, cell));
    seconds.set(second, cells);
  }
  const titles = ['role', ...COLUMNS.map((c) => c.title)];
  const rows = [...seconds].map(([second, cells]) => ({ second, texts: rowOf(cells, nodes) }));
  const widths = nodes.map((_, n) =>
    titles.map((t, c) => Math.max(t.length, ...rows.map((r) => r.texts[n]![c]!.length))),
  );
  const group = (texts: string[], n: number): string =>
    texts.map((t, c) => t.padStart(widths[n]![c]!)).join(' ');
  const names = nodes.map((node, n) => node.padEnd(group(titles, n).length));
  return [
    ['      ', ...names].join(' | '),
    ['second', ...nodes.map((_, n) => group(titles, n))].join(' | '),
    ...rows.map(({ second, texts }) =>
      [String(second).padStart(6), ...texts.map((t, n) => group(t, n))].join(' | '),
    ),
  ];
}
