import { parseEndpoint } from '../config/endpoint.js';
import { HttpClient } from '../http/client.js';

/** Prints a running controller's metrics. Returns an error message, or null. */
export async function showStatus(addr: string): Promise<string | null> {
  if (!/^[^\s:]+:\d{1,5}$/.test(addr)) return 'must be HOST:PORT';
  const client = new HttpClient(parseEndpoint(addr), 1);
  try {
    const response = await client.request('GET', '/metrics', undefined, 5);
    if (response.status !== 200) return `answered ${response.status}`;
    const figures = JSON.parse(response.body.toString('utf8')) as Record<string, unknown>;
    for (const [name, value] of Object.entries(figures)) {
      process.stdout.write(`${name.padEnd(24)} ${String(value)}\n`);
    }
    return null;
  } catch (error) {
    return (error as Error).message;
  } finally {
    client.close();
  }
}
