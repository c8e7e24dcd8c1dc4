/** A TCP address. */
export interface Endpoint {
  host: string;
  port: number;
}

/** Parses `HOST:PORT`, which must have been validated. */
export function parseEndpoint(text: string): Endpoint {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
