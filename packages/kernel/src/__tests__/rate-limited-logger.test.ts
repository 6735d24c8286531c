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

describe('BoundedLogger', () => {
  // Under a burst the log of starts alone would take the processor that the starts need.
  it('leaves out lines over the bound and tells how many', () => {
    const list = new RecordingLogger();
    const clock = new VirtualClock();
    const logger = new RateLimitedLogger(list, clock, 10);
    for (let line = 0; line < 25; line++) logger.info(LogEvent.RunOrdered);
    logger.info(LogEvent.RunEnded);
    assert.equal(list.lines.length, 11);
    clock.advance(1_000);
    logger.info(LogEvent.RunOrdered);
    assert.deepEqual(list.lines[11], {
      event: LogEvent.LinesLeftOut,
      fields: {of: 'RunOrdered', count: 15},
    });
    assert.equal(list.lines.length, 13);
  });
});
