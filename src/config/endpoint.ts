/** An address for TCP. */
export interface Endpoint {
  host: string;
  port: number;
}

/** Of `HOST:PORT`, which was validated before. */
export function parseEndpoint(text: string): Endpoint {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
