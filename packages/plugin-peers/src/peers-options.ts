import {z} from 'zod';
import {addressSetting, integerSetting, listSetting} from '@gentiandoor/kernel';

const MINIMUM_KEY_LENGTH = 16;
const ADDRESS = addressSetting();

/** Settings section [peers]. Without `listen` the daemon has no peers. */
export const peersOptions = z
  .strictObject({
    listen: addressSetting()
      .optional()
      .describe(
        'IP number and port for links from other daemons; port 0 takes a free one.',
      ),
    key: z
      .string()
      .min(MINIMUM_KEY_LENGTH, {
        error: `expected a key of at least ${MINIMUM_KEY_LENGTH} characters`,
      })
      .optional()
      .describe('Key that all daemons of a deployment share.'),
    seeds: listSetting()
      .pipe(z.array(ADDRESS))
      .default(() => [])
      .describe(
        'Addresses to start from, before the log or a peer has named others.',
      ),
    local_links: integerSetting(0, 64)
      .default(8)
      .describe('Links kept up to daemons of the own data centre.'),
    remote_links: integerSetting(0, 64)
      .default(8)
      .describe('Links kept up to daemons of all other data centres together.'),
    extra_links: integerSetting(0, 256)
      .default(16)
      .describe('Links opened for one request and closed when idle.'),
    ping_milliseconds: integerSetting(50, 60_000)
      .default(2000)
      .describe('Time between pings on a link.'),
    silent_milliseconds: integerSetting(100, 300_000)
      .default(7000)
      .describe('A link that brings nothing for so long is cut.'),
    handshake_milliseconds: integerSetting(100, 60_000)
      .default(3000)
      .describe('Longest time for a new link to prove its key.'),
    queue_bytes: integerSetting(1024, 1_000_000_000)
      .default(8_000_000)
      .describe(
        'Bytes that may wait to be sent to one peer; more are dropped.',
      ),
    slow_milliseconds: integerSetting(100, 300_000)
      .default(5000)
      .describe('A peer whose queue stays full for so long is cut.'),
    frame_bytes: integerSetting(1024, 100_000_000)
      .default(16_000_000)
      .describe('Longest message; a longer one ends the link.'),
  })
  .refine(options => !options.listen || options.key, {
    path: ['key'],
    error: 'expected the key of the peer links beside listen',
  });

/** Validated settings of the peer links. */
export type PeersOptions = z.output<typeof peersOptions>;
