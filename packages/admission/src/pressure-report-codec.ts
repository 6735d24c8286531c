import type {
  OrganisationPressure,
  PressureReport,
  RunTimeRatio,
  ServicePressure,
} from './pressure-report.js';
import {SIZE_CLASSES, type SizeHistogram} from './size-histogram.js';

/** Unit of work in the encoded form: 1,000 core-milliseconds. */
const WORK_UNIT = 1_000_000;
/** Digits of an encoded figure; estimates are far less exact, and short figures keep it small. */
const DIGITS = 3;
/** Organisations with the most work that a report lists for a service. */
const MAXIMUM_ORGANISATIONS = 40;

type Fields = Record<string, unknown>;

/** Encodes a report as JSON with short names; 20 organisations and four services need 4 KB. */
export function encodePressureReport(report: PressureReport): Buffer {
  return Buffer.from(
    JSON.stringify({
      term: report.term,
      seq: report.sequence,
      at: report.wallMilliseconds,
      daemons: report.daemons,
      services: report.services.map(encodeService),
      queues: report.queues.map(encodeRatio),
    }),
  );
}

/** Decodes a report; throws if any part of it is invalid. */
export function decodePressureReport(value: Buffer): PressureReport {
  const fields = asFields(JSON.parse(value.toString('utf8')));
  return {
    term: wholeNumber(fields, 'term'),
    sequence: wholeNumber(fields, 'seq'),
    wallMilliseconds: amount(fields, 'at'),
    daemons: amount(fields, 'daemons'),
    services: list(fields, 'services').map(decodeService),
    queues: list(fields, 'queues').map(decodeRatio),
  };
}

function encodeService(service: ServicePressure): Fields {
  const organisations = [...service.organisations]
    .sort(
      (left, right) =>
        right.waitingMillicoreMilliseconds - left.waitingMillicoreMilliseconds,
    )
    .slice(0, MAXIMUM_ORGANISATIONS);
  return {
    name: service.name,
    usable: Math.round(service.usableMillicores),
    incoming: Math.round(service.incomingMillicores),
    incomingIn: Math.round(service.incomingDelayMilliseconds),
    inTime: encodeHistogram(service.inTime, WORK_UNIT),
    late: shorten(service.lateMillicoreMilliseconds / WORK_UNIT),
    arriving: encodeHistogram(service.arrivingMillicores, 1),
    jobs: shorten(service.arrivingJobsPerSecond),
    pressed: Math.round(service.pressedMilliseconds),
    orgs: organisations.map(
      ({name, waitingMillicoreMilliseconds, isBeyondEntitlement}) => [
        name,
        shorten(waitingMillicoreMilliseconds / WORK_UNIT),
        isBeyondEntitlement ? 1 : 0,
      ],
    ),
  };
}

function decodeService(value: unknown): ServicePressure {
  const fields = asFields(value);
  return {
    name: text(fields.name),
    usableMillicores: amount(fields, 'usable'),
    incomingMillicores: amount(fields, 'incoming'),
    incomingDelayMilliseconds: amount(fields, 'incomingIn'),
    inTime: decodeHistogram(fields, 'inTime', WORK_UNIT),
    lateMillicoreMilliseconds: amount(fields, 'late') * WORK_UNIT,
    arrivingMillicores: decodeHistogram(fields, 'arriving', 1),
    arrivingJobsPerSecond: amount(fields, 'jobs'),
    pressedMilliseconds: amount(fields, 'pressed'),
    organisations: list(fields, 'orgs').map(decodeOrganisation),
  };
}

function decodeOrganisation(value: unknown): OrganisationPressure {
  if (!Array.isArray(value)) throw new TypeError('organisation is not a list');
  const [name, work, beyond] = value as unknown[];
  return {
    name: text(name),
    waitingMillicoreMilliseconds: nonNegative(work, 'work') * WORK_UNIT,
    isBeyondEntitlement: nonNegative(beyond, 'beyond') > 0,
  };
}

function encodeRatio(ratio: RunTimeRatio): unknown[] {
  return [
    ratio.queue,
    shorten(ratio.typicalEstimateMilliseconds),
    shorten(ratio.typicalMilliseconds),
    shorten(ratio.slope),
    shorten(ratio.meanFactor),
  ];
}

function decodeRatio(value: unknown): RunTimeRatio {
  if (!Array.isArray(value)) throw new TypeError('ratio is not a list');
  const [queue, estimate, typical, slope, meanFactor] = value as unknown[];
  return {
    queue: text(queue),
    typicalEstimateMilliseconds: nonNegative(estimate, 'estimate'),
    typicalMilliseconds: nonNegative(typical, 'typical'),
    slope: Math.min(1, nonNegative(slope, 'slope')),
    meanFactor: nonNegative(meanFactor, 'meanFactor'),
  };
}

/** Encodes a histogram as its first class with work, followed by the figures from there on. */
function encodeHistogram(histogram: SizeHistogram, unit: number): number[] {
  const first = histogram.findIndex(work => work > 0);
  if (first < 0) return [];
  let end = histogram.length;
  while (!(histogram[end - 1] > 0)) end--;
  const figures = histogram.slice(first, end);
  return [first, ...figures.map(work => shorten(work / unit))];
}

function decodeHistogram(
  fields: Fields,
  name: string,
  unit: number,
): SizeHistogram {
  const encoded = list(fields, name).map(item => nonNegative(item, name));
  const [first = 0, ...figures] = encoded;
  if (!Number.isInteger(first) || first + figures.length > SIZE_CLASSES)
    throw new RangeError(`${name} has classes that do not exist`);
  const histogram = new Array<number>(SIZE_CLASSES).fill(0);
  figures.forEach((figure, index) => {
    histogram[first + index] = figure * unit;
  });
  return histogram;
}

function shorten(figure: number): number {
  return Number(figure.toPrecision(DIGITS));
}

function asFields(value: unknown): Fields {
  if (typeof value === 'object' && value !== null) return value as Fields;
  throw new TypeError('not an object');
}

function list(fields: Fields, name: string): unknown[] {
  const value = fields[name];
  if (Array.isArray(value)) return value as unknown[];
  throw new TypeError(`${name} is not a list`);
}

function text(value: unknown): string {
  if (typeof value === 'string') return value;
  throw new TypeError('name is not text');
}

function amount(fields: Fields, name: string): number {
  return nonNegative(fields[name], name);
}

function wholeNumber(fields: Fields, name: string): number {
  const value = amount(fields, name);
  if (Number.isSafeInteger(value)) return value;
  throw new RangeError(`${name} is not a whole number`);
}

function nonNegative(value: unknown, name: string): number {
  if (typeof value === 'number' && Number.isFinite(value) && value >= 0)
    return value;
  throw new RangeError(`${name} is not a number of 0 or more`);
}
