import {ClaimTable, encodeClaimBatch} from '@gentiandoor/shared-state';
import {batchAt, measureTable} from '../scenarios/once-only.js';
import {MeasuredLine} from './measured-line.js';
import {Unit, fastest, type Measurement} from './measurement.js';

const BATCHES = [1, 4, 16, 64, 256];
const KEPT = [10_000, 50_000, 100_000, 200_000];
const CLAIMS_PER_RECORD = 64;

function applyMilliseconds(claims: number): number {
  const batches = Array.from(
    {length: Math.ceil(claims / CLAIMS_PER_RECORD)},
    (_, index) => batchAt(index * CLAIMS_PER_RECORD, CLAIMS_PER_RECORD),
  );
  return fastest(() => {
    const table = new ClaimTable(claims);
    for (const batch of batches) table.apply(batch);
  });
}

/** Measurements of claims on the log and in memory. */
export const CLAIMS_MEASUREMENTS: readonly Measurement[] = [
  {
    name: MeasuredLine.ClaimBatch,
    unit: Unit.Bytes,
    per: 'claim',
    sizes: BATCHES,
    measure: claims => encodeClaimBatch(batchAt(0, claims)).length,
  },
  {
    name: MeasuredLine.ClaimMemory,
    unit: Unit.Bytes,
    per: 'claim',
    sizes: KEPT,
    measure: measureTable,
  },
  {
    name: MeasuredLine.ClaimsFolded,
    unit: Unit.Milliseconds,
    per: 'claim',
    sizes: KEPT,
    measure: applyMilliseconds,
  },
];
