import Koa from 'koa';
import {Agent} from 'undici';
import type {AddressInfo} from 'node:net';

/** What the pass-through tells its parent. */
export interface PassThroughMessage {
  readonly address: string;
}

/** Headers that belong to one connection; all that this pass-through takes care of. */
const DROPPED = ['connection', 'keep-alive', 'transfer-encoding'];

/** The baseline: koa and undici as their pages show them, without any decision or safeguard. */
function main(target: string): void {
  const agent = new Agent();
  const koa = new Koa();
  koa.use(async context => {
    const {method, url, headers} = context.req;
    const kept = {...headers};
    for (const name of DROPPED) delete kept[name];
    const answer = await agent.request({
      origin: `http://${target}`,
      path: url ?? '/',
      method: method as 'GET',
      headers: kept,
      body: method === 'GET' ? undefined : context.req,
    });
    context.status = answer.statusCode;
    for (const [name, value] of Object.entries(answer.headers)) {
      if (value !== undefined && !DROPPED.includes(name))
        context.set(name, value);
    }
    context.body = answer.body;
  });
  const server = koa.listen(0, '127.0.0.1', () => {
    const {port} = server.address() as AddressInfo;
    const message: PassThroughMessage = {address: `127.0.0.1:${port}`};
    process.send?.(message);
  });
  process.on('disconnect', () => process.exit(0));
}

main(process.argv[2]);
