import http from 'node:http';
import {splitAddress} from '@gentiandoor/kernel';

/** Listens on an address; port 0 takes a free one. Resolves with the address in use. */
export async function listen(
  server: http.Server,
  address: string,
): Promise<string> {
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address();
  if (typeof bound !== 'object' || bound === null)
    throw new Error('not listening');
  return `${bound.address}:${bound.port}`;
}

/** Stops listening and closes all connections. */
export async function closeServer(server: http.Server): Promise<void> {
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}
