import fc from 'fast-check';
import type {ClaimsFleet, ClaimsFleetDaemon} from './claims-fleet.js';
import {answerOf} from './claims-fleet.js';
import {InjectedAppendResult} from './faulty-log.js';
import {
  KeyedRequestModel,
  answerText,
  type KeyedAttempt,
} from './keyed-request-model.js';

const KEYS = ['order-1', 'order-2'];
const NAMES = ['entry-1', 'entry-2', 'entry-3'];
const MAXIMUM_PAUSE_MILLISECONDS = 4000;

/** The daemons under test, and the scheduler's hold on their steps. */
export interface ClaimsUnderTest {
  readonly fleet: ClaimsFleet;
  /** Steps that wait to go on. */
  waitingStepCount(): number;
  releaseOneStep(): Promise<void>;
}

type ClaimsCommand = fc.AsyncCommand<KeyedRequestModel, ClaimsUnderTest>;

abstract class Command implements ClaimsCommand {
  check(): boolean {
    return true;
  }

  abstract run(ledger: KeyedRequestModel, real: ClaimsUnderTest): Promise<void>;

  abstract toString(): string;
}

class RequestKey extends Command {
  constructor(
    readonly name: string,
    readonly key: string,
  ) {
    super();
  }

  async run(
    ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    const daemon = fleet.daemons.get(this.name)!;
    const entry = ledger.begin(this.key, daemon.incarnation);
    requestInBackground(ledger, fleet, daemon, entry);
    await fleet.advance(0);
  }

  toString(): string {
    return `ask(${this.name}, ${this.key})`;
  }
}

class ReleaseSteps extends Command {
  constructor(readonly steps: number) {
    super();
  }

  async run(_ledger: KeyedRequestModel, real: ClaimsUnderTest): Promise<void> {
    for (
      let step = 0;
      step < this.steps && real.waitingStepCount() > 0;
      step++
    ) {
      await real.releaseOneStep();
      await real.fleet.advance(0);
    }
  }

  toString(): string {
    return `letGo(${this.steps})`;
  }
}

class AdvanceTime extends Command {
  constructor(readonly milliseconds: number) {
    super();
  }

  async run(
    _ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    await fleet.advance(this.milliseconds);
  }

  toString(): string {
    return `pass(${this.milliseconds} ms)`;
  }
}

/** How a held claim ends. */
enum ClaimEnding {
  Finish = 'finish',
  Lose = 'lose',
  Release = 'release',
}

class EndClaim extends Command {
  constructor(
    readonly claimIndex: number,
    readonly ending: ClaimEnding,
  ) {
    super();
  }

  async run(
    ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    const holding = ledger.attemptsHoldingClaim();
    if (holding.length === 0) return;
    const entry = holding[this.claimIndex % holding.length];
    const claim = entry.outcome!.claim!;
    ledger[this.ending](entry);
    if (this.ending === ClaimEnding.Finish)
      claim.finish(answerOf(answerText(entry.key)));
    else claim[this.ending]();
    await fleet.advance(0);
  }

  toString(): string {
    return `${this.ending}(${this.claimIndex})`;
  }
}

class InjectAppendResult extends Command {
  constructor(
    readonly name: string,
    readonly result: InjectedAppendResult,
  ) {
    super();
  }

  async run(
    _ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    fleet.daemons.get(this.name)!.log.nextAppendResults.push(this.result);
  }

  toString(): string {
    return `nextAppend(${this.name}, ${this.result})`;
  }
}

class ApplyDelayedAppends extends Command {
  constructor(readonly name: string) {
    super();
  }

  async run(
    _ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    await fleet.daemons.get(this.name)!.log.applyDelayed();
    await fleet.advance(0);
  }

  toString(): string {
    return `landDelayed(${this.name})`;
  }
}

class SetLogReachability extends Command {
  constructor(
    readonly name: string,
    readonly isUnreachable: boolean,
  ) {
    super();
  }

  async run(
    _ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    fleet.daemons.get(this.name)!.log.isUnreachable = this.isUnreachable;
  }

  toString(): string {
    return `${this.isUnreachable ? 'cutLog' : 'mendLog'}(${this.name})`;
  }
}

class SetPeerReachability extends Command {
  constructor(readonly isUnreachable: boolean) {
    super();
  }

  async run(
    _ledger: KeyedRequestModel,
    {fleet}: ClaimsUnderTest,
  ): Promise<void> {
    if (this.isUnreachable) fleet.network.partition('hall-a', 'hall-b');
    else fleet.network.heal('hall-a', 'hall-b');
  }

  toString(): string {
    return this.isUnreachable ? 'cutLinks' : 'mendLinks';
  }
}

