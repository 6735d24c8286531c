import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RateLimitedLogger} from '../rate-limited-logger.js';
import {VirtualClock} from '../clock.js';
import {LogEvent} from '../log-events.js';
import {SilentLogger, type LogFields} from '../logger.js';

class RecordingLogger extends SilentLogger {
  readonly lines: Array<{event: LogEvent; fields?: LogFields}> = [];

  override info(event?: LogEvent, fields?: LogFields): void {
    if (event !== undefined) this.lines.push({event, fields});
  }

  override warn(event?: LogEvent, fields?: LogFields): void {
    this.info(event, fields);
  }
}

describe('RateLimitedLogger', () => {
  // Guards against a burst of starts whose log lines alone take the processor time that the
  // starts need.
  it('drops lines above the limit and logs how many were dropped', () => {
    const recorder = new RecordingLogger();
    const clock = new VirtualClock();
    const logger = new RateLimitedLogger(recorder, clock, 10);
    for (let line = 0; line < 25; line++) logger.info(LogEvent.RunOrdered);
    logger.info(LogEvent.RunEnded);
    assert.equal(recorder.lines.length, 11);
    clock.advance(1_000);
    logger.info(LogEvent.RunOrdered);
    assert.deepEqual(recorder.lines[11], {
      event: LogEvent.LinesLeftOut,
      fields: {of: 'RunOrdered', count: 15},
    });
    assert.equal(recorder.lines.length, 13);
  });
});
