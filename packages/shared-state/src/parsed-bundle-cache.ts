import type {ParsedBundle} from './bundle-text.js';

/** Maximum cached bundles: the one in force and a few competing proposals. */
const MAXIMUM_CACHED_BUNDLES = 4;

/**
 * Caches bundles that were parsed in slices before the fold needs them, by the digest of their
 * text. It only affects the duration of the fold, which parses missing bundles itself.
 */
export class ParsedBundleCache {
  private readonly parsed = new Map<string, ParsedBundle>();

  get(digest: string): ParsedBundle | undefined {
    return this.parsed.get(digest);
  }

  put(digest: string, bundle: ParsedBundle): void {
    this.parsed.delete(digest);
    this.parsed.set(digest, bundle);
    if (this.parsed.size <= MAXIMUM_CACHED_BUNDLES) return;
    const [oldest] = this.parsed.keys();
    this.parsed.delete(oldest);
  }
}
