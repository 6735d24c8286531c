// A small stand-in of the platform (store, list of machines, workers) and the daemons under test,
// all on loopback addresses. It follows the pages PROTOCOL, DEPLOY and demands/LATER; a fault is
// injected only by the scripts that use it.
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_timeout_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  recovery_s: 12,
  max_hold_ms: 10000,
  stop_timeout_ms: 200,
  gang_timeout_ms: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  remote_factor: 3,
  checkpoint_interval_s: 0.5,
  restore_ms: 250,
  notice_ms: 4500,
  move_s: 1.5,
  maintenance_s: 2,
  require_fencing: true,
  lease_ms: 3000,
  thaw_slack_ms: 300,
  pace_ms: 100,
  harm_ms: 4000,
};
const CONTRACTS = [
  'base',
  'drain',
  'config',
  'cost',
  'recover',
  'sched',
  'platform',
  'advice',
  'upkeep',
  'sharing',
];
const HEARTBEAT_MS = 1500;
const ENDS_IN_A_PAGE = 500;

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Milliseconds since the script began. */
const startedAt = performance.now();
export const now = () => Math.round(performance.now() - startedAt);

/** Writes what happens to record.txt, and the last lines to the standard output. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    writeFileSync(this.path, '');
  }

  note(text) {
    appendFileSync(this.path, `${String(now()).padStart(6)} ${text}\n`);
  }

  say(text) {
    this.note(text);
    console.log(text);
  }
}

function listen(handle, host) {
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', async () => {
      const url = new URL(request.url, 'http://stand-in');
      const result = await handle({
        method: request.method,
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body: Buffer.concat(chunks),
        socket: request.socket,
      });
      // Undefined: the call gets no response.
      if (!result) return;
      const {status, body} = result;
      response.statusCode = status;
      if (body === undefined) response.end();
      else if (Buffer.isBuffer(body)) response.end(body);
      else {
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(body));
      }
    });
    request.on('error', () => undefined);
  });
  server.keepAliveTimeout = 60_000;
  return new Promise(resolve =>
    server.listen(0, host, () =>
      resolve({server, address: `${host}:${server.address().port}`}),
    ),
  );
}

/** The platform's store: a log with keyed topics. */
class Store {
  partitions = new Map();

  partition(topic, part) {
    const name = `${topic}/${part}`;
    if (!this.partitions.has(name))
      this.partitions.set(name, {
        records: [],
        producers: new Map(),
        waiting: new Set(),
      });
    return this.partitions.get(name);
  }

  append(partition, records) {
    const offset = partition.records.length;
    partition.records.push(...records);
    for (const wake of [...partition.waiting]) wake();
    return {status: 200, body: {offset, end_offset: partition.records.length}};
  }

  write(topic, key, value) {
    const text = Buffer.isBuffer(value)
      ? value
      : Buffer.from(value === undefined ? '' : JSON.stringify(value));
    this.append(this.partition(topic, 0), [encodeRecord(key, text)]);
  }

  async respond(request, fate) {
    if (fate?.refuse) return {status: 503, body: {}};
    if (fate?.silent) return undefined;
    if (fate?.slowMs) await pause(fate.slowMs);
    if (fate?.lateMs && request.method === 'POST') {
      setTimeout(() => void this.carryOut(request), fate.lateMs);
      return undefined;
    }
    const answer = await this.carryOut(request);
    return fate?.loseAnswer ? undefined : answer;
  }

  async carryOut({method, path, query, body}) {
    const partition = this.partition(
      query.get('topic'),
      Number(query.get('part') ?? 0),
    );
    await pause(3);
    switch (`${method} ${path}`) {
      case 'POST /log-append':
        return this.appendCall(partition, query, body);
      case 'GET /log-read':
        return this.readCall(partition, query);
      case 'GET /log-newest':
        return this.newestCall(partition, query);
      default:
        return {status: 404, body: {}};
    }
  }

