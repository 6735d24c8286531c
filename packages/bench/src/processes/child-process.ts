import {fork, type ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import net from 'node:net';

const MEMORY_PAGE_BYTES = 4096;
const MEGABYTE = 1_048_576;

/** A program of this project in a child process, for loads that must not share an event loop. */
export class BenchProcess {
  private constructor(private readonly child: ChildProcess) {}

  /**
   * Starts a built program; resolves with its first message, or immediately when `hello` is false.
   */
  static async start(
    program: string,
    args: readonly string[] = [],
    waitsForMessage = true,
  ): Promise<{process: BenchProcess; message: unknown}> {
    const execArgv = process.env.BENCH_NODE_FLAGS?.split(' ') ?? [];
    const child = fork(program, args, {execArgv, stdio: 'inherit'});
    const message = waitsForMessage
      ? await new Promise((resolve, reject) => {
          child.once('message', resolve);
          child.once('exit', code =>
            reject(new Error(`${program} ended with ${code}`)),
          );
        })
      : undefined;
    return {process: new BenchProcess(child), message};
  }

  /** Resident memory in megabytes, as the kernel counts it in `/proc`. */
  get residentMegabytes(): number {
    const fields = readFileSync(`/proc/${this.child.pid}/statm`, 'utf8');
    return (Number(fields.split(' ')[1]) * MEMORY_PAGE_BYTES) / MEGABYTE;
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code once the process has exited. */
  ended(): Promise<number | null> {
    if (this.child.exitCode !== null)
      return Promise.resolve(this.child.exitCode);
    return new Promise(resolve => this.child.once('exit', resolve));
  }

  /** Kills the process and waits for its exit. */
  async stop(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended();
  }
}

/** Returns a loopback address with a port that is currently free. */
export async function freeAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}
