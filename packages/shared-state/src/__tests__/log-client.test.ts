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

/** A log whose answers the test gives. */
class ScriptedLog implements PlatformLog {
  readonly appends: Array<readonly Uint8Array[]> = [];
  /** What the next appends and reads do; the last one stays. */
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

describe('AppendBudget', () => {
  it('gives a burst at once and then the budgeted pace', () => {
    const clock = new VirtualClock();
    const budget = new AppendRateLimiter(clock, 10, 2);
    budget.consumeToken();
    budget.consumeToken();
    assert.equal(budget.millisecondsUntilToken(), 100);
    clock.advance(100);
    assert.equal(budget.millisecondsUntilToken(), 0);
  });
});

describe('LogAppender', () => {
  describe('under a burst of records', () => {
    it('sends the first at once and the rest as one append', async () => {
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

    it('keeps to its budget of appends, however many records there are', async () => {
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

    it('says when to come again once too much waits', async () => {
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

    it('bounds the bytes of one append', async () => {
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

  describe('with a log that refuses', () => {
    it('keeps the records and sends them when it returns', async () => {
      const {clock, platformLog, appender} = setUp();
      platformLog.onAppend = refuse;
      const record = appender.append(payload(1));
      await clock.advanceAsync(60_000);
      const tried = platformLog.appends.length;
      assert.ok(tried < 30, `${tried} appends in a minute`);
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
      const tried = platformLog.appends.length;
      platformLog.onAppend = async () => undefined;
      await clock.advanceAsync(60_000);
      assert.equal(platformLog.appends.length, tried);
    });
  });

  describe('with an append that hangs', () => {
    it('lets later records overtake it', async () => {
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
    setting: ReturnType<typeof setUp>,
    canRead: () => boolean = () => true,
  ) {
    const {clock, appender} = setting;
    return new RecordPublisher<string>(clock, appender, canRead);
  }

  it('tells the fate only once the record was read', async () => {
    const setting = setUp();
    const publisher = publisherOf(setting);
    let fate = 'open';
    const published = publisher.publish('r1', payload(1)).then(outcome => {
      fate = outcome;
    });
    await setting.clock.advanceAsync(500);
    assert.equal(fate, 'open');
    publisher.resolveOutcome('r1', 'in force');
    await published;
    assert.equal(fate, 'in force');
  });

  it('sends a record with a lost answer again only after a wait, and takes the first fate', async () => {
    const setting = setUp();
    const publisher = publisherOf(setting);
    setting.platformLog.onAppend = lose;
    const published = publisher.publish('r1', payload(1));
    await setting.clock.advanceAsync(900);
    assert.equal(setting.platformLog.appends.length, 1);
    await setting.clock.advanceAsync(200);
    assert.equal(setting.platformLog.appends.length, 2);
    publisher.resolveOutcome('r1', 'in force');
    assert.equal(await published, 'in force');
  });

  it('says that the fate is unknown when the record is never read', async () => {
    const setting = setUp();
    const publisher = publisherOf(setting, () => false);
    setting.platformLog.onAppend = lose;
    const published = publisher.publish('r1', payload(1));
    const rejected = assert.rejects(published, {
      failure: PlatformLogFailure.NoResponse,
    });
    await setting.clock.advanceAsync(20_000);
    await rejected;
    assert.equal(setting.platformLog.appends.length, 1);
  });

  it('says that nothing was appended when the log refused to the end', async () => {
    const setting = setUp();
    const publisher = publisherOf(setting);
    setting.platformLog.onAppend = refuse;
    const published = publisher.publish('r1', payload(1));
    const rejected = assert.rejects(published, {
      failure: PlatformLogFailure.Refused,
    });
    await setting.clock.advanceAsync(20_000);
    await rejected;
    await setting.clock.advanceAsync(20_000);
    const tried = setting.platformLog.appends.length;
    await setting.clock.advanceAsync(60_000);
    assert.equal(setting.platformLog.appends.length, tried);
  });
});

describe('LogReader', () => {
  // 200 daemons lose the log at one moment and it returns after ten minutes. If their next
  // reads fell together, the log would meet all of them in one instant and go down again.
  it('spreads the return of many daemons over seconds', async () => {
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

  // The log answers each long poll at once with nothing, as a read that lags behind does. The
  // daemon must neither take its own event loop up with reads nor flood the log.
  it('keeps a pace when reads bring nothing at once', async () => {
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

  it('tries an open gap with growing pauses', async () => {
    const {clock, platformLog, dependencies} = setUp();
    let tries = 0;
    platformLog.onRead = () => Promise.reject(new LogGapError(5));
    const stop = new AbortController();
    const reader = new LogReader(
      StreamName.Fleet,
      dependencies,
      {
        nextOffset: () => 0,
        applyBatch: async () => undefined,
        recoverFromGap: () => {
          tries++;
          return Promise.reject(new Error('no snapshot'));
        },
      },
      {limit: 1, waitMilliseconds: 1000},
    );
    void reader.run(stop.signal);
    await clock.advanceAsync(60_000);
    assert.ok(tries >= 10 && tries < 40, `${tries} tries`);
    stop.abort();
  });
});
