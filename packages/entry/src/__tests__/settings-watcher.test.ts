import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {simulatedSettings} from '@gentiandoor/coordinator/stand-ins';
import {SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {SettingsWatcher} from '../settings-watcher.js';

const SETTINGS = simulatedSettings('one');

describe('SettingsWatch', () => {
  it('takes a changed file without a signal', () => {
    const settings = {...SETTINGS};
    const clock = new VirtualClock();
    const watch = new SettingsWatcher(
      settings,
      () => ({...SETTINGS, storeAddress: '127.0.0.1:9'}),
      clock,
      new SilentLogger(),
    );
    watch.start();
    clock.advance(6_000);
    assert.equal(settings.storeAddress, '127.0.0.1:9');
  });

  // The file is being written while it is read: half a file must not end the daemon.
  it('stays with the last good settings when the file can’t be read', () => {
    const settings = {...SETTINGS};
    const clock = new VirtualClock();
    const watch = new SettingsWatcher(
      settings,
      () => {
        throw new Error('cut short');
      },
      clock,
      new SilentLogger(),
    );
    watch.reload();
    assert.deepEqual(settings, SETTINGS);
  });
});