class CrashDaemon extends Command {
  constructor(readonly name: string) {
    super();
  }

  async run(ledger: KeyedRequestModel, real: ClaimsUnderTest): Promise<void> {
    const daemon = real.fleet.daemons.get(this.name)!;
    ledger.crash(daemon.incarnation);
    await runReleasingAllSteps(real, real.fleet.crash(daemon));
    await runReleasingAllSteps(
      real,
      real.fleet.start(this.name, daemon.dataCentre),
    );
  }

  toString(): string {
    return `crash(${this.name})`;
  }
}

const IDLE_STEP_MILLISECONDS = 10;

/** Runs work to its end while every step goes on. */
export async function runReleasingAllSteps<Value>(
  real: ClaimsUnderTest,
  work: Promise<Value>,
): Promise<Value> {
  let isOpen = true;
  const ended = work.finally(() => {
    isOpen = false;
  });
  ended.catch(() => undefined);
  await new Promise(resolve => setImmediate(resolve));
  while (isOpen) {
    if (real.waitingStepCount() > 0) await real.releaseOneStep();
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
    .map(([name, key]) => new RequestKey(name, key)),
  fc.integer({min: 1, max: 12}).map(steps => new ReleaseSteps(steps)),
  fc.integer({min: 1, max: 12}).map(steps => new ReleaseSteps(steps)),
  fc
    .integer({min: 1, max: MAXIMUM_PAUSE_MILLISECONDS})
    .map(milliseconds => new AdvanceTime(milliseconds)),
  fc
    .tuple(pickWhich, fc.constantFrom(...Object.values(ClaimEnding)))
    .map(([which, ending]) => new EndClaim(which, ending)),
  fc
    .tuple(pickName, fc.constantFrom(...Object.values(InjectedAppendResult)))
    .map(([name, fate]) => new InjectAppendResult(name, fate)),
  pickName.map(name => new ApplyDelayedAppends(name)),
  fc
    .tuple(pickName, fc.boolean())
    .map(([name, isCut]) => new SetLogReachability(name, isCut)),
  fc.boolean().map(isCut => new SetPeerReachability(isCut)),
  pickName.map(name => new CrashDaemon(name)),
];

/** Mends everything, ends what runs, and asks for every key once more. */
export async function checkAfterRecovery(
  ledger: KeyedRequestModel,
  real: ClaimsUnderTest,
): Promise<void> {
  const {fleet} = real;
  fleet.network.heal('hall-a', 'hall-b');
  for (const {log} of fleet.daemons.values()) {
    log.isUnreachable = false;
    log.nextAppendResults.length = 0;
    await log.applyDelayed();
  }
  await runReleasingAllSteps(
    real,
    advanceInSteps(fleet, RECOVERY_MILLISECONDS),
  );
  for (const entry of ledger.attemptsHoldingClaim()) {
    ledger.release(entry);
    entry.outcome!.claim!.release();
  }
  await runReleasingAllSteps(real, advanceInSteps(fleet, RELEASE_MILLISECONDS));
  for (const key of KEYS) {
    for (const daemon of fleet.daemons.values()) {
      const told = await runReleasingAllSteps(real, fleet.ask(daemon, key));
      ledger.checkAfterRecovery(key, told);
      told.claim?.release();
      await runReleasingAllSteps(
        real,
        advanceInSteps(fleet, RELEASE_MILLISECONDS),
      );
    }
  }
}

/** Longer than the longest backoff. */
const RECOVERY_MILLISECONDS = 8000;
const RELEASE_MILLISECONDS = 200;
const RECOVERY_STEP_MILLISECONDS = 50;

async function advanceInSteps(
  fleet: ClaimsFleet,
  milliseconds: number,
): Promise<void> {
  const {clock} = fleet;
  const end = clock.monotonicMilliseconds() + milliseconds;
  while (clock.monotonicMilliseconds() < end) {
    await new Promise<void>(resolve =>
      clock.schedule(RECOVERY_STEP_MILLISECONDS, resolve),
    );
  }
}

/** Names of the daemons, with the data centres they start in. */
export const DAEMON_PLACEMENTS: ReadonlyArray<readonly [string, string]> = [
  [NAMES[0], 'hall-a'],
  [NAMES[1], 'hall-a'],
  [NAMES[2], 'hall-b'],
];

function requestInBackground(
  ledger: KeyedRequestModel,
  fleet: ClaimsFleet,
  daemon: ClaimsFleetDaemon,
  entry: KeyedAttempt,
): void {
  void fleet
    .ask(daemon, entry.key)
    .then(told => ledger.recordOutcome(entry, told))
    .catch(error => ledger.violations.push(error as Error));
}
