import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parseBundle, type Bundle} from '@gentiandoor/shared-state';

/** Returns the Kingston sample bundle with the public key of all operators replaced. */
export function kingstonBundle(operatorPublicKey: string): string {
  const url = new URL(
    '../../../../examples/kingston/bundle.ini',
    import.meta.url,
  );
  const text = readFileSync(fileURLToPath(url), 'utf8');
  return text.replace(
    /^public_key = .*$/gm,
    `public_key = ${operatorPublicKey}`,
  );
}

/** Returns the bundle as its next version with one key of a section changed. */
export function nextVersion(
  text: string,
  section: string,
  key: string,
  value: string,
): string {
  const {version} = parseBundle(text);
  const raised = text
    .replace(/^version = .*$/m, `version = ${version + 1}`)
    .replace(/^base = .*$/m, `base = ${version}`);
  const start = raised.indexOf(`[${section}]`);
  const line = new RegExp(`^${key} = .*$`, 'm');
  return (
    raised.slice(0, start) +
    raised.slice(start).replace(line, `${key} = ${value}`)
  );
}

/** Returns the racks of a bundle with their names and VMs. */
export function racksOf(bundle: Bundle) {
  return Object.entries(bundle.racks).map(([name, rack]) => ({name, ...rack}));
}