  appendCall(partition, query, body) {
    const records = [];
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at);
      records.push(body.subarray(at + 4, at + 4 + length));
      at += 4 + length;
    }
    const expected = query.get('at');
    if (expected !== null && Number(expected) !== partition.records.length)
      return {status: 412, body: {end_offset: partition.records.length}};
    const name = query.get('producer');
    if (name === null) return this.append(partition, records);
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    let producer = partition.producers.get(name);
    if (producer && epoch < producer.epoch)
      return {status: 409, body: {reason: 'fenced'}};
    if (!producer || epoch > producer.epoch) {
      producer = {epoch, sequence, answers: new Map()};
      partition.producers.set(name, producer);
    } else if (body.length > 0) {
      const before = producer.answers.get(sequence);
      if (before) return before;
      if (sequence !== producer.sequence + 1)
        return {
          status: 409,
          body: {reason: 'seq', sequence: producer.sequence + 1},
        };
      producer.sequence = sequence;
    }
    if (body.length === 0)
      return {
        status: 200,
        body: {
          offset: partition.records.length,
          end_offset: partition.records.length,
        },
      };
    const answer = this.append(partition, records);
    producer.answers.set(sequence, answer);
    producer.answers.delete(sequence - 5);
    return answer;
  }

  async readCall(partition, query) {
    const from = Number(query.get('from'));
    const wait = Number(query.get('wait_ms') ?? 0);
    const first = partition.first ?? 0;
    if (from < first) return {status: 410, body: {first_offset: first}};
    if (wait > 0 && partition.records.length <= from)
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          partition.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, wait);
        partition.waiting.add(wake);
      });
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    head.writeBigUInt64BE(BigInt(partition.first ?? 0), 8);
    const parts = [head];
    let bytes = 0;
    for (const record of partition.records.slice(from)) {
      bytes += record.length;
      if (parts.length > 1 && bytes > 1_000_000) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    return {status: 200, body: Buffer.concat(parts)};
  }

  newestCall(partition, query) {
    const newest = new Map();
    partition.records.forEach((record, offset) => {
      const {key, value} = decodeRecord(record);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {key, value: value.toString('base64'), offset});
    });
    const after = query.get('after');
    const items = [...newest.values()]
      .sort((one, other) => (one.key < other.key ? -1 : 1))
      .filter(({key}) => after === null || key > after);
    return {
      status: 200,
      body: {
        items: items.slice(0, 500),
        has_more: items.length > 500,
        end_offset: partition.records.length,
      },
    };
  }
}

function encodeRecord(key, value) {
  return Buffer.concat([
    Buffer.from([Buffer.byteLength(key)]),
    Buffer.from(key),
    value,
  ]);
}

function decodeRecord(record) {
  const end = 1 + record[0];
  return {key: record.toString('utf8', 1, end), value: record.subarray(end)};
}

/** One life of a worker: runs tasks under a lease. */
class Worker {
  runs = new Map();
  latest = new Map();
  ended = [];
  endNumber = 0;
  token = 0;
  leaseEnd = 0;
  state = 'ready';
  dead = false;
  sequence = 0;
  waiting = new Set();

  constructor(deployment, machine, id) {
    this.deployment = deployment;
    this.machine = machine;
    this.id = id;
    this.bornAt = performance.now();
    this.born = Math.floor(Date.now());
  }

  async start() {
    const {server, address} = await listen(
      request => this.respond(request),
      '127.0.0.1',
    );
    this.server = server;
    this.address = address;
    this.writeEntry();
    this.timer = setInterval(() => this.writeEntry(), HEARTBEAT_MS);
    this.deployment.record.note(
      `worker ${this.id} of ${this.machine.pool} is up`,
    );
  }

  get clock() {
    return Math.floor(performance.now() - this.bornAt) + 1_000;
  }

  entry() {
    const {machine} = this;
    return {
      service: machine.pool,
      address: this.address,
      zone: machine.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      capacity: machine.capacity,
      labels: machine.labels,
      ...(this.deployment.options.born ? {born: this.born} : {}),
    };
  }

  writeEntry() {
    if (!this.dead)
      this.deployment.store.write('keyed.servers', this.id, this.entry());
  }

