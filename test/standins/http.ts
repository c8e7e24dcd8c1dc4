import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A JSON object. */
export type Json = Record<string, unknown>;
/** Status and body. */
export type Answer = [number, unknown];
/** Null: the connection is closed without an answer. */
export type Handler = (method: string, url: URL, body: Json) => Promise<Answer | null> | Answer;

/** An HTTP server on the loopback interface: the base class of all stand-ins. */
export class HttpStandIn {
  port = 0;
  private readonly server: Server;

  constructor(handler: Handler) {
    this.server = createServer((request, response) => {
      let text = '';
      request.on('data', (data: Buffer) => (text += data.toString()));
      request.on('end', () => void this.respond(handler, request, response, text));
    });
  }

  private async respond(
    handler: Handler,
    request: IncomingMessage,
    response: ServerResponse,
    text: string,
  ): Promise<void> {
    const body = text === '' ? {} : (JSON.parse(text) as Json);
    const answer = await handler(request.method!, new URL(request.url!, 'http://x'), body);
    if (answer === null) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer[0], { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer[1]));
  }

  /** Starts to listen; port 0 selects a free port. Rejects when the port is in use. */
  async listen(port = 0, host = '127.0.0.1'): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
