import fc from 'fast-check';
import type {ClaimsFleet, FleetDaemon} from './claims-fleet.js';
import {answerOf} from './claims-fleet.js';
import {AppendFate} from './faulty-log.js';
import {KeyLedger, answerText, type Try} from './key-ledger.js';

const KEYS = ['order-1', 'order-2'];
const NAMES = ['entry-1', 'entry-2', 'entry-3'];
const LONGEST_PAUSE_MILLISECONDS = 4000;

/** The daemons under test, and the scheduler's hold on their steps. */
export interface RealClaims {
  readonly fleet: ClaimsFleet;
  /** Steps that wait to go on. */
  waitingSteps(): number;
  letOneGo(): Promise<void>;
}

type ClaimsCommand = fc.AsyncCommand<KeyLedger, RealClaims>;

abstract class Command implements ClaimsCommand {
  check(): boolean {
    return true;
  }

  abstract run(ledger: KeyLedger, real: RealClaims): Promise<void>;

  abstract toString(): string;
}

class Ask extends Command {
  constructor(
    readonly name: string,
    readonly key: string,
  ) {
    super();
  }

  async run(ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    const daemon = fleet.daemons.get(this.name)!;
    const entry = ledger.begin(this.key, daemon.incarnation);
    hearLater(ledger, fleet, daemon, entry);
    await fleet.advance(0);
  }

  toString(): string {
    return `ask(${this.name}, ${this.key})`;
  }
}

class LetGo extends Command {
  constructor(readonly steps: number) {
    super();
  }

  async run(_ledger: KeyLedger, real: RealClaims): Promise<void> {
    for (let step = 0; step < this.steps && real.waitingSteps() > 0; step++) {
      await real.letOneGo();
      await real.fleet.advance(0);
    }
  }

  toString(): string {
    return `letGo(${this.steps})`;
  }
}

class Pass extends Command {
  constructor(readonly milliseconds: number) {
    super();
  }

  async run(_ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    await fleet.advance(this.milliseconds);
  }

  toString(): string {
    return `pass(${this.milliseconds} ms)`;
  }
}

/** How a held claim ends. */
enum Ending {
  Finish = 'finish',
  Lose = 'lose',
  Release = 'release',
}

class End extends Command {
  constructor(
    readonly which: number,
    readonly ending: Ending,
  ) {
    super();
  }

  async run(ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    const holding = ledger.holding();
    if (holding.length === 0) return;
    const entry = holding[this.which % holding.length];
    const claim = entry.told!.claim!;
    ledger[this.ending](entry);
    if (this.ending === Ending.Finish)
      claim.finish(answerOf(answerText(entry.key)));
    else claim[this.ending]();
    await fleet.advance(0);
  }

  toString(): string {
    return `${this.ending}(${this.which})`;
  }
}

class Fate extends Command {
  constructor(
    readonly name: string,
    readonly fate: AppendFate,
  ) {
    super();
  }

  async run(_ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    fleet.daemons.get(this.name)!.log.fates.push(this.fate);
  }

  toString(): string {
    return `nextAppend(${this.name}, ${this.fate})`;
  }
}

class Land extends Command {
  constructor(readonly name: string) {
    super();
  }

  async run(_ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    await fleet.daemons.get(this.name)!.log.landDelayed();
    await fleet.advance(0);
  }

  toString(): string {
    return `landDelayed(${this.name})`;
  }
}

class CutLog extends Command {
  constructor(
    readonly name: string,
    readonly isCut: boolean,
  ) {
    super();
  }

  async run(_ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    fleet.daemons.get(this.name)!.log.isCut = this.isCut;
  }

  toString(): string {
    return `${this.isCut ? 'cutLog' : 'mendLog'}(${this.name})`;
  }
}

class CutLinks extends Command {
  constructor(readonly isCut: boolean) {
    super();
  }

  async run(_ledger: KeyLedger, {fleet}: RealClaims): Promise<void> {
    if (this.isCut) fleet.network.cut('hall-a', 'hall-b');
    else fleet.network.heal('hall-a', 'hall-b');
  }

  toString(): string {
    return this.isCut ? 'cutLinks' : 'mendLinks';
  }
}

class Crash extends Command {
  constructor(readonly name: string) {
    super();
  }

