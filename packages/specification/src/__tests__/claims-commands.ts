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

/** The daemons under test and control over the scheduler of their steps. */
export interface ClaimsUnderTest {
  readonly fleet: ClaimsFleet;
  /** Returns the number of steps that wait to continue. */
  waitingStepCount(): number;
  releaseOneStep(): Promise<void>;
}

type ClaimsCommand = fc.AsyncCommand<KeyedRequestModel, ClaimsUnderTest>;

abstract class Command implements ClaimsCommand {
  check(): boolean {
    return true;
  }

  abstract run(model: KeyedRequestModel, real: ClaimsUnderTest): Promise<void>;

  abstract toString(): string;
}

class RequestKey extends Command {
  constructor(
    readonly name: string,
    readonly key: string,
  ) {
    super();
  }

  async run(model: KeyedRequestModel, {fleet}: ClaimsUnderTest): Promise<void> {
    const daemon = fleet.daemons.get(this.name)!;
    const attempt = model.begin(this.key, daemon.incarnation);
    requestInBackground(model, fleet, daemon, attempt);
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

  async run(_model: KeyedRequestModel, real: ClaimsUnderTest): Promise<void> {
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
    _model: KeyedRequestModel,
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

  async run(model: KeyedRequestModel, {fleet}: ClaimsUnderTest): Promise<void> {
    const heldAttempts = model.attemptsHoldingClaim();
    if (heldAttempts.length === 0) return;
    const attempt = heldAttempts[this.claimIndex % heldAttempts.length];
    const claim = attempt.outcome!.claim!;
    model[this.ending](attempt);
    if (this.ending === ClaimEnding.Finish)
      claim.finish(answerOf(answerText(attempt.key)));
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
    _model: KeyedRequestModel,
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
    _model: KeyedRequestModel,
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
    _model: KeyedRequestModel,
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
    _model: KeyedRequestModel,
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

  async run(model: KeyedRequestModel, real: ClaimsUnderTest): Promise<void> {
    const daemon = real.fleet.daemons.get(this.name)!;
    model.crash(daemon.incarnation);
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

/** Runs work to its end, releasing every waiting step. */
export async function runReleasingAllSteps<Value>(
  real: ClaimsUnderTest,
  work: Promise<Value>,
): Promise<Value> {
  let isPending = true;
  const ended = work.finally(() => {
    isPending = false;
  });
  ended.catch(() => undefined);
  await new Promise(resolve => setImmediate(resolve));
  while (isPending) {
    if (real.waitingStepCount() > 0) await real.releaseOneStep();
    else await real.fleet.advance(IDLE_STEP_MILLISECONDS);
    await new Promise(resolve => setImmediate(resolve));
  }
  return ended;
}

const daemonNames = fc.constantFrom(...NAMES);
const claimIndexes = fc.nat({max: 3});

/** All actions of callers, targets, the network and the platform. */
export const CLAIMS_COMMANDS: ReadonlyArray<fc.Arbitrary<ClaimsCommand>> = [
  fc
    .tuple(daemonNames, fc.constantFrom(...KEYS))
    .map(([name, key]) => new RequestKey(name, key)),
  fc.integer({min: 1, max: 12}).map(steps => new ReleaseSteps(steps)),
  fc.integer({min: 1, max: 12}).map(steps => new ReleaseSteps(steps)),
  fc
    .integer({min: 1, max: MAXIMUM_PAUSE_MILLISECONDS})
    .map(milliseconds => new AdvanceTime(milliseconds)),
  fc
    .tuple(claimIndexes, fc.constantFrom(...Object.values(ClaimEnding)))
    .map(([claimIndex, ending]) => new EndClaim(claimIndex, ending)),
  fc
    .tuple(daemonNames, fc.constantFrom(...Object.values(InjectedAppendResult)))
    .map(([name, result]) => new InjectAppendResult(name, result)),
  daemonNames.map(name => new ApplyDelayedAppends(name)),
  fc
    .tuple(daemonNames, fc.boolean())
    .map(
      ([name, isUnreachable]) => new SetLogReachability(name, isUnreachable),
    ),
  fc.boolean().map(isUnreachable => new SetPeerReachability(isUnreachable)),
  daemonNames.map(name => new CrashDaemon(name)),
];

/** Ends all faults, releases all held claims and requests every key at every daemon again. */
export async function checkAfterRecovery(
  model: KeyedRequestModel,
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
  for (const attempt of model.attemptsHoldingClaim()) {
    model.release(attempt);
    attempt.outcome!.claim!.release();
  }
  await runReleasingAllSteps(real, advanceInSteps(fleet, RELEASE_MILLISECONDS));
  for (const key of KEYS) {
    for (const daemon of fleet.daemons.values()) {
      const outcome = await runReleasingAllSteps(real, fleet.ask(daemon, key));
      model.checkAfterRecovery(key, outcome);
      outcome.claim?.release();
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

/** Names of the daemons and the data centres in which they start. */
export const DAEMON_PLACEMENTS: ReadonlyArray<readonly [string, string]> = [
  [NAMES[0], 'hall-a'],
  [NAMES[1], 'hall-a'],
  [NAMES[2], 'hall-b'],
];

function requestInBackground(
  model: KeyedRequestModel,
  fleet: ClaimsFleet,
  daemon: ClaimsFleetDaemon,
  attempt: KeyedAttempt,
): void {
  void fleet
    .ask(daemon, attempt.key)
    .then(outcome => model.recordOutcome(attempt, outcome))
    .catch(error => model.violations.push(error as Error));
}
