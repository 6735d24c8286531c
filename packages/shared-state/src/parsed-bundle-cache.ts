import type {ParsedBundle} from './bundle-text.js';

/** Bundles kept: the one in force, and a few that race to follow it. */
const MAXIMUM_CACHED_BUNDLES = 4;

/**
 * Bundles parsed ahead of the fold, in slices, by the digest of their text. Changes nothing
 * but the time that the fold takes: what is missing here is parsed by the fold itself.
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
