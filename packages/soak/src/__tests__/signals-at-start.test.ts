import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {constants, mkdtempSync, openSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {DaemonProcess} from '../daemon-process.js';
import {pause} from '../soak-callers.js';

const POLL_MILLISECONDS = 50;
const MAXIMUM_POLLS = 600;
const SURVIVAL_MILLISECONDS = 500;

/** Waits until a process has opened a pipe for reading. */
async function awaitReader(pipe: string): Promise<void> {
  for (let poll = 0; poll < MAXIMUM_POLLS; poll++)
    try {
      openSync(pipe, constants.O_WRONLY | constants.O_NONBLOCK);
      return;
    } catch {
      // Nobody reads yet.
      await pause(POLL_MILLISECONDS);
    }
  throw new Error('the daemon does not read its settings');
}

// The signal that tells a daemon to read its settings ended one that was about to read them.
describe('a daemon that is starting', () => {
  it('is not ended by the signal to read its settings', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'signals-'));
    const settings = join(folder, 'settings.json');
    const log = join(folder, 'log');
    const daemon = new DaemonProcess('one', '', settings, {}, log);
    rmSync(settings);
    execFileSync('mkfifo', [settings]);
    daemon.start();
    await awaitReader(settings);
    daemon.signal('SIGHUP');
    await pause(SURVIVAL_MILLISECONDS);
    const {isRunning} = daemon;
    await daemon.end('SIGKILL');
    rmSync(folder, {recursive: true});
    assert.ok(isRunning);
  });
});
