import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EntrySettings} from '@gentiandoor/coordinator';
import {SilentLogger, VirtualClock} from '@gentiandoor/kernel';
import {SettingsWatch} from '../settings-watch.js';

const SETTINGS: EntrySettings = {
  node: 'one',
  dataCentre: 'here',
  isFirstStart: false,
  size: {cores: 1, megabitsPerSecond: 1_000},
  callerAddress: '127.0.0.1:1',
  readinessAddress: '127.0.0.1:2',
  storeAddress: '127.0.0.1:3',
  machineListAddress: '127.0.0.1:4',
  adviceAddress: '',
  limits: {
    maximumLease: 10_000,
    cancel: 3_000,
    notice: 4_500,
    holderChange: 3_000,
    grace: 6_000,
    stateKept: 120_000,
    move: 1_500,
    maintenance: 2_000,
    harm: 4_000,
  },
};

describe('SettingsWatch', () => {
  it('takes a changed file without a signal', () => {
    const settings = {...SETTINGS};
    const clock = new VirtualClock();
    const watch = new SettingsWatch(
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
    const watch = new SettingsWatch(
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
