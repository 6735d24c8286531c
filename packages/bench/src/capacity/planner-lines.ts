import {NODE_BOUNDS, PLANNED_DEPLOYMENT} from './planned-deployment.js';
import {quantity, figure, type Estimates} from './estimates.js';
import {MeasuredLine} from './measured-line.js';
import {Unit} from './measurement.js';
import {compareWithBound, type RoleLine} from './role-line.js';

const MILLISECONDS = 1000;

function roundLine(
  estimates: Estimates,
  line: MeasuredLine,
  what: string,
): RoleLine {
  const round = estimates.at(line, PLANNED_DEPLOYMENT.vms);
  const share = round.value / MILLISECONDS;
  return {
    what,
    arithmetic: `${round.text}, one round a second`,
    result: `${figure(round.value)} ms, ${quantity(share, Unit.CoreShare)}`,
    boundComparison: compareWithBound(share, NODE_BOUNDS.coreShare),
    mechanism: 'indexes kept by the fold; a round looks at every VM once',
  };
}

/** Returns lines for the planning daemon, in addition to those of an entry daemon. */
export function plannerLines(estimates: Estimates): RoleLine[] {
  const perDataCentre = Math.ceil(
    PLANNED_DEPLOYMENT.vms / PLANNED_DEPLOYMENT.dataCentres,
  );
  const memory = estimates.at(
    MeasuredLine.PlannerMemory,
    PLANNED_DEPLOYMENT.vms,
  );
  const lost = estimates.at(MeasuredLine.ReportBytes, perDataCentre);
  const rack = estimates.at(MeasuredLine.ReportBytes, 16);
  return [
    roundLine(estimates, MeasuredLine.PlannerRound, 'a round at rest'),
    roundLine(estimates, MeasuredLine.PlannerWaveRound, 'a round in a wave'),
    {
      what: 'memory of planner, its input and the state',
      arithmetic: memory.text,
      result: quantity(memory.value, Unit.Bytes),
      boundComparison: compareWithBound(memory.value, NODE_BOUNDS.bytes),
      mechanism:
        'state shared with the entry daemon; the measured sum holds a state and a list of its own',
    },
    {
      what: 'a rack of 16 VMs goes: one record',
      arithmetic: rack.text,
      result: quantity(rack.value, Unit.Bytes),
      boundComparison: `${figure(rack.value / NODE_BOUNDS.bytesPerSecond)} s of the bytes of every reader`,
      mechanism: 'conditions of one round travel in one record',
    },
    {
      what: 'a data centre goes: 2 records of up to 2,000 VMs',
      arithmetic: lost.text,
      result: quantity(lost.value, Unit.Bytes),
      boundComparison: `${figure(lost.value / NODE_BOUNDS.bytesPerSecond)} s of the bytes of every reader`,
      mechanism: 'conditions of one round travel in one record',
    },
  ];
}

/** Returns lines for the operators' command line. */
export function commandLineLines(estimates: Estimates): RoleLine[] {
  const text = estimates.at(MeasuredLine.BundleText, PLANNED_DEPLOYMENT.vms);
  const parse = estimates.at(MeasuredLine.BundleParsed, PLANNED_DEPLOYMENT.vms);
  const perSecond = (text.value * PLANNED_DEPLOYMENT.changesADay) / 86_400;
  return [
    {
      what: 'bytes of one proposal, command line to a daemon',
      arithmetic: text.text,
      result: quantity(text.value, Unit.Bytes),
      boundComparison: `${figure(text.value / NODE_BOUNDS.bytesPerSecond)} s of one node's bytes`,
      mechanism:
        'the whole text is posted; the daemon makes the delta for the log',
    },
    {
      what: 'bytes of 10,000 proposals a day, all daemons together',
      arithmetic: `${quantity(text.value, Unit.Bytes)} x 10,000 / 86,400 s`,
      result: quantity(perSecond, Unit.BytesPerSecond),
      boundComparison: `over ${figure(perSecond / NODE_BOUNDS.bytesPerSecond)} nodes' whole bound`,
      mechanism: 'as above; proposals spread over daemons',
    },
    {
      what: 'processor time to parse and check, at the command line and again at the daemon',
      arithmetic: parse.text,
      result: quantity(parse.value, Unit.Milliseconds),
      boundComparison: `${quantity((parse.value / 1000) * (PLANNED_DEPLOYMENT.changesADay / 86_400), Unit.CoreShare)} if one daemon takes all`,
      mechanism: 'whole parse of a text that no daemon has in force',
    },
  ];
}
