#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import sade from 'sade';
import {SettingsError, parseSettings, toError} from '@gentiandoor/kernel';
import {Daemon} from '../daemon.js';

const FAILURE_EXIT_CODE = 1;
const INVALID_SETTINGS_EXIT_CODE = 2;

async function run(path: string): Promise<void> {
  const daemon = new Daemon(parseSettings(readFileSync(path, 'utf8'), path));
  let stopping = false;
  let isForced = false;
  const onSignal = () => {
    if (stopping) {
      isForced = true;
      // The server logs what it aborts as it stops; the log line is flushed on exit.
      void daemon.stop().then(() => process.exit(FAILURE_EXIT_CODE));
      return;
    }
    stopping = true;
    void daemon.drainAndStop().then(() => {
      // A forced stop also ends the drain; without this check it could exit with 0.
      if (!isForced) process.exit(0);
    }, exitWithError);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  await daemon.start();
}

function exitWithError(thrown: unknown): never {
  const error = toError(thrown);
  process.stderr.write(`gentiandoor-daemon: ${error.message}\n`);
  process.exit(
    error instanceof SettingsError
      ? INVALID_SETTINGS_EXIT_CODE
      : FAILURE_EXIT_CODE,
  );
}

sade('gentiandoor-daemon', true)
  .describe('Runs one entry daemon.')
  .option('--settings', 'Settings file in INI')
  .example('--settings /etc/gentiandoor/entry-1.ini')
  .action((options: {settings?: string}) => {
    if (!options.settings)
      exitWithError(new SettingsError('expected --settings FILE.ini'));
    run(options.settings).catch(exitWithError);
  })
  .parse(process.argv);