  async run(ledger: KeyLedger, real: RealClaims): Promise<void> {
    const daemon = real.fleet.daemons.get(this.name)!;
    ledger.crash(daemon.incarnation);
    await letAll(real, real.fleet.crash(daemon));
    await letAll(real, real.fleet.start(this.name, daemon.dataCentre));
  }

  toString(): string {
    return `crash(${this.name})`;
  }
}

const IDLE_STEP_MILLISECONDS = 10;

/** Runs work to its end while every step goes on. */
export async function letAll<Value>(
  real: RealClaims,
  work: Promise<Value>,
): Promise<Value> {
  let isOpen = true;
  const ended = work.finally(() => {
    isOpen = false;
  });
  ended.catch(() => undefined);
  await new Promise(resolve => setImmediate(resolve));
  while (isOpen) {
    if (real.waitingSteps() > 0) await real.letOneGo();
    else await real.fleet.advance(IDLE_STEP_MILLISECONDS);
    await new Promise(resolve => setImmediate(resolve));
  }
  return ended;
}

const pickName = fc.constantFrom(...NAMES);
const pickWhich = fc.nat({max: 3});

/** Everything that callers, targets, the network and the platform may do. */
export const CLAIMS_COMMANDS: ReadonlyArray<fc.Arbitrary<ClaimsCommand>> = [
  fc
    .tuple(pickName, fc.constantFrom(...KEYS))
    .map(([name, key]) => new Ask(name, key)),
  fc.integer({min: 1, max: 12}).map(steps => new LetGo(steps)),
  fc.integer({min: 1, max: 12}).map(steps => new LetGo(steps)),
  fc
    .integer({min: 1, max: LONGEST_PAUSE_MILLISECONDS})
    .map(milliseconds => new Pass(milliseconds)),
  fc
    .tuple(pickWhich, fc.constantFrom(...Object.values(Ending)))
    .map(([which, ending]) => new End(which, ending)),
  fc
    .tuple(pickName, fc.constantFrom(...Object.values(AppendFate)))
    .map(([name, fate]) => new Fate(name, fate)),
  pickName.map(name => new Land(name)),
  fc
    .tuple(pickName, fc.boolean())
    .map(([name, isCut]) => new CutLog(name, isCut)),
  fc.boolean().map(isCut => new CutLinks(isCut)),
  pickName.map(name => new Crash(name)),
];

/** Mends everything, ends what runs, and asks for every key once more. */
export async function checkAtRest(
  ledger: KeyLedger,
  real: RealClaims,
): Promise<void> {
  const {fleet} = real;
  fleet.network.heal('hall-a', 'hall-b');
  for (const {log} of fleet.daemons.values()) {
    log.isCut = false;
    log.fates.length = 0;
    await log.landDelayed();
  }
  await letAll(real, rest(fleet, MEND_MILLISECONDS));
  for (const entry of ledger.holding()) {
    ledger.release(entry);
    entry.told!.claim!.release();
  }
  await letAll(real, rest(fleet, RELEASE_MILLISECONDS));
  for (const key of KEYS) {
    for (const daemon of fleet.daemons.values()) {
      const told = await letAll(real, fleet.ask(daemon, key));
      ledger.checkAtRest(key, told);
      told.claim?.release();
      await letAll(real, rest(fleet, RELEASE_MILLISECONDS));
    }
  }
}

/** Longer than the longest backoff. */
const MEND_MILLISECONDS = 8000;
const RELEASE_MILLISECONDS = 200;
const REST_STEP_MILLISECONDS = 50;

async function rest(fleet: ClaimsFleet, milliseconds: number): Promise<void> {
  const {clock} = fleet;
  const end = clock.monotonicMilliseconds() + milliseconds;
  while (clock.monotonicMilliseconds() < end) {
    await new Promise<void>(resolve =>
      clock.schedule(REST_STEP_MILLISECONDS, resolve),
    );
  }
}

/** Names of the daemons, with the data centres they start in. */
export const FLEET_PLAN: ReadonlyArray<readonly [string, string]> = [
  [NAMES[0], 'hall-a'],
  [NAMES[1], 'hall-a'],
  [NAMES[2], 'hall-b'],
];

function hearLater(
  ledger: KeyLedger,
  fleet: ClaimsFleet,
  daemon: FleetDaemon,
  entry: Try,
): void {
  void fleet
    .ask(daemon, entry.key)
    .then(told => ledger.hear(entry, told))
    .catch(error => ledger.faults.push(error as Error));
}
