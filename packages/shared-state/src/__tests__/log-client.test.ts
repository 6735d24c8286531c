import assert from 'node:assert/strict';
import {setMaxListeners} from 'node:events';
import {describe, it} from 'node:test';
import {
  PlatformLogFailure,
  MemoryMetrics,
  PlatformLogError,
  SeededRandom,
  SilentLogger,
  VirtualClock,
} from '@gentiandoor/kernel';
import {
  AppendRateLimiter,
  AppendRefusedError,
  DEFAULT_APPENDER_OPTIONS,
  LogAppender,
  LogGapError,
  LogReader,
  RecordPublisher,
  StreamName,
  type AppenderOptions,
  type LogBatch,
  type PlatformLog,
} from '../index.js';

/** A log whose responses are defined by the test. */
class ScriptedLog implements PlatformLog {
  readonly appends: Array<readonly Uint8Array[]> = [];
  /** Responses to the next appends and reads, until they are replaced. */
  onAppend: () => Promise<void> = async () => undefined;
  onRead: () => Promise<LogBatch> = () => new Promise(() => undefined);

  async append(_stream: StreamName, payloads: readonly Uint8Array[]) {
    this.appends.push(payloads);
    await this.onAppend();
    return {firstOffset: 0};
  }

  read(): Promise<LogBatch> {
    return this.onRead();
  }
}

function refuse(): Promise<never> {
  return Promise.reject(
    new PlatformLogError(PlatformLogFailure.Refused, 'out'),
  );
}

function lose(): Promise<never> {
  return Promise.reject(
    new PlatformLogError(PlatformLogFailure.NoResponse, 'lost'),
  );
}

function setUp(options: Partial<AppenderOptions> = {}) {
  const clock = new VirtualClock();
  const platformLog = new ScriptedLog();
  const metrics = new MemoryMetrics();
  const random = new SeededRandom(1);
  const logger = new SilentLogger();
  const dependencies = {clock, random, metrics, logger, platformLog};
  const appender = new LogAppender(StreamName.Fleet, dependencies, {
    ...DEFAULT_APPENDER_OPTIONS,
    ...options,
  });
  return {clock, platformLog, metrics, appender, dependencies};
}

function payload(number: number, bytes = 1): Uint8Array {
  return new Uint8Array(bytes).fill(number);
}

describe('AppendRateLimiter', () => {
  it('allows a burst at once and then the configured rate', () => {
    const clock = new VirtualClock();
    const rateLimiter = new AppendRateLimiter(clock, 10, 2);
    rateLimiter.consumeToken();
    rateLimiter.consumeToken();
    assert.equal(rateLimiter.millisecondsUntilToken(), 100);
    clock.advance(100);
    assert.equal(rateLimiter.millisecondsUntilToken(), 0);
  });
});

