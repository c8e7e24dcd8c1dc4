/** Common parts of the commands that print a running controller's view of a subsystem. */

import * as v from 'valibot';
import { parseEndpoint } from '../config/endpoint.js';
import { HttpClient } from '../http/client.js';

const RESPONSE_TIMEOUT_S = 5;
const HOST_PORT_PATTERN = /^[^\s:]+:\d{1,5}$/;

/** A failed command; the message is one line. */
export class CommandError extends Error {}

/** The view that a command requests from a controller, and the schema of the response. */
export interface ViewRequest<T> {
  /** Used in the path of the request. */
  subsystem: string;
  /** Used in messages as the subject and verb of "switched off". */
  title: string;
  schema: v.GenericSchema<unknown, T>;
}

/** Fetches a view from a controller; every controller returns the same one. Throws CommandError. */
export async function fetchView<T>(
  address: string,
  { subsystem, title, schema }: ViewRequest<T>,
): Promise<T> {
  if (!HOST_PORT_PATTERN.test(address)) throw new CommandError(`${address}: must be HOST:PORT`);
  const client = new HttpClient(parseEndpoint(address), 1);
  try {
    const response = await client.request(
      'GET',
      `/subsystems/${subsystem}`,
      undefined,
      RESPONSE_TIMEOUT_S,
    );
    if (response.status === 404) throw new CommandError(`${address}: ${title} switched off there`);
    if (response.status !== 200) throw new CommandError(`${address}: answered ${response.status}`);
    return v.parse(schema, JSON.parse(response.body.toString('utf8')));
  } catch (error) {
    if (error instanceof CommandError) throw error;
    throw new CommandError(`${address}: ${(error as Error).message}`);
  } finally {
    client.close();
  }
}

/** A cell of a table. */
export type Cell = string | number;

/** Formats a table. Columns are as wide as their widest cell; numbers are right-aligned. */
export function formatTable(header: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => String(row[column]).length)),
  );
  const line = (cells: readonly Cell[]): string =>
    cells
      .map((cell, column) => {
        const width = widths[column]!;
        return typeof cell === 'number' ? String(cell).padStart(width) : cell.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  return [header, ...rows].map((cells) => `${line(cells)}\n`).join('');
}
