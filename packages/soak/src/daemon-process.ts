import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync, type WriteStream} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';

const PROGRAM = join(
  dirname(createRequire(import.meta.url).resolve('@gentiandoor/entry')),
  'bin/gentiandoor-entry.js',
);

/** A daemon in a child process, stopped and paused only by signals to its own process id. */
export class DaemonProcess {
  private child: ChildProcess | undefined;
  private readonly log: WriteStream;
  private isEnding = false;
  /** How often the process has ended without being told to. */
  ownEnds = 0;

  constructor(
    readonly node: string,
    /** Address that callers use. */
    readonly callers: string,
    private readonly settingsPath: string,
    settings: object,
    readonly logPath: string,
    /** Options of Node.js that the process is started with. */
    private readonly nodeOptions: readonly string[] = [],
  ) {
    writeFileSync(settingsPath, JSON.stringify(settings));
    this.log = createWriteStream(logPath, {flags: 'a'});
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  get processId(): number | undefined {
    return this.child?.pid;
  }

  start(): void {
    if (this.child) return;
    const child = spawn(process.execPath, [...this.nodeOptions, PROGRAM], {
      env: {...process.env, GENTIANDOOR_CONFIG: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    this.isEnding = false;
    child.once('exit', () => {
      if (!this.isEnding) this.ownEnds++;
      if (this.child === child) this.child = undefined;
    });
    this.child = child;
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /**
   * Sends a signal, after SIGCONT for a paused process, and resolves when the process has exited.
   */
  async end(name: NodeJS.Signals): Promise<void> {
    const {child} = this;
    if (!child) return;
    this.isEnding = true;
    const gone = new Promise(resolve => {
      child.once('exit', resolve);
    });
    child.kill('SIGCONT');
    child.kill(name);
    await gone;
  }
}
