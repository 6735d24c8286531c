import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** Paths of this project's programs below the packages folder. */
export enum ProgramPath {
  Cli = 'cli/lib/bin/gentiandoor.js',
  Daemon = 'daemon/lib/bin/gentiandoor-daemon.js',
  StandIns = 'stand-ins/lib/bin/gentiandoor-stand-ins.js',
}

const PACKAGES = new URL('../../../', import.meta.url);

/** A program of this project in a child process, with its captured output. */
export class ProgramRun {
  output = '';
  errors = '';
  /** Resolves with the exit code, null after a signal, once both outputs have ended. */
  readonly ended: Promise<number | null>;
  private readonly child: ChildProcess;
  private notifyWaiter: () => void = () => undefined;
  private hasEnded = false;

  constructor(
    program: ProgramPath,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ) {
    const path = fileURLToPath(new URL(program, PACKAGES));
    const env = {...process.env, ...environment};
    this.child = fork(path, args, {silent: true, env});
    this.child.stdout?.on('data', (chunk: Buffer) => {
      this.output += chunk.toString();
      this.notifyWaiter();
    });
    this.child.stderr?.on('data', (chunk: Buffer) => {
      this.errors += chunk.toString();
    });
    this.ended = new Promise(resolve => {
      this.child.once('close', code => {
        this.hasEnded = true;
        this.notifyWaiter();
        resolve(code);
      });
    });
  }

  /**
   * Resolves with the first complete line that matches; rejects if the program ends without one.
   */
  async line(pattern: RegExp): Promise<RegExpExecArray> {
    for (;;) {
      const complete = this.output.slice(0, this.output.lastIndexOf('\n') + 1);
      for (const text of complete.split('\n')) {
        const match = pattern.exec(text);
        if (match) return match;
      }
      if (this.hasEnded) throw new Error(`ended early: ${this.errors}`);
      await new Promise<void>(resolve => (this.notifyWaiter = resolve));
    }
  }

  /** Returns the number of matching lines printed so far. */
  count(pattern: RegExp): number {
    return this.output.split('\n').filter(text => pattern.test(text)).length;
  }

  /** Sends a signal and resolves with the exit code. */
  end(signal: NodeJS.Signals): Promise<number | null> {
    this.child.kill(signal);
    return this.ended;
  }
}
