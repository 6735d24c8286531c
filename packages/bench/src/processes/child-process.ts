import {fork, type ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import net from 'node:net';

const PAGE_BYTES = 4096;
const MEGABYTE = 1_048_576;

/** A program of this project in a process of its own, for loads that must not share an event loop. */
export class BenchProcess {
  private constructor(private readonly child: ChildProcess) {}

  /** Starts a built program; resolves with its first message, or at once when `hello` is false. */
  static async start(
    program: string,
    args: readonly string[] = [],
    hello = true,
  ): Promise<{process: BenchProcess; message: unknown}> {
    const execArgv = process.env.BENCH_NODE_FLAGS?.split(' ') ?? [];
    const child = fork(program, args, {execArgv, stdio: 'inherit'});
    const message = hello
      ? await new Promise((resolve, reject) => {
          child.once('message', resolve);
          child.once('exit', code =>
            reject(new Error(`${program} ended with ${code}`)),
          );
        })
      : undefined;
    return {process: new BenchProcess(child), message};
  }

  /** Resident memory in megabytes, from the kernel's own count. */
  get residentMegabytes(): number {
    const fields = readFileSync(`/proc/${this.child.pid}/statm`, 'utf8');
    return (Number(fields.split(' ')[1]) * PAGE_BYTES) / MEGABYTE;
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code. */
  ended(): Promise<number | null> {
    if (this.child.exitCode !== null)
      return Promise.resolve(this.child.exitCode);
    return new Promise(resolve => this.child.once('exit', resolve));
  }

  /** Ends the program at once. */
  async stop(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended();
  }
}

/** A port of loopback that is free at this moment. */
export async function freeAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}
