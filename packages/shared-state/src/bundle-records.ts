import {z} from 'zod';
import {
  nonNegativeInteger,
  recordHeadFields,
  boundedText,
} from './record-head.js';
import {RecordKind} from './record-kind.js';

/**
 * Maximum length of a bundle's text; 31,000 VMs listed one by one take about 2 million
 * characters.
 */
export const MAXIMUM_BUNDLE_CHARACTERS = 8_000_000;
const MAXIMUM_DELTA_STEPS = 20_000;

const digest = z.string().regex(/^[0-9a-f]{64}$/);

/** Schema of a `BundleProposed` record. */
export const bundleProposedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.BundleProposed),
    text: z.string().max(MAXIMUM_BUNDLE_CHARACTERS),
  })
  .readonly();

/** Schema of one step that builds a bundle's text from its base. */
export const deltaStepSchema = z.union([
  z.object({copy: nonNegativeInteger, count: nonNegativeInteger}).readonly(),
  z.object({text: z.string().max(MAXIMUM_BUNDLE_CHARACTERS)}).readonly(),
]);

/** Schema of a `BundleChanged` record. */
export const bundleChangedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.BundleChanged),
    /** Digest of the text in force that the steps are based on. */
    baseDigest: digest,
    /** Digest of the whole text that the steps produce. */
    digest,
    steps: z.array(deltaStepSchema).max(MAXIMUM_DELTA_STEPS).readonly(),
  })
  .readonly();

/** Schema of a `BundleSigned` record. */
export const bundleSignedSchema = z
  .object({
    ...recordHeadFields,
    kind: z.literal(RecordKind.BundleSigned),
    version: nonNegativeInteger,
    digest,
    operator: boundedText,
    /** Ed25519 signature in base64. */
    signature: boundedText,
  })
  .readonly();

/** Proposes the whole text of a bundle for sign-off. */
export type BundleProposed = z.output<typeof bundleProposedSchema>;

/** One step of a delta: copies sections of the base or adds text. */
export type DeltaStep = z.output<typeof deltaStepSchema>;

/** Proposes a bundle for sign-off as a delta from the bundle in force. */
export type BundleChanged = z.output<typeof bundleChangedSchema>;

/** Records an operator's sign-off of a proposed bundle. */
export type BundleSigned = z.output<typeof bundleSignedSchema>;