describe('LogAppender', () => {
  describe('under a burst of records', () => {
    it('sends the first record at once and the rest as one append', async () => {
      const {clock, platformLog, appender} = setUp();
      const first = appender.append(payload(0));
      await clock.advanceAsync(0);
      const rest = Array.from({length: 99}, (_, index) =>
        appender.append(payload(index + 1)),
      );
      await clock.advanceAsync(1);
      await Promise.all([first, ...rest]);
      assert.deepEqual(
        platformLog.appends.map(batch => batch.length),
        [1, 99],
      );
    });

    it('does not exceed the rate limit, regardless of the number of records', async () => {
      const {clock, platformLog, appender} = setUp({
        appendsPerSecond: 5,
        burst: 5,
      });
      for (let tick = 0; tick < 1000; tick++) {
        appender.append(payload(1)).catch(() => undefined);
        await clock.advanceAsync(10);
      }
      assert.ok(platformLog.appends.length <= 5 + 10 * 5);
      const sent = platformLog.appends.flat().length;
      assert.ok(sent > 900, `${sent} records sent`);
      await appender.stop();
    });

    it('refuses records with a retry time once its queue is full', async () => {
      const {clock, platformLog, appender} = setUp({maximumQueuedRecords: 2});
      platformLog.onAppend = () => new Promise(() => undefined);
      void appender.append(payload(0));
      await clock.advanceAsync(1);
      for (const number of [1, 2]) void appender.append(payload(number));
      const refused = appender.append(payload(3));
      await assert.rejects(refused, (error: unknown) => {
        assert.ok(error instanceof AppendRefusedError);
        assert.ok(error.retryAfterMilliseconds > 0);
        return true;
      });
      await clock.advanceAsync(1);
    });

    it('limits the bytes of one append', async () => {
      const {clock, platformLog, appender} = setUp({maximumBatchBytes: 100});
      const sent = [60, 60, 30].map(bytes =>
        appender.append(payload(1, bytes)),
      );
      await clock.advanceAsync(10);
      await Promise.all(sent);
      assert.deepEqual(
        platformLog.appends.map(batch => batch.length),
        [1, 2],
      );
    });
  });

  describe('with a log that refuses appends', () => {
    it('keeps the records and sends them once the log accepts appends again', async () => {
      const {clock, platformLog, appender} = setUp();
      platformLog.onAppend = refuse;
      const record = appender.append(payload(1));
      await clock.advanceAsync(60_000);
      const appendCount = platformLog.appends.length;
      assert.ok(appendCount < 30, `${appendCount} appends in a minute`);
      platformLog.onAppend = async () => undefined;
      await clock.advanceAsync(6000);
      await record;
    });

    it('never sends the record of a writer that gave up', async () => {
      const {clock, platformLog, appender} = setUp();
      platformLog.onAppend = refuse;
      const gaveUp = new AbortController();
      const record = appender.append(payload(1), gaveUp.signal);
      await clock.advanceAsync(1000);
      gaveUp.abort();
      await assert.rejects(record, AppendRefusedError);
      const appendCount = platformLog.appends.length;
      platformLog.onAppend = async () => undefined;
      await clock.advanceAsync(60_000);
      assert.equal(platformLog.appends.length, appendCount);
    });
  });

  describe('with an append that hangs', () => {
    it('sends later records without waiting for it', async () => {
      const {clock, platformLog, appender} = setUp();
      platformLog.onAppend = () => new Promise(() => undefined);
      void appender.append(payload(1));
      await clock.advanceAsync(1);
      platformLog.onAppend = async () => undefined;
      const second = appender.append(payload(2));
      await clock.advanceAsync(300);
      await second;
    });
  });
});

describe('RecordPublisher', () => {
  function publisherOf(
    fixture: ReturnType<typeof setUp>,
    isStreamReadable: () => boolean = () => true,
  ) {
    const {clock, appender} = fixture;
    return new RecordPublisher<string>(clock, appender, isStreamReadable);
  }

  it('resolves only once the record was read', async () => {
    const fixture = setUp();
    const publisher = publisherOf(fixture);
    let result = 'open';
    const published = publisher.publish('r1', payload(1)).then(outcome => {
      result = outcome;
    });
    await fixture.clock.advanceAsync(500);
    assert.equal(result, 'open');
    publisher.resolveOutcome('r1', 'in force');
    await published;
    assert.equal(result, 'in force');
  });

  it('appends a record again only after a delay if the response is lost, and resolves with the first outcome', async () => {
    const fixture = setUp();
    const publisher = publisherOf(fixture);
    fixture.platformLog.onAppend = lose;
    const published = publisher.publish('r1', payload(1));
    await fixture.clock.advanceAsync(900);
    assert.equal(fixture.platformLog.appends.length, 1);
    await fixture.clock.advanceAsync(200);
    assert.equal(fixture.platformLog.appends.length, 2);
    publisher.resolveOutcome('r1', 'in force');
    assert.equal(await published, 'in force');
  });

  it('reports an unknown outcome if the record is never read', async () => {
    const fixture = setUp();
    const publisher = publisherOf(fixture, () => false);
    fixture.platformLog.onAppend = lose;
    const published = publisher.publish('r1', payload(1));
    const rejected = assert.rejects(published, {
      failure: PlatformLogFailure.NoResponse,
    });
    await fixture.clock.advanceAsync(20_000);
    await rejected;
    assert.equal(fixture.platformLog.appends.length, 1);
  });

  it('reports a refusal if the log refuses all appends until the timeout', async () => {
    const fixture = setUp();
    const publisher = publisherOf(fixture);
    fixture.platformLog.onAppend = refuse;
    const published = publisher.publish('r1', payload(1));
    const rejected = assert.rejects(published, {
      failure: PlatformLogFailure.Refused,
    });
    await fixture.clock.advanceAsync(20_000);
    await rejected;
    await fixture.clock.advanceAsync(20_000);
    const appendCount = fixture.platformLog.appends.length;
    await fixture.clock.advanceAsync(60_000);
    assert.equal(fixture.platformLog.appends.length, appendCount);
  });
});

