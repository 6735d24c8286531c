// Stand-ins of the platform's machines and workers, and of the list of machines, as the page
// PROTOCOL describes them.
import {createServer} from 'node:http';
import {pause} from './store.mjs';

const HEARTBEAT_MS = 1_500;
const SILENT_HEARTBEATS = 3;
const MAX_HOLD_MS = 10_000;
const MAX_WAIT_MS = 2_000;
const STOP_MS = 150;
const STARTUP_MS = 300;
const LISTED_ENDS = 500;
const MOVE_MS = 1_500;
const UPKEEP_MS = 2_000;

/** One life of a worker. */
class Worker {
  running = new Map();
  latestRuns = new Map();
  ended = [];
  endNumber = 0;
  token = 0;
  leaseEnd = 0;
  waiting = new Set();
  isDead = false;
  sequence = 0;
  state = 'ready';
  clockOffset = Math.floor(Math.random() * 1e6);

  constructor(id, machine, fleet) {
    this.id = id;
    this.machine = machine;
    this.fleet = fleet;
    this.service = machine.pool;
    /** Set where workers start again under their id. */
    this.born = fleet.reportsBorn ? Date.now() : undefined;
  }

  get clock() {
    return Math.floor(performance.now() + this.clockOffset);
  }

  async start(host) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    const port = this.born === undefined ? 0 : (this.machine.port ?? 0);
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.machine.port = this.server.address().port;
    this.address = `${host}:${this.machine.port}`;
    this.beat();
    this.beatTimer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  entry() {
    const {machine} = this;
    return {
      service: this.service,
      address: this.address,
      zone: machine.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: machine.capacity,
      labels: machine.labels,
      born: this.born,
      sequence: ++this.sequence,
    };
  }

  beat() {
    if (this.isDead) return;
    const {store} = this.fleet;
    const write = this.fleet.heldWrite(this);
    if (write)
      write.call = () => store.write('keyed.servers', this.id, write.entry);
    else store.write('keyed.servers', this.id, this.entry());
  }

  /** The worker is gone at once, with all that runs on it; nobody is told. */
  crash() {
    if (this.isDead) return;
    this.isDead = true;
    clearInterval(this.beatTimer);
    clearTimeout(this.leaseTimer);
    for (const run of this.running.values()) {
      clearTimeout(run.timer);
      this.fleet.noteEnd(this, run, 'gone');
    }
    this.running.clear();
    this.server.closeAllConnections();
    this.server.close();
    // The store drops the entry after some heartbeats of silence.
    setTimeout(() => {
      if (this.machine.worker?.id !== this.id)
        this.fleet.store.write('keyed.servers', this.id, undefined);
    }, SILENT_HEARTBEATS * HEARTBEAT_MS).unref();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers['x-expect-instance'];
    const reply = (status, body) => {
      if (this.isDead) return response.destroy();
      response.statusCode = status;
      response.end(body && JSON.stringify({clock_ms: this.clock, ...body}));
    };
    if (expected !== undefined && expected !== this.id) return reply(421);
    if (request.method === 'GET') return reply(200);
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const token = body.fencing_token ?? 0;
    if (token < this.token) return reply(409, {reason: 'fence'});
    this.token = token;
    switch (request.url) {
      case '/run-start':
        return reply(...this.startRun(body));
      case '/run-stop':
        return reply(...this.stopRun(body));
      case '/hold':
        return reply(...(await this.hold(body)));
      case '/pace':
        return reply(200, {});
      default:
        return reply(400);
    }
  }

  startRun({task, run, spec, deadline_ms: deadline, checkpoint = ''}) {
    if (this.clock >= deadline) return [409, {reason: 'late'}];
    const here = this.running.get(task);
    this.extendLease(deadline);
    if (here?.run === run) return [200, {}];
    if (here || run <= (this.latestRuns.get(task) ?? 0))
      return [409, {reason: 'old'}];
    const work = this.fleet.workOf(task);
    if (!work) return [400, {}];
    if (!this.hasRoomFor(work)) return [409, {reason: 'room'}];
    this.latestRuns.set(task, run);
    const started = {task, run, work, spec, checkpoint, at: performance.now()};
    this.running.set(task, started);
    this.fleet.noteStart(this, started);
    if (!work.longRunning)
      started.timer = setTimeout(
        () => this.endRun(started, this.fleet.endOf(task, run)),
        work.ms,
      );
    return [200, {}];
  }