  /** Ends this life: everything that runs terminates. */
  end(removesEntry) {
    if (this.dead) return;
    this.dead = true;
    clearInterval(this.timer);
    clearTimeout(this.leaseTimer);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      run.log.endedAt = now();
      run.log.end = 'gone';
      this.deployment.record.note(
        `gone with ${this.id}: ${run.task} run ${run.run}`,
      );
    }
    const gone = [...this.runs.values()];
    this.runs.clear();
    for (const run of gone) this.deployment.leaveGang(run, 'gone');
    this.server.close();
    this.server.closeAllConnections();
    if (removesEntry)
      this.deployment.store.write('keyed.servers', this.id, undefined);
    this.deployment.record.note(`worker ${this.id} is down`);
  }

  async respond(request) {
    const fate = this.deployment.fateOfWorkerCall(this, request);
    if (fate?.mute) return undefined;
    if (fate?.lateMs) {
      // Whoever lives under this id then carries it out.
      setTimeout(() => {
        const {workers} = this.deployment;
        const life = workers.get(this.id);
        if (life && !life.dead) void life.carryOut(request);
      }, fate.lateMs);
      this.deployment.record.note(
        `late on ${this.id} by ${fate.lateMs} ms: ${request.path} ${request.body}`,
      );
      return undefined;
    }
    const answer = await this.carryOut(request);
    return fate?.loseAnswer ? undefined : answer;
  }

  async carryOut({path, headers, body}) {
    if (path !== '/hold') await pause(1);
    if (this.dead) return undefined;
    const expected = headers['x-expect-instance'];
    const own = {
      clock_ms: this.clock,
      ...(this.deployment.options.born ? {born: this.born} : {}),
    };
    if (expected !== undefined && expected !== this.id)
      return {status: 421, body: own};
    const call = JSON.parse(body.toString('utf8') || '{}');
    const token = call.fencing_token ?? 0;
    if (token < this.token)
      return {status: 409, body: {...own, reason: 'fence'}};
    this.token = token;
    switch (path) {
      case '/hold':
        return this.hold(call);
      case '/run-start':
        return this.startRun(call, own);
      case '/run-stop':
        return this.stopRun(call, own);
      case '/pace':
        return {status: 200, body: own};
      default:
        return {status: 404, body: own};
    }
  }

  async hold(call) {
    const seen = call.last_seen ?? 0;
    for (const end of this.ended)
      if (end.row[0] <= seen) end.log.notedAt ??= now();
    this.ended = this.ended.filter(({row}) => row[0] > seen);
    if (call.deadline_ms !== undefined) this.extend(call.deadline_ms);
    if (call.wait_ms > 0 && this.ended.length === 0)
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2_000, call.wait_ms));
        this.waiting.add(wake);
      });
    if (this.dead) return undefined;
    return {
      status: 200,
      body: {
        clock_ms: this.clock,
        ...(this.deployment.options.born ? {born: this.born} : {}),
        running: [...this.runs.values()].map(run => [
          run.task,
          run.run,
          run.saved(),
          run.percent(),
          run.cpu,
        ]),
        ended_runs: this.ended.slice(0, ENDS_IN_A_PAGE).map(({row}) => row),
      },
    };
  }

  startRun(call, own) {
    const {task, run} = call;
    if (call.deadline_ms <= this.clock)
      return {status: 409, body: {...own, reason: 'late'}};
    const here = this.runs.get(task);
    this.extend(call.deadline_ms);
    if (here?.run === run) return {status: 200, body: own};
    if (here || run <= (this.latest.get(task) ?? 0))
      return {status: 409, body: {...own, reason: 'old'}};
    const step = this.deployment.stepOf(task);
    const used = [...this.runs.values()].reduce((sum, {cpu}) => sum + cpu, 0);
    if (used + step.cpu > this.machine.capacity.cpu) {
      if (this.deployment.options.guards ?? true)
        return {status: 409, body: {...own, reason: 'room'}};
      this.deployment.overfilled.push(
        `${task} run ${run} on ${this.id} at ${now()}: ${used} + ${step.cpu} of ${this.machine.capacity.cpu}`,
      );
    }
    this.begin(call, step);
    return {status: 200, body: own};
  }

  begin({task, run, spec, fencing_token: token, checkpoint = ''}, step) {
    const log = {
      task,
      run,
      spec,
      checkpoint,
      worker: this,
      token,
      startedAt: now(),
      endedAt: undefined,
      end: undefined,
      notedAt: undefined,
    };
    this.deployment.runs.push(log);
    this.latest.set(task, run);
    const {ms, end = 'done'} = this.deployment.behaviourOf(
      task,
      step,
      this,
      run,
    );
    const restored = Number(checkpoint.split('-')[1] ?? 0);
    const entry = {task, run, cpu: step.cpu, log, began: undefined};
    const work = () =>
      entry.began === undefined
        ? 0
        : restored + performance.now() - entry.began;
    entry.percent = () =>
      ms === undefined
        ? entry.began === undefined
          ? 0
          : 100
        : Math.min(99, Math.floor((100 * work()) / ms));
    entry.saved = () => {
      const interval = BOUNDS.checkpoint_interval_s * 1_000;
      if (!step.checkpointing || work() < interval) return checkpoint;
      return `${task.split('.').slice(0, 3).join('')}-${Math.floor(work() / interval) * interval}`;
    };
    entry.work = () => {
      entry.began = performance.now();
      if (ms !== undefined)
        entry.timer = setTimeout(
          () => this.finish(entry, end),
          Math.max(1, ms - restored),
        );
    };
    this.runs.set(task, entry);
    this.deployment.record.note(
      `start on ${this.id}: ${task} run ${run}, token ${token}${checkpoint && `, from ${checkpoint}`}`,
    );
    if (step.gang) this.deployment.joinGang(this, entry, step);
    else entry.work();
  }

  stopRun({task, run}, own) {
    const here = this.runs.get(task);
    this.latest.set(task, Math.max(run, this.latest.get(task) ?? 0));
    this.deployment.record.note(`stop on ${this.id}: ${task} run ${run}`);
    if (here?.run === run && !here.stopping) {
      here.stopping = true;
      clearTimeout(here.timer);
      setTimeout(() => this.finish(here, 'stopped'), 100);
    }
    return {status: 200, body: own};
  }

  finish(run, how) {
    if (this.runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    const saved = run.saved();
    this.runs.delete(run.task);
    run.log.endedAt = now();
    run.log.end = how;
    this.ended.push({
      row: [++this.endNumber, run.task, run.run, how, saved],
      log: run.log,
    });
    this.deployment.record.note(
      `end on ${this.id}: ${run.task} run ${run.run} ${how}`,
    );
    this.deployment.leaveGang(run, how);
    for (const wake of [...this.waiting]) wake();
  }

  extend(deadline) {
    this.leaseEnd = Math.max(
      this.leaseEnd,
      Math.min(deadline, this.clock + BOUNDS.max_hold_ms),
    );
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => {
        for (const run of [...this.runs.values()]) this.finish(run, 'lapsed');
      },
      Math.max(0, this.leaseEnd - this.clock),
    );
  }
}

