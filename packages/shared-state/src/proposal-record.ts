import {makeDelta} from './bundle-text.js';
import type {FleetState} from './fleet-state.js';
import {
  RecordKind,
  type BundleChanged,
  type BundleProposed,
  type RecordHead,
} from './records.js';
import {sha256Hex} from './signatures.js';

/**
 * The record that puts `text` up for sign-off: its difference from the bundle in force where
 * that is shorter, so that a small change stays a small record however many VMs there are.
 */
export function makeProposalRecord(
  state: FleetState,
  head: RecordHead,
  text: string,
): BundleProposed | BundleChanged {
  const whole: BundleProposed = {
    ...head,
    kind: RecordKind.BundleProposed,
    text,
  };
  const {inForce} = state;
  if (!inForce) return whole;
  const steps = makeDelta(inForce.parsed.sections, text);
  if (JSON.stringify(steps).length >= text.length) return whole;
  return {
    ...head,
    kind: RecordKind.BundleChanged,
    baseDigest: inForce.digest,
    digest: sha256Hex(text),
    steps,
  };
}
