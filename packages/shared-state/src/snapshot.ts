import {promisify} from 'node:util';
import {deflate, deflateSync, inflate, inflateSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {z} from 'zod';
import {BaseError, toError} from '@gentiandoor/kernel';
import {parseSectionsInSlices} from './bundle-parser.js';
import {MAXIMUM_RECORD_FORMAT} from './record-codec.js';
import {
  emptyFleetState,
  type FleetState,
  type TrustedOperators,
} from './fleet-state.js';
import {HashedTable} from './hashed-table.js';
import {sha256Hex} from './signatures.js';
import {stateHash, tablesOf} from './state-hash.js';

/** Version of the snapshot encoding; readers reject newer versions. */
export const SNAPSHOT_FORMAT = 1;

const MAXIMUM_SNAPSHOT_BYTES = 512_000_000;
/** Entries packed or restored per slice; a slice blocks the event loop for about a millisecond. */
const ENTRIES_PER_SLICE = 500;
const PROPOSALS_TABLE = 'proposals';

const packr = new Packr({useRecords: false});
/** Below this size, compressing takes less time than handing the work to a thread. */
const SYNCHRONOUS_COMPRESSION_BYTES = 32_000;
const deflateAsync = promisify(deflate);
const inflateAsync = promisify(inflate);

/** Lets other work on the event loop run before it resolves. */
export type YieldToEventLoop = () => Promise<void>;

/** Thrown for a snapshot that is damaged, incomplete or of a newer format. */
export const SnapshotError = BaseError.subclass('SnapshotError');

const count = z.number().int().min(0);
const bytes: z.ZodType<Uint8Array> = z.instanceof(Uint8Array);
const contentSchema = z.object({
  format: count,
  formatInUse: count,
  nextOffset: count,
  hash: z.string(),
  inForce: z.object({text: z.string(), offset: count}).nullable(),
  proposals: z.array(
    z.object({text: z.string(), signers: z.array(z.string())}),
  ),
  tables: z.record(z.string(), z.array(bytes)),
});
const entriesSchema = z.array(z.tuple([z.string(), z.unknown()]));
type Content = z.output<typeof contentSchema>;

/** Encodes the current state; records applied during the encoding are not included. */
export async function encodeSnapshot(
  state: FleetState,
  yieldToEventLoop: YieldToEventLoop,
): Promise<Uint8Array> {
  // Everything is copied before the first yield: entries are immutable, so the copy is the state
  // at one offset.
  const tables = tablesOf(state)
    .filter(([name, table]) => name !== PROPOSALS_TABLE && table.size > 0)
    .map(([name, table]) => [name, [...table]] as const);
  const {nextOffset, formatInUse, inForce} = state;
  const content: Content = {
    format: SNAPSHOT_FORMAT,
    formatInUse,
    nextOffset,
    hash: stateHash(state),
    inForce: inForce ? {text: inForce.text, offset: inForce.offset} : null,
    proposals: [...state.proposals.values()].map(({text, signers}) => ({
      text,
      signers: [...signers],
    })),
    tables: {},
  };
  for (const [name, entries] of tables)
    content.tables[name] = await packSlices(entries, yieldToEventLoop);
  const packed = packr.pack(content);
  return packed.length < SYNCHRONOUS_COMPRESSION_BYTES
    ? deflateSync(packed)
    : deflateAsync(packed);
}

async function packSlices(
  entries: ReadonlyArray<[string, unknown]>,
  yieldToEventLoop: YieldToEventLoop,
): Promise<Uint8Array[]> {
  const slices: Uint8Array[] = [];
  for (let from = 0; from < entries.length; from += ENTRIES_PER_SLICE) {
    slices.push(packr.pack(entries.slice(from, from + ENTRIES_PER_SLICE)));
    await yieldToEventLoop();
  }
  return slices;
}

/** Restores the state of a snapshot and verifies its hash; throws `SnapshotError`. */
export async function decodeSnapshot(
  snapshot: Uint8Array,
  trustedOperators: TrustedOperators,
  yieldToEventLoop: YieldToEventLoop,
): Promise<FleetState> {
  try {
    return await restoreState(
      await readContent(snapshot),
      trustedOperators,
      yieldToEventLoop,
    );
  } catch (error) {
    if (error instanceof SnapshotError) throw error;
    throw new SnapshotError(`damaged snapshot: ${toError(error).message}`);
  }
}

async function readContent(snapshot: Uint8Array): Promise<Content> {
  const options = {maxOutputLength: MAXIMUM_SNAPSHOT_BYTES};
  const packed =
    snapshot.length < SYNCHRONOUS_COMPRESSION_BYTES / 8
      ? inflateSync(snapshot, options)
      : await inflateAsync(snapshot, options);
  const content = contentSchema.parse(packr.unpack(packed));
  if (
    content.format > SNAPSHOT_FORMAT ||
    content.formatInUse > MAXIMUM_RECORD_FORMAT
  )
    throw new SnapshotError(
      `snapshot of format ${content.format} with records of format ${content.formatInUse}: start a newer version`,
    );
  return content;
}

async function restoreState(
  content: Content,
  trustedOperators: TrustedOperators,
  yieldToEventLoop: YieldToEventLoop,
): Promise<FleetState> {
  const state = emptyFleetState(trustedOperators);
  state.nextOffset = content.nextOffset;
  state.formatInUse = content.formatInUse;
  if (content.inForce) {
    const {text, offset} = content.inForce;
    const parsed = await parseSectionsInSlices(text, yieldToEventLoop);
    const {bundle} = parsed;
    state.inForce = {bundle, text, digest: sha256Hex(text), offset, parsed};
  }
  for (const {text, signers} of content.proposals) {
    const parsed = await parseSectionsInSlices(
      text,
      yieldToEventLoop,
      state.inForce?.parsed,
    );
    const digest = sha256Hex(text);
    const {bundle} = parsed;
    state.proposals.set(digest, {bundle, text, digest, signers, parsed});
  }
  const tables = new Map(tablesOf(state));
  for (const [name, slices] of Object.entries(content.tables))
    await fillTable(name, tables.get(name), slices, yieldToEventLoop);
  if (stateHash(state) !== content.hash)
    throw new SnapshotError(
      'the hash of the restored state differs from the hash in the snapshot',
    );
  return state;
}

async function fillTable(
  name: string,
  table: HashedTable<unknown> | undefined,
  slices: readonly Uint8Array[],
  yieldToEventLoop: YieldToEventLoop,
): Promise<void> {
  if (!table)
    throw new SnapshotError(
      `snapshot with an unknown table ${name}: start a newer version`,
    );
  for (const slice of slices) {
    for (const [key, value] of entriesSchema.parse(packr.unpack(slice)))
      table.set(key, value);
    await yieldToEventLoop();
  }
}