  stopRun({task, run}) {
    this.latestRuns.set(task, Math.max(run, this.latestRuns.get(task) ?? 0));
    const here = this.running.get(task);
    if (here?.run === run && !here.isStopping) {
      here.isStopping = true;
      clearTimeout(here.timer);
      setTimeout(() => this.endRun(here, 'stopped'), STOP_MS);
    }
    return [200, {}];
  }

  async hold({last_seen: seen, deadline_ms: deadline, wait_ms: waitMs = 0}) {
    for (const end of this.ended)
      if (end.number <= seen) this.fleet.noteTaken(this, end);
    this.ended = this.ended.filter(end => end.number > seen);
    if (deadline !== undefined) this.extendLease(deadline);
    if (waitMs > 0 && this.ended.length === 0)
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(waitMs, MAX_WAIT_MS));
        this.waiting.add(wake);
      });
    const ended = this.ended.slice(0, LISTED_ENDS);
    return [
      200,
      {
        born: this.born,
        running: [...this.running.values()].map(run => this.row(run)),
        ended_runs: ended.map(({number, run, how}) => [
          number,
          run.task,
          run.run,
          how,
          '',
        ]),
      },
    ];
  }

  row({task, run, work, at}) {
    const age = performance.now() - at;
    const total = work.longRunning ? STARTUP_MS : work.ms;
    const percent = Math.min(100, Math.floor((100 * age) / total));
    return [task, run, '', percent, work.longRunning ? 20 : work.cpu];
  }

  hasRoomFor(work) {
    let {cpu, mem_mb: memory} = this.machine.capacity;
    for (const {work: other} of this.running.values()) {
      cpu -= other.cpu;
      memory -= other.memory;
    }
    return work.cpu <= cpu && work.memory <= memory;
  }

  extendLease(deadline) {
    const end = Math.min(deadline, this.clock + MAX_HOLD_MS);
    if (end <= this.leaseEnd) return;
    this.leaseEnd = end;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => {
        for (const run of [...this.running.values()])
          this.endRun(run, 'lapsed');
      },
      Math.max(0, end - this.clock),
    );
  }

  endRun(run, how) {
    if (this.isDead || this.running.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.running.delete(run.task);
    this.ended.push({number: ++this.endNumber, run, how});
    this.fleet.noteEnd(this, run, how);
    for (const wake of [...this.waiting]) wake();
  }
}

/** The machines, their workers and the list of machines. */
export class Fleet {
  machines = new Map();
  /** Every worker that ever lived, by its life. */
  workers = new Map();
  /** What was submitted, by the id of the job: its steps. */
  jobs = new Map();
  lives = 0;
  tokens = new Map();
  /** Tasks with a run that ended as done. */
  done = new Set();
  /** Starts of a task while another run of it is alive on a worker that is up. */
  overlaps = [];
  /** Number of runs that ended as failed. */
  failedEnds = 0;

  constructor({
    host,
    store,
    record,
    endOf = () => 'done',
    workMs = () => 800,
    reportsBorn = false,
  }) {
    Object.assign(this, {host, store, record, endOf, workMs, reportsBorn});
  }

