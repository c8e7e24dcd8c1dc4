import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** A TCP proxy between two processes. While it is cut, connections are destroyed and new ones closed at once. */
export class CuttableProxy {
  port = 0;
  private cut = false;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((from) => {
    if (this.cut) {
      from.destroy();
      return;
    }
    const to = connect(this.target, '127.0.0.1');
    for (const socket of [from, to]) {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.sockets.delete(socket);
        from.destroy();
        to.destroy();
      });
    }
    from.pipe(to);
    to.pipe(from);
  });

  constructor(private readonly target: number) {}

  /** Starts to forward connections. Returns the port. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = (this.server.address() as AddressInfo).port;
    return this.port;
  }

  /** Cuts all connections, or allows new ones again. */
  setCut(cut: boolean): void {
    this.cut = cut;
    if (cut) for (const socket of this.sockets) socket.destroy();
  }

  /** Closes the proxy and its connections. */
  close(): void {
    this.setCut(true);
    this.server.close();
  }
}
