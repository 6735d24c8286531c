import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulatedSettings} from '@gentiandoor/coordinator/stand-ins';
import {SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {SettingsWatcher} from '../settings-watcher.js';

const SETTINGS = simulatedSettings('one');

describe('SettingsWatcher', () => {
  it('applies a changed file without a signal', () => {
    const settings = {...SETTINGS};
    const clock = new VirtualClock();
    const watcher = new SettingsWatcher(
      settings,
      () => ({...SETTINGS, storeAddress: '127.0.0.1:9'}),
      clock,
      new SilentLogger(),
    );
    watcher.start();
    clock.advance(6_000);
    assert.equal(settings.storeAddress, '127.0.0.1:9');
  });

  // The file may be read while it is being written: an incomplete file must not terminate
  // the daemon.
  it('keeps the last valid settings when the file can’t be read', () => {
    const settings = {...SETTINGS};
    const clock = new VirtualClock();
    const watcher = new SettingsWatcher(
      settings,
      () => {
        throw new Error('cut short');
      },
      clock,
      new SilentLogger(),
    );
    watcher.reload();
    assert.deepEqual(settings, SETTINGS);
  });
});
