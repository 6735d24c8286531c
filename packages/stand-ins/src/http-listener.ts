import http from 'node:http';
import {splitAddress} from '@gentiandoor/kernel';

/** Listens on an address and resolves with the bound one; port 0 picks a free port. */
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
    throw new Error('the server is not listening on a TCP address');
  return `${bound.address}:${bound.port}`;
}

/** Stops listening and closes all connections. */
export async function closeServer(server: http.Server): Promise<void> {
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}