/** A daemon in a process of its own, started with the command of the deploy file. */
class Daemon {
  constructor(deployment, node, host) {
    Object.assign(this, {deployment, node, host});
  }

  async prepare(index) {
    const [front, ready, control] = await freePorts(this.host, 3);
    this.front = `${this.host}:${front}`;
    const {deployment} = this;
    // Each daemon has its own way to the store, on which a script can inject a fault.
    const store = await listen(
      request =>
        deployment.store.respond(
          request,
          deployment.fateOfStoreCall(this, request),
        ),
      '127.0.0.1',
    );
    deployment.servers.push(store.server);
    this.settings = join(deployment.folder, `${this.node}.json`);
    writeFileSync(
      this.settings,
      JSON.stringify({
        node: this.node,
        role: 'entry',
        machine_class: 'front',
        serves: ['front'],
        ip: this.host,
        zone: 'one',
        region: 'here',
        zones: {one: 'here'},
        listen: {
          front: this.front,
          ready: `${this.host}:${ready}`,
          control: `${this.host}:${control}`,
        },
        internal_ports: [7060, 7075],
        seeds: [],
        bootstrap: false,
        counts_as_loss: false,
        limits: {
          cpu_share: 0.675,
          cores: 1,
          memory_mb: 350,
          max_fds: 4100,
          link_mbps: 1000,
          disk_mb: 0,
        },
        data_dir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeat_ms: HEARTBEAT_MS,
        contracts: deployment.options.contracts ?? CONTRACTS,
        fault_tolerance: {machines: 2, zones: 1, regions: 0},
        bounds: BOUNDS,
        orders: 'call',
        advice: '',
        platform: {
          address: store.address,
          form: 'log',
          writes_per_s: 600,
          reads_per_s: 2000,
          parts: 24,
          append_ms: 1,
          part_mb_s: 20,
          read_mb_s: 80,
          record_bytes: 262144,
          request_bytes: 2097152,
          keep_s: 300,
          partition_mb: 200,
          min_ttl_ms: 1000,
        },
        cloud: {
          address: deployment.cloudAddress,
          rate_per_s: 64,
          duties: [],
          duty_per_s: 64,
        },
      }),
    );
    this.index = index;
  }

