// A stand-in of the platform's store, as the page PROTOCOL describes it: a log with topics,
// conditional appends, fenced producers, long polls and the newest record of each key.
import {createServer} from 'node:http';

const ANSWER_MS = 4;
const APPEND_MS = 1;
const PART_BYTES_PER_MS = 20_000;
const RECORD_BYTES = 262_144;
const REQUEST_BYTES = 2_097_152;
const KEEP_MS = 20_000;
const WRITES_PER_SECOND = 600;
const READS_PER_SECOND = 2_000;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const KEPT_ANSWERS = 5;

class Partition {
  records = [];
  /** Offset of the first record in `records`. */
  first = 0;
  newest = new Map();
  producers = new Map();
  waiting = new Set();
  busyUntil = 0;

  get end() {
    return this.first + this.records.length;
  }

  add(contents) {
    const offset = this.end;
    contents.forEach((content, index) => {
      this.records.push({content, at: performance.now()});
      const keyLength = content.readUInt8(0);
      const key = content.toString('utf8', 1, 1 + keyLength);
      const value = content.subarray(1 + keyLength);
      if (value.length === 0) this.newest.delete(key);
      else this.newest.set(key, {value, offset: offset + index});
    });
    for (const wake of [...this.waiting]) wake();
    return {offset, end_offset: this.end};
  }

  expire() {
    const oldest = performance.now() - KEEP_MS;
    while (this.records.length > 0 && this.records[0].at < oldest) {
      this.records.shift();
      this.first++;
    }
  }
}

class RateLimit {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.calls = [];
  }

  allows() {
    const now = performance.now();
    while (this.calls.length > 0 && this.calls[0] < now - 1_000)
      this.calls.shift();
    if (this.calls.length >= this.perSecond) return false;
    this.calls.push(now);
    return true;
  }
}

export class Store {
  partitions = new Map();
  writes = new RateLimit(WRITES_PER_SECOND);
  reads = new RateLimit(READS_PER_SECOND);
  /** Called with every append that was refused for its size. */
  onTooLarge = () => undefined;

  async start(host) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a record as the operator or a worker does; an undefined value drops the key. */
  write(topic, key, value) {
    const head = Buffer.concat([
      Buffer.from([Buffer.byteLength(key)]),
      Buffer.from(key),
    ]);
    const body =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.isBuffer(value)
          ? value
          : Buffer.from(JSON.stringify(value));
    this.partition(topic, 0).add([Buffer.concat([head, body])]);
  }

  partition(topic, part) {
    const name = `${topic}/${part}`;
    if (!this.partitions.has(name)) this.partitions.set(name, new Partition());
    return this.partitions.get(name);
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    await pause(ANSWER_MS);
    const {status, content} = await this.answer(
      `${request.method} ${url.pathname}`,
      url.searchParams,
      body,
    );
    response.statusCode = status;
    if (Buffer.isBuffer(content)) response.end(content);
    else response.end(JSON.stringify(content ?? {}));
  }

  async answer(call, query, body) {
    const topic = query.get('topic') ?? '';
    const partition = this.partition(topic, query.get('part') ?? '0');
    partition.expire();
    const limit = call === 'POST /log-append' ? this.writes : this.reads;
    if (!limit.allows()) return {status: 429};
    switch (call) {
      case 'POST /log-append':
        if (topic === 'keyed.op' || topic === 'keyed.servers')
          return {status: 403};
        return this.append(partition, query, body);
      case 'GET /log-read':
        return this.read(partition, query);
      case 'GET /log-newest':
        return newestPage(partition, query.get('after') ?? '');
      default:
        return {status: 404};
    }
  }

  async append(partition, query, body) {
    const contents = splitRecords(body);
    const isTooLarge = contents.some(({length}) => length > RECORD_BYTES);
    if (isTooLarge || body.length > REQUEST_BYTES) {
      this.onTooLarge(Math.max(...contents.map(({length}) => length)));
      return {status: 413};
    }
    const startsAt = Math.max(performance.now(), partition.busyUntil);
    partition.busyUntil =
      startsAt + APPEND_MS + body.length / PART_BYTES_PER_MS;
    if (partition.busyUntil - performance.now() > 2_000) return {status: 503};
    await pause(partition.busyUntil - performance.now());
    const at = query.get('at');
    if (at !== null && Number(at) !== partition.end)
      return {status: 412, content: {end_offset: partition.end}};
    const producer = query.get('producer');
    if (producer === null)
      return {status: 200, content: partition.add(contents)};
    return appendOf(partition, producer, {
      epoch: Number(query.get('epoch')),
      sequence: Number(query.get('sequence')),
      contents,
    });
  }

  async read(partition, query) {
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    if (from >= partition.end && waitMs > 0)
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          partition.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        partition.waiting.add(wake);
      });
    if (from < partition.first)
      return {status: 410, content: {first_offset: partition.first}};
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const parts = [head];
    let bytes = 0;
    const maximum = 1_024 * Number(query.get('max_kb') ?? 1_024);
    for (const {content} of partition.records.slice(from - partition.first)) {
      if (bytes > 0 && bytes + content.length > maximum) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
      bytes += content.length + 4;
    }
    return {status: 200, content: Buffer.concat(parts)};
  }
}

function appendOf(partition, name, {epoch, sequence, contents}) {
  let producer = partition.producers.get(name);
  if (producer && epoch < producer.epoch)
    return {status: 409, content: {reason: 'fenced'}};
  if (!producer || epoch > producer.epoch) {
    producer = {epoch, sequence: undefined, answers: new Map()};
    partition.producers.set(name, producer);
  }
  // An append with an empty body sets the epoch and appends nothing.
  if (contents.length === 0)
    return {
      status: 200,
      content: {offset: partition.end, end_offset: partition.end},
    };
  const before = producer.answers.get(sequence);
  if (before) return before;
  if (producer.sequence !== undefined && sequence !== producer.sequence + 1)
    return {
      status: 409,
      content: {reason: 'seq', sequence: producer.sequence + 1},
    };
  producer.sequence = sequence;
  const answer = {status: 200, content: partition.add(contents)};
  producer.answers.set(sequence, answer);
  producer.answers.delete(sequence - KEPT_ANSWERS);
  return answer;
}

function newestPage(partition, after) {
  const items = [];
  let bytes = 0;
  const keys = [...partition.newest.keys()].sort();
  let hasMore = false;
  for (const key of keys) {
    if (key <= after) continue;
    const {value, offset} = partition.newest.get(key);
    if (
      items.length === PAGE_ITEMS ||
      (items.length > 0 && bytes + value.length > PAGE_BYTES)
    ) {
      hasMore = true;
      break;
    }
    bytes += value.length;
    items.push({key, value: value.toString('base64'), offset});
  }
  return {
    status: 200,
    content: {items, has_more: hasMore, end_offset: partition.end},
  };
}

function splitRecords(body) {
  const contents = [];
  for (let position = 0; position < body.length;) {
    const length = body.readUInt32BE(position);
    contents.push(body.subarray(position + 4, position + 4 + length));
    position += 4 + length;
  }
  return contents;
}

export function pause(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)));
}