  async start() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => this.server.listen(0, this.host, resolve));
    this.address = `${this.host}:${this.server.address().port}`;
  }

  stop() {
    for (const worker of this.workers.values()) worker.crash();
    this.server.closeAllConnections();
    this.server.close();
  }

  async addMachine(name, pool, {zone, labels, capacity}) {
    const machine = {name, pool, zone, labels, capacity, state: 'up'};
    this.machines.set(name, machine);
    await this.begin(machine);
    return machine;
  }

  /**
   * Starts a new life of a machine's worker: under a new id, or where workers start again under
   * their id, under the one that it had in this pool.
   */
  async begin(machine) {
    const life = ++this.lives;
    const id = this.reportsBorn
      ? `w-${machine.name}-${machine.pool}`
      : `w${life.toString(36)}${machine.name}`;
    const worker = new Worker(id, machine, this);
    this.workers.set(life, worker);
    await worker.start(this.host);
    machine.worker = worker;
    machine.state = 'up';
    const born = worker.born === undefined ? '' : `, born ${worker.born}`;
    this.record(
      `worker ${id} of ${machine.pool} begins on ${machine.name}${born}`,
    );
  }

  /**
   * The next entry that the worker of `machine` writes gets no answer, and the store executes it
   * when `call` of the returned write is called.
   */
  holdNextWrite(machine) {
    const write = {machine, entry: undefined, call: undefined};
    this.held = write;
    return write;
  }

  heldWrite(worker) {
    const write = this.held;
    if (write?.machine !== worker.machine) return undefined;
    this.held = undefined;
    write.entry = worker.entry();
    this.record(
      `the entry of ${worker.id}, born ${worker.born}, gets no answer`,
    );
    return write;
  }

  /** The worker of a machine is gone; the machine is down until `begin`. */
  crash(machine) {
    this.record(`worker ${machine.worker.id} on ${machine.name} crashes`);
    machine.worker.crash();
    machine.worker = undefined;
    machine.state = 'down';
  }

  workOf(task) {
    const [id, , step] = task.split('.');
    const specification = this.jobs.get(id)?.[Number(step)];
    if (!specification) return undefined;
    return {
      cpu: specification.cpu ?? 0,
      memory: specification.mem_mb ?? 0,
      longRunning: specification.long_running === true,
      ms: this.workMs(task),
    };
  }

  readyWorkers(service) {
    return [...this.machines.values()].flatMap(({pool, worker}) =>
      pool === service && worker?.state === 'ready' ? [worker] : [],
    );
  }

  isRunning(id) {
    return [...this.workers.values()].some(worker =>
      [...worker.running.keys()].some(task => task.startsWith(`${id}.`)),
    );
  }

  /** Returns what the tasks of a job need that have not ended as done. */
  openMillicores(id) {
    let millicores = 0;
    this.jobs.get(id).forEach(({count, cpu}, step) => {
      for (let index = 0; index < count; index++)
        if (!this.done.has(`${id}.0.${step}.${index}`)) millicores += cpu;
    });
    return millicores;
  }

  noteStart(worker, {task, run}) {
    for (const other of this.workers.values()) {
      const here = other.running.get(task);
      if (here && !(other === worker && here.run === run))
        this.overlaps.push(
          `${task}: run ${run} starts on ${worker.id} while run ${here.run} is alive on ${other.id}`,
        );
    }
    this.record(`start ${task} run ${run} on ${worker.id}`);
  }

  noteEnd(worker, {task, run}, how) {
    if (how === 'done') this.done.add(task);
    if (how === 'failed') this.failedEnds++;
    this.record(`end ${task} run ${run} on ${worker.id}: ${how}`);
  }

  noteTaken(worker, {run: {task, run}, how}) {
    this.record(`taken note of ${task} run ${run} on ${worker.id}: ${how}`);
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    await pause(3);
    const reply = (status, body = {}) => {
      response.statusCode = status;
      response.end(JSON.stringify(body));
    };
    if (request.url.startsWith('/machines'))
      return reply(200, {machines: this.list(), next_token: ''});
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const machine = this.machines.get(body.machine);
    if (!machine) return reply(400);
    const token = Number(request.headers['x-fencing-token']);
    if (token < (this.tokens.get(machine.name) ?? 0))
      return reply(409, {reason: 'fence'});
    this.tokens.set(machine.name, token);
    if (request.url === '/machine-move' && machine.pool === body.pool)
      return reply(200);
    if (machine.state !== 'up') return reply(409, {reason: 'busy'});
    this.order(
      machine,
      request.url === '/machine-move' ? body.pool : undefined,
    );
    return reply(200);
  }

  order(machine, pool) {
    this.record(
      `machine ${machine.name} ${pool ? `moves to ${pool}` : 'has its upkeep'}`,
    );
    machine.worker.crash();
    machine.worker = undefined;
    machine.state = pool ? 'moving' : 'upkeep';
    if (pool) machine.pool = pool;
    setTimeout(() => void this.begin(machine), pool ? MOVE_MS : UPKEEP_MS);
  }

  list() {
    return [...this.machines.values()].map(machine => ({
      machine: machine.name,
      pool: machine.pool,
      state: machine.state,
      zone: machine.zone,
      labels: machine.labels,
      capacity: machine.capacity,
      id: machine.worker?.id ?? null,
    }));
  }
}
