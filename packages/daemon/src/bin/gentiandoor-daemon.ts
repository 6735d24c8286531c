#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import sade from 'sade';
import {SettingsError, parseSettings, toError} from '@gentiandoor/kernel';
import {Daemon} from '../daemon.js';

const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;

async function run(path: string): Promise<void> {
  const daemon = new Daemon(parseSettings(readFileSync(path, 'utf8'), path));
  let stopping = false;
  let forced = false;
  const onSignal = () => {
    if (stopping) {
      forced = true;
      // The server says what is cut as it stops; the log line is flushed at the exit.
      void daemon.stop().then(() => process.exit(EXIT_FAILED));
      return;
    }
    stopping = true;
    // A forced stop cuts what the graceful one waits for, so that this one ends as well: its
    // exit with 0 would hide from the supervisor that requests were cut.
    const endWell = () => {
      if (!forced) process.exit(0);
    };
    void daemon.drainAndStop().then(endWell, fail);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  await daemon.start();
}

function fail(thrown: unknown): never {
  const error = toError(thrown);
  process.stderr.write(`gentiandoor-daemon: ${error.message}\n`);
  process.exit(error instanceof SettingsError ? EXIT_SETTINGS : EXIT_FAILED);
}

sade('gentiandoor-daemon', true)
  .describe('Runs one entry daemon.')
  .option('--settings', 'Settings file in INI')
  .example('--settings /etc/gentiandoor/entry-1.ini')
  .action((options: {settings?: string}) => {
    if (!options.settings)
      fail(new SettingsError('expected --settings FILE.ini'));
    run(options.settings).catch(fail);
  })
  .parse(process.argv);