describe('LogReader', () => {
  // 200 daemons lose the log at the same moment and it recovers after a minute. If their next
  // reads came at the same time, the log would be overloaded and fail again.
  it('spreads the first reads of many daemons over several seconds after an outage', async () => {
    const clock = new VirtualClock();
    const reads: number[] = [];
    let isOut = true;
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    for (let seed = 1; seed <= 200; seed++) {
      const log = new ScriptedLog();
      let isBack = false;
      log.onRead = () => {
        if (isOut) return refuse();
        if (!isBack) reads.push(clock.monotonicMilliseconds());
        isBack = true;
        return new Promise(() => undefined);
      };
      const reader = new LogReader(
        StreamName.Fleet,
        {
          clock,
          random: new SeededRandom(seed),
          logger: new SilentLogger(),
          metrics: new MemoryMetrics(),
          platformLog: log,
        },
        {
          nextOffset: () => 0,
          applyBatch: async () => undefined,
          recoverFromGap: async () => undefined,
        },
        {limit: 1, waitMilliseconds: 1000},
      );
      void reader.run(stop.signal);
    }
    await clock.advanceAsync(60_000);
    isOut = false;
    await clock.advanceAsync(10_000);
    assert.equal(reads.length, 200);
    const bySecond = new Map<number, number>();
    for (const at of reads) {
      const second = Math.floor(at / 1000);
      bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
    }
    assert.ok(Math.max(...bySecond.values()) < 100);
    stop.abort();
  });

  // The log responds to each long poll at once without records, as a lagging read does. The
  // daemon must neither block its own event loop with reads nor flood the log.
  it('limits the rate of reads that return at once without records', async () => {
    const {clock, platformLog, dependencies} = setUp();
    let reads = 0;
    platformLog.onRead = async () => {
      reads++;
      return {from: 0, payloads: [], end: 5, oldest: 0};
    };
    const stop = new AbortController();
    const reader = new LogReader(
      StreamName.Fleet,
      dependencies,
      {
        nextOffset: () => 0,
        applyBatch: async () => undefined,
        recoverFromGap: async () => undefined,
      },
      {limit: 1, waitMilliseconds: 1000},
    );
    void reader.run(stop.signal);
    await clock.advanceAsync(10_000);
    assert.ok(reads >= 50 && reads <= 110, `${reads} reads`);
    stop.abort();
  });

  it('retries a gap that cannot be recovered with increasing delays', async () => {
    const {clock, platformLog, dependencies} = setUp();
    let attempts = 0;
    platformLog.onRead = () => Promise.reject(new LogGapError(5));
    const stop = new AbortController();
    const reader = new LogReader(
      StreamName.Fleet,
      dependencies,
      {
        nextOffset: () => 0,
        applyBatch: async () => undefined,
        recoverFromGap: () => {
          attempts++;
          return Promise.reject(new Error('no snapshot'));
        },
      },
      {limit: 1, waitMilliseconds: 1000},
    );
    void reader.run(stop.signal);
    await clock.advanceAsync(60_000);
    assert.ok(attempts >= 10 && attempts < 40, `${attempts} attempts`);
    stop.abort();
  });
});
