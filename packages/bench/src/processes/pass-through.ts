import Koa from 'koa';
import {Agent} from 'undici';
import type {AddressInfo} from 'node:net';

/** Message from the pass-through process to its parent. */
export interface PassThroughMessage {
  readonly address: string;
}

/** Hop-by-hop headers, the only ones that this pass-through handles. */
const HOP_BY_HOP_HEADERS = ['connection', 'keep-alive', 'transfer-encoding'];

/**
 * Runs the baseline: koa and undici used as their documentation shows, without decisions or
 * safeguards.
 */
function main(target: string): void {
  const agent = new Agent();
  const koa = new Koa();
  koa.use(async context => {
    const {method, url, headers} = context.req;
    const kept = {...headers};
    for (const name of HOP_BY_HOP_HEADERS) delete kept[name];
    const response = await agent.request({
      origin: `http://${target}`,
      path: url ?? '/',
      method: method as 'GET',
      headers: kept,
      body: method === 'GET' ? undefined : context.req,
    });
    context.status = response.statusCode;
    for (const [name, value] of Object.entries(response.headers)) {
      if (value !== undefined && !HOP_BY_HOP_HEADERS.includes(name))
        context.set(name, value);
    }
    context.body = response.body;
  });
  const server = koa.listen(0, '127.0.0.1', () => {
    const {port} = server.address() as AddressInfo;
    const message: PassThroughMessage = {address: `127.0.0.1:${port}`};
    process.send?.(message);
  });
  process.on('disconnect', () => process.exit(0));
}

main(process.argv[2]);