  start() {
    if (this.deployment.stopped) return;
    const child = spawn(
      'node',
      ['--max-old-space-size=200', 'target/gentiandoor-entry.mjs'],
      {
        cwd: ROOT,
        env: {...process.env, GENTIANDOOR_CONFIG: this.settings},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const write = chunk =>
      appendFileSync(join(this.deployment.folder, `${this.node}.log`), chunk);
    child.stdout.on('data', write);
    child.stderr.on('data', write);
    child.once('exit', (code, signal) => {
      this.deployment.record.note(
        `daemon ${this.node} ended: ${signal ?? code}`,
      );
      if (this.child === child) this.child = undefined;
    });
    this.child = child;
    this.deployment.record.note(`daemon ${this.node} started`);
  }

  signal(name) {
    if (!this.child) return;
    this.deployment.record.note(`${name} to ${this.node}`);
    this.child.kill(name);
  }

  async end(name) {
    const {child} = this;
    if (!child) return;
    const gone = new Promise(resolve => child.once('exit', resolve));
    this.signal(name);
    await gone;
  }
}

/** Returns free ports of an address, each of them once. */
async function freePorts(host, count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = net.createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Store, machines, workers, daemons and callers of one small deployment. */
export class Deployment {
  runs = [];
  jobs = new Map();
  machines = new Map();
  workers = new Map();
  daemons = [];
  store = new Store();
  servers = [];
  upkeeps = [];
  /** Starts that brought a worker that does not guard its capacity over it. */
  overfilled = [];
  lives = 0;
  /** Overridden by scripts: how a task behaves; no `ms` for one that lasts. */
  behaviourOf = (task, step) => ({ms: step.actual_ms});
  /** Overridden by scripts: returns 'late' for a call that gets no answer and is carried out later. */
  fateOfCloudCall = () => undefined;
  /** Overridden by scripts: `mute`, `lateMs` or `loseAnswer` for a call to a worker. */
  fateOfWorkerCall = () => undefined;
  /** Overridden by scripts: `refuse`, `silent`, `slowMs`, `lateMs` or `loseAnswer` for a call to the store. */
  fateOfStoreCall = () => undefined;
  gangs = new Map();
  constructor(scriptFolder, options) {
    this.options = options;
    this.record = new Record(scriptFolder);
    this.folder = mkdtempSync(join(tmpdir(), 'gentiandoor-review-'));
  }

  async start() {
    const cloud = await listen(
      request => this.respondToCloudCall(request),
      '127.0.0.1',
    );
    this.servers.push(cloud.server);
    this.cloudAddress = cloud.address;
    for (const machine of this.options.machines) {
      this.machines.set(machine.name, {
        ...machine,
        state: 'up',
        fence: 0,
        id: undefined,
        upkeepOf: new Set(),
      });
      await this.startWorker(machine.name);
    }
    this.publish('config', this.options.config);
    const subnet = 1 + (process.pid % 250);
    for (let index = 0; index < this.options.daemons; index++) {
      const daemon = new Daemon(
        this,
        `front-${index + 1}`,
        `127.${subnet}.${1 + Math.floor(Math.random() * 250)}.${index + 1}`,
      );
      await daemon.prepare(index);
      this.daemons.push(daemon);
      daemon.start();
    }
    for (const daemon of this.daemons) {
      const deadline = now() + 15_000;
      while (
        ![200, 401].includes((await this.call(daemon, 'GET', '')).status)
      ) {
        if (now() > deadline) throw new Error(`${daemon.node} does not answer`);
        await pause(100);
      }
    }
  }

  publish(key, value) {
    this.record.note(
      `operator writes op/${key}: ${JSON.stringify(value).slice(0, 300)}`,
    );
    this.store.write('keyed.op', key, value);
  }

  async startWorker(name, id = `w-${++this.lives}`) {
    const machine = this.machines.get(name);
    const worker = new Worker(this, machine, id);
    machine.id = id;
    this.workers.set(id, worker);
    await worker.start();
    return worker;
  }

  workerOn(name) {
    return this.workers.get(this.machines.get(name).id);
  }

  stepOf(task) {
    const [job, , step] = task.split('.');
    return this.jobs.get(job).steps[Number(step)];
  }

  /** The members of a gang work from the moment when all of one run are there. */
  joinGang(worker, entry, step) {
    const name = `${entry.task.split('.').slice(0, 3).join('.')}/${entry.run}`;
    const gang = this.gangs.get(name) ?? {
      members: new Map(),
      works: false,
      over: false,
    };
    this.gangs.set(name, gang);
    entry.gang = gang;
    if (!gang.over) gang.members.set(entry.task, {worker, entry});
    entry.gangTimer = setTimeout(() => {
      if (!gang.works || gang.members.get(entry.task)?.entry !== entry)
        worker.finish(entry, 'alone');
    }, BOUNDS.gang_timeout_ms);
    if (gang.members.size < step.count || gang.over) return;
    gang.works = true;
    for (const member of gang.members.values()) member.entry.work();
  }

  /** They end `done` together; when one ends in another way, the others break. */
  leaveGang({gang, task}, how) {
    if (!gang || gang.over || !gang.members.has(task)) return;
    gang.members.delete(task);
    // One that only waits does not break the others.
    if (!gang.works) return;
    gang.over = true;
    for (const [name, member] of gang.members)
      if (name !== task)
        member.worker.finish(member.entry, how === 'done' ? 'done' : 'broken');
  }

  async respondToCloudCall({method, path, headers, body}) {
    await pause(3);
    if (method === 'GET' && path === '/machines')
      return {
        status: 200,
        body: {
          machines: [...this.machines.values()].map(machine => ({
            machine: machine.name,
            pool: machine.pool,
            state: machine.state,
            zone: machine.zone,
            labels: machine.labels,
            capacity: machine.capacity,
            id: machine.state === 'up' ? machine.id : null,
          })),
          next_token: null,
        },
      };
    const call = JSON.parse(body.toString('utf8'));
    const holder = headers['x-lease-holder'];
    const token = Number(headers['x-fencing-token'] ?? 0);
    const text = `${path} ${call.machine} by ${holder}, token ${token}`;
    if (this.fateOfCloudCall(path, call, holder) === 'late') {
      this.record.note(
        `${text}: no answer, carried out ${this.options.lateMs} ms later`,
      );
      setTimeout(() => {
        const {status, body: answer} = this.carryOut(path, call, token, holder);
        this.record.note(
          `${text}: carried out late: ${status} ${JSON.stringify(answer ?? {})}`,
        );
      }, this.options.lateMs);
      return undefined;
    }
    const result = this.carryOut(path, call, token, holder);
    this.record.note(
      `${text}: ${result.status} ${JSON.stringify(result.body ?? {})}`,
    );
    return result;
  }

  carryOut(path, call, token, holder) {
    const machine = this.machines.get(call.machine);
    if (!machine) return {status: 400, body: {}};
    if (token < machine.fence) return {status: 409, body: {reason: 'fence'}};
    machine.fence = token;
    if (path === '/machine-move') {
      if (machine.pool === call.pool) return {status: 200, body: {}};
      if (machine.state !== 'up') return {status: 409, body: {reason: 'busy'}};
      this.takeAway(machine, 'moving', BOUNDS.move_s, call.pool);
      return {status: 200, body: {}};
    }
    if (machine.upkeepOf.has(call.wave)) return {status: 200, body: {}};
    if (machine.state !== 'up') return {status: 409, body: {reason: 'busy'}};
    machine.upkeepOf.add(call.wave);
    this.upkeeps.push({
      machine: machine.name,
      wave: call.wave,
      holder,
      token,
      from: now(),
      to: now() + BOUNDS.maintenance_s * 1_000,
    });
    this.record.note(`upkeep of ${machine.name} begins`);
    this.takeAway(machine, 'upkeep', BOUNDS.maintenance_s, machine.pool);
    return {status: 200, body: {}};
  }

  takeAway(machine, state, seconds, pool) {
    this.workers.get(machine.id)?.end(true);
    machine.state = state;
    machine.pool = pool;
    setTimeout(async () => {
      if (this.stopped) return;
      await this.startWorker(machine.name);
      machine.state = 'up';
      this.record.note(`${machine.name} is up again`);
    }, seconds * 1_000);
  }

  /** Sends a call of a client; status 0 means that there was no answer. */
  call(
    daemon,
    method,
    id,
    body,
    prefix = this.options.prefix,
    {headers = {}, abortMs} = {},
  ) {
    const [host, port] = daemon.front.split(':');
    return new Promise(resolve => {
      const request = http.request(
        {
          host,
          port,
          method,
          path: `${prefix}${id}`,
          agent: false,
          timeout: 3_000,
          headers: {
            Host: this.options.host,
            'Content-Type': 'application/json',
            'X-Deadline-Ms': '3000',
            ...headers,
          },
        },
        response => {
          const chunks = [];
          response.on('data', chunk => chunks.push(chunk));
          response.on('end', () => {
            const text = Buffer.concat(chunks).toString('utf8');
            let parsed;
            try {
              parsed = JSON.parse(text);
            } catch {
              parsed = undefined;
            }
            resolve({status: response.statusCode, body: parsed});
          });
          response.on('error', () => resolve({status: 0}));
        },
      );
      // A client that leaves before its answer.
      if (abortMs !== undefined) setTimeout(() => request.destroy(), abortMs);
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve({status: 0}));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  /** Submits a job until it is accepted, as a client that tries again. */
  async submit(id, steps, prefix) {
    this.jobs.set(id, {steps});
    const body = {
      spec: `spec of ${id}`,
      steps: steps.map(({actual_ms: _, ...step}) => step),
    };
    for (let attempt = 0; attempt < 20; attempt++) {
      const daemon = this.daemons[attempt % this.daemons.length];
      const {status} = await this.call(daemon, 'POST', id, body, prefix);
      this.record.note(`POST ${id} to ${daemon.node}: ${status}`);
      if (status >= 200 && status < 300) return;
      await pause(300);
    }
    throw new Error(`job ${id} was not accepted`);
  }

  async state(
    id,
    daemon = this.daemons.find(({child}) => child),
    prefix,
    headers,
  ) {
    const {status, body} = await this.call(
      daemon,
      'GET',
      id,
      undefined,
      prefix,
      {headers},
    );
    this.record.note(
      `GET ${id} at ${daemon.node}: ${status} ${body?.state ?? ''}`,
    );
    return body?.state;
  }

  async until(condition, ms, what) {
    const deadline = now() + ms;
    while (!(await condition())) {
      if (now() > deadline) throw new Error(`not reached: ${what}`);
      await pause(20);
    }
  }

  liveRuns(job) {
    return this.runs.filter(
      ({task, endedAt}) => task.startsWith(job) && endedAt === undefined,
    );
  }

  /** Who holds the term, by the store's record. */
  holder() {
    const {records} = this.store.partition('keyed.terms', 0);
    if (records.length === 0) return undefined;
    const {value} = decodeRecord(records[records.length - 1]);
    const {holder, released} = JSON.parse(value.toString('utf8'));
    return released
      ? undefined
      : this.daemons.find(({node}) => node === holder);
  }

  async stop() {
    this.stopped = true;
    await Promise.all(this.daemons.map(daemon => daemon.end('SIGKILL')));
    for (const worker of this.workers.values()) worker.end(false);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    if (!process.env.KEEP_LOGS)
      rmSync(this.folder, {recursive: true, force: true});
    else console.log(this.folder);
  }
}

/** Runs a script: 1 if it returns a broken rule, 0 if it returns none, 2 if it can't run. */
export async function play(deployment, script) {
  let code = 2;
  const guard = setTimeout(() => {
    for (const {child} of deployment.daemons) child?.kill('SIGKILL');
    process.exit(2);
  }, 115_000);
  try {
    await deployment.start();
    const broken = await script();
    for (const line of broken) deployment.record.say(`BROKEN ${line}`);
    if (broken.length === 0) deployment.record.say('held');
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    deployment.record.say(`could not run: ${error.stack}`);
  }
  await deployment.stop();
  clearTimeout(guard);
  process.exit(code);
}
