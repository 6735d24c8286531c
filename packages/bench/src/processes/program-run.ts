import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** Programs of this project, by package and file name. */
export enum ProgramPath {
  Cli = 'cli/lib/bin/gentiandoor.js',
  Daemon = 'daemon/lib/bin/gentiandoor-daemon.js',
  StandIns = 'stand-ins/lib/bin/gentiandoor-stand-ins.js',
}

const PACKAGES = new URL('../../../', import.meta.url);

/** One of our programs in a process of its own, with what it prints. */
export class ProgramRun {
  output = '';
  errors = '';
  /** Exit code; null after a signal. Waits for the end of both outputs. */
  readonly ended: Promise<number | null>;
  private readonly child: ChildProcess;
  private wake: () => void = () => undefined;
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
      this.wake();
    });
    this.child.stderr?.on('data', (chunk: Buffer) => {
      this.errors += chunk.toString();
    });
    this.ended = new Promise(resolve => {
      this.child.once('close', code => {
        this.hasEnded = true;
        this.wake();
        resolve(code);
      });
    });
  }

  /** Resolves with the first whole line that matches; rejects when the program ends without one. */
  async line(pattern: RegExp): Promise<RegExpExecArray> {
    for (;;) {
      const whole = this.output.slice(0, this.output.lastIndexOf('\n') + 1);
      for (const text of whole.split('\n')) {
        const match = pattern.exec(text);
        if (match) return match;
      }
      if (this.hasEnded) throw new Error(`ended early: ${this.errors}`);
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }

  /** Lines printed so far that match. */
  count(pattern: RegExp): number {
    return this.output.split('\n').filter(text => pattern.test(text)).length;
  }

  /** Sends a signal and resolves with the exit code. */
  end(signal: NodeJS.Signals): Promise<number | null> {
    this.child.kill(signal);
    return this.ended;
  }
}
